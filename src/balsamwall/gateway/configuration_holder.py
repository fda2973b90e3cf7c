"""Newest configuration that a process has seen."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.gateway import gateway_configuration


class ConfigurationHolder:
    """Keep the highest version; never return to a lower one.

    Watches, pages and single reads may deliver versions out of order.
    """

    __slots__ = ("_current", "_listeners")

    def __init__(self) -> None:
        self._current: gateway_configuration.GatewayConfiguration | None = None
        self._listeners: list[
            Callable[[gateway_configuration.GatewayConfiguration], None]
        ] = []

    @property
    def current(self) -> gateway_configuration.GatewayConfiguration | None:
        """Return the configuration in force, None before the first one."""
        return self._current

    def add_listener(
        self,
        listener: Callable[[gateway_configuration.GatewayConfiguration], None],
    ) -> None:
        """Call a function after each change."""
        self._listeners.append(listener)

    def offer(
        self, configuration: gateway_configuration.GatewayConfiguration
    ) -> bool:
        """Take a version if it is newer; tell whether it was taken."""
        current = self._current
        if current is not None and configuration.version <= current.version:
            return False
        self._current = configuration
        for listener in self._listeners:
            listener(configuration)
        return True
