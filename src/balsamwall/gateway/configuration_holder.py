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

    __slots__ = ("_current", "_document", "_stored_version")

    def __init__(self) -> None:
        self._current: gateway_configuration.GatewayConfiguration | None = None
        self._document = b""
        self._stored_version: int | None = None  # None before the first read

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

    @property
    def lost_document(self) -> bytes:
        """Return the document of the active configuration if it was lost.

        The store then holds an older version, since it was restored from a
        copy. The result is empty otherwise.
        """
        if self._current is None or self._stored_version is None:
            return b""
        is_lost = self._stored_version < self._current.version
        return self._document if is_lost else b""

    def on_stored(self, version: int) -> None:
        """Set the version that the store holds."""
        self._stored_version = version

    def offer(
        self,
        configuration: gateway_configuration.GatewayConfiguration,
        document: bytes = b"",
    ) -> bool:
        """Accept a higher version; return whether it was accepted."""
        current = self._current
        if current is not None and configuration.version <= current.version:
            return False
        self._current = configuration
        self._document = document
        return True
