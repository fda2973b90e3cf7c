"""Newest configuration that a process has seen."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.gateway import gateway_configuration


class ConfigurationHolder:
    """Keep the highest version; never return to a lower one.

    Watches, pages and single reads may deliver versions out of order.
    """

    __slots__ = ("_current",)

    def __init__(self) -> None:
        self._current: gateway_configuration.GatewayConfiguration | None = None

    @property
    def current(self) -> gateway_configuration.GatewayConfiguration | None:
        """Return the configuration in force, None before the first one."""
        return self._current

    def offer(
        self, configuration: gateway_configuration.GatewayConfiguration
    ) -> bool:
        """Take a version if it is newer; tell whether it was taken."""
        current = self._current
        if current is not None and configuration.version <= current.version:
            return False
        self._current = configuration
        return True
