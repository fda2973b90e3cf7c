"""Hold the active configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.gateway import refusal
from balsamwall.results import result_code

if TYPE_CHECKING:
    from balsamwall.gateway import gateway_configuration


class ConfigurationHolder:
    """Keep the configuration with the highest version.

    Watches, paged reads and single reads of the store may deliver versions
    out of order, so a lower version is never accepted.
    """

    __slots__ = ("_current",)

    def __init__(self) -> None:
        self._current: gateway_configuration.GatewayConfiguration | None = None

    @property
    def current(self) -> gateway_configuration.GatewayConfiguration | None:
        """Return the active configuration, or None before the first one."""
        return self._current

    def require(self) -> gateway_configuration.GatewayConfiguration:
        """Return the active configuration; raise RefusalError before it."""
        if self._current is None:
            raise refusal.RefusalError(
                result_code.ResultCode.CONFIGURATION_UNAVAILABLE,
                "no configuration received yet",
            )
        return self._current

    def offer(
        self, configuration: gateway_configuration.GatewayConfiguration
    ) -> bool:
        """Accept a higher version; return whether it was accepted."""
        current = self._current
        if current is not None and configuration.version <= current.version:
            return False
        self._current = configuration
        return True
