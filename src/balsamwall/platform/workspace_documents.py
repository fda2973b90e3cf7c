"""Decoding of the workspaces in the platform's configuration document.

Errors name the field and the workspace but never contain a value, since it
may be an API key.
"""

from __future__ import annotations

from typing import Any

from balsamwall.gateway import workspace as workspace_module
from balsamwall.platform import json_fields

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
    priority = _count(name, row, "priority")
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
    plain_tokens = _count(name, row, "plain_tokens")
    unit = row.get("unit", _QuotaUnit.REQUESTS.value)
    units = [item.value for item in _QuotaUnit]
    if unit not in units:
        raise _error(name, "unit", f"expected one of {', '.join(units)}")
    if rate_per_s == 0:
        return None
    return workspace_module.WorkspaceQuota(
        rate_per_s, burst, _QuotaUnit(unit), plain_tokens
    )


def _count(name: str, row: dict[str, Any], field: str) -> int:
    try:
        return json_fields.integer(row, field, 0)
    except json_fields.DocumentError as error:
        raise _error(
            name,
            field,
            f"expected an integer from 0 to {json_fields.MAX_COUNT}",
        ) from error


def _amount(name: str, row: dict[str, Any], field: str) -> float:
    try:
        return json_fields.number(row, field, 0.0)
    except json_fields.DocumentError as error:
        raise _error(
            name,
            field,
            f"expected a number from 0 to {json_fields.MAX_NUMBER:.0f}",
        ) from error
