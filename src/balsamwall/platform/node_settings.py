"""Settings file that the platform provides for a process."""

from __future__ import annotations

import math
import tomllib
from typing import Any

from balsamwall.gateway import gateway_settings
from balsamwall.limits import quota_tolerance
from balsamwall.settings import address as address_module

DEFAULT_PATH = "/etc/balsamwall/local.toml"
DEFAULT_REVOKE_MS = 5_000
PATH_VARIABLE = "BALSAMWALL_NODE_FILE"


class NodeSettingsError(Exception):
    """Settings file that is unreadable or has a missing or invalid field."""


class _Table:
    """Table of the file whose errors name the full path of a field."""

    __slots__ = ("_name", "_fields")

    def __init__(self, name: str, fields: dict[str, Any]) -> None:
        self._name = name
        self._fields = fields

    def table(self, name: str) -> _Table:
        return _Table(self._path(name), self._value(name, dict, "a table"))

    def text(self, name: str) -> str:
        found: str = self._value(name, str, "a string")
        if not found:
            raise NodeSettingsError(
                f"{self._path(name)}: expected a non-empty string"
            )
        return found

    def optional_number(self, name: str, default: float) -> float:
        return self.number(name) if name in self._fields else default

    def flag(self, name: str, default: bool) -> bool:
        if name not in self._fields:
            return default
        found: bool = self._value(name, bool, "true or false")
        return found

    def number(self, name: str) -> float:
        found = self._value(name, (int, float), "a number")
        if isinstance(found, bool) or not 0 <= found < math.inf:
            raise NodeSettingsError(
                f"{self._path(name)}: expected a finite number of at least 0, "
                f"found {found!r}"
            )
        return float(found)

    def address(self, name: str) -> address_module.Address:
        found = self.text(name)
        try:
            return address_module.parse(found)
        except ValueError as error:
            raise NodeSettingsError(
                f"{self._path(name)}: expected HOST:PORT, found {found!r}"
            ) from error

    def port_range(self, name: str) -> tuple[int, int]:
        found = self._value(name, list, "two ports")
        if len(found) != 2 or not all(type(port) is int for port in found):
            raise NodeSettingsError(
                f"{self._path(name)}: expected two ports, found {found!r}"
            )
        return found[0], found[1]

    def _value(self, name: str, types: Any, wanted: str) -> Any:
        if name not in self._fields:
            raise NodeSettingsError(
                f"{self._path(name)}: required field is missing"
            )
        found = self._fields[name]
        if not isinstance(found, types):
            raise NodeSettingsError(
                f"{self._path(name)}: expected {wanted}, found {found!r}"
            )
        return found

    def _path(self, name: str) -> str:
        return f"{self._name}.{name}" if self._name else name


def load(path: str) -> gateway_settings.GatewaySettings:
    """Read and validate the file.

    Raise NodeSettingsError if it is unreadable or invalid.
    """
    try:
        with open(path, "rb") as file:
            fields = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise NodeSettingsError(f"{path}: {error}") from error
    return parse(fields)


def parse(fields: dict[str, Any]) -> gateway_settings.GatewaySettings:
    """Validate the fields; raise NodeSettingsError with the field's path."""
    root = _Table("", fields)
    listen = root.table("listen")
    bounds = root.table("bounds")
    store = root.table("platform")
    ports = root.port_range("internal_ports")
    return gateway_settings.GatewaySettings(
        vm=root.text("node"),
        availability_zone=root.text("zone"),
        ip=root.text("ip"),
        callers=listen.address("front"),
        probes=listen.address("ready"),
        store=store.address("address"),
        fleet_port=ports[0],
        metrics_port=ports[1],
        grace_ms=int(bounds.number("grace_s") * 1_000),
        lease_ms=int(bounds.number("lease_ms")),
        min_lease_ms=int(store.number("ttl_min_ms")),
        retry_share=bounds.number("retry_budget_ratio"),
        retry_extra=bounds.number("budget_extra"),
        retry_window_ms=int(bounds.number("budget_window_s") * 1_000),
        refuses_unconfirmed_keys=bounds.flag("strict_revoke", False),
        max_unconfirmed_ms=int(
            bounds.optional_number("revoke_ms", DEFAULT_REVOKE_MS)
        ),
        engines_check_tokens=bounds.flag("fencing_enforced", True),
        quota_tolerance=_quota_tolerance(bounds),
    )


def _quota_tolerance(bounds: _Table) -> quota_tolerance.QuotaTolerance:
    default = quota_tolerance.QuotaTolerance()
    window_s = bounds.optional_number(
        "quota_window_s", default.window_ms / 1_000
    )
    return quota_tolerance.QuotaTolerance(
        window_ms=int(window_s * 1_000),
        overshoot=bounds.optional_number("quota_overshoot", default.overshoot),
        slack=int(bounds.optional_number("quota_slack", default.slack)),
    )
