"""Decoding of the workspaces in the platform's configuration document.

Errors name the field and the workspace but never contain a value, since it
may be an API key.
"""

from __future__ import annotations

import math
from typing import Any

from balsamwall.gateway import workspace as workspace_module

_QuotaUnit = workspace_module.QuotaUnit


class WorkspaceDocumentError(ValueError):
    """Workspace with a missing or invalid field."""


def decode(rows: object) -> workspace_module.WorkspaceTable:
    """Decode the workspaces; raise WorkspaceDocumentError on any fault."""
    if type(rows) is not list or not all(type(row) is dict for row in rows):
        raise WorkspaceDocumentError("tenants: expected a list of objects")
    workspaces: dict[str, workspace_module.Workspace] = {}
    names_by_digest: dict[bytes, str] = {}
    for index, row in enumerate(rows):
        workspace = _workspace(index, row)
        name = workspace.name
        if name in workspaces:
            raise _error(
                name, "name", "expected a unique name, found it twice"
            )
        workspaces[name] = workspace
        for digest in workspace.key_digests:
            other = names_by_digest.setdefault(digest, name)
            if other != name:
                raise _error(
                    name,
                    "api_keys",
                    "expected keys of no other workspace, found one that "
                    f"{other!r} has as well",
                )
    return workspace_module.WorkspaceTable(workspaces.values())


def _error(workspace: str, field: str, fault: str) -> WorkspaceDocumentError:
    return WorkspaceDocumentError(f"tenants[{workspace!r}].{field}: {fault}")


def _workspace(index: int, row: dict[str, Any]) -> workspace_module.Workspace:
    name = row.get("name")
    if type(name) is not str or not _is_name(name):
        raise WorkspaceDocumentError(
            f"tenants[{index}].name: expected a non-empty text without "
            "control characters or outer spaces"
        )
    priority = row.get("priority", 0)
    if type(priority) is not int or priority < 0:
        raise _error(name, "priority", "expected a non-negative integer")
    return workspace_module.Workspace(
        name,
        _key_digests(name, row),
        priority if "priority" in row else None,
        _quota(name, row),
    )


def _is_name(text: str) -> bool:
    """Return whether a name can be the value of a header field."""
    return bool(text) and text.isprintable() and text == text.strip()


def _key_digests(name: str, row: dict[str, Any]) -> frozenset[bytes]:
    """Return the digests of the keys; an empty key is never valid."""
    keys = row.get("api_keys")
    if type(keys) is not list or not all(type(key) is str for key in keys):
        raise _error(name, "api_keys", "expected a list of strings")
    return frozenset(
        workspace_module.key_digest(key.encode("utf-8", "surrogatepass"))
        for key in keys
        if key
    )


def _quota(
    name: str, row: dict[str, Any]
) -> workspace_module.WorkspaceQuota | None:
    """Return the quota, or None without a limit; check it in any case."""
    rate_per_s = _amount(name, row, "rate_per_s")
    burst = _amount(name, row, "burst")
    plain_tokens = row.get("plain_tokens", 0)
    if type(plain_tokens) is not int or plain_tokens < 0:
        raise _error(name, "plain_tokens", "expected a non-negative integer")
    unit = row.get("unit", _QuotaUnit.REQUESTS.value)
    units = [item.value for item in _QuotaUnit]
    if unit not in units:
        raise _error(name, "unit", f"expected one of {', '.join(units)}")
    if rate_per_s == 0:
        return None
    return workspace_module.WorkspaceQuota(
        rate_per_s, burst, _QuotaUnit(unit), plain_tokens
    )


def _amount(name: str, row: dict[str, Any], field: str) -> float:
    found = row.get(field, 0)
    try:
        if type(found) in (int, float) and 0 <= float(found) < math.inf:
            return float(found)
    except OverflowError:
        # An integer beyond the range of a float is not a usable limit.
        pass
    raise _error(name, field, "expected a finite number of at least 0")
