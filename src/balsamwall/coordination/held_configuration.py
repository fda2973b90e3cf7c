"""Pass a configuration on that the store has lost in a restore."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.coordination import messages_fleet

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.gateway import configuration_holder
    from balsamwall.protocol import message
    from balsamwall.timing import clock as clock_module

# Key in the loads of a FleetState with the version that the coordinator holds
# and the store has lost. Earlier builds take it for a server.
VERSION_KEY = "held-configuration"
# A longer document does not fit into a frame.
MAX_DOCUMENT_BYTES = 1_000_000
# A query without an answer is repeated after this time.
QUERY_INTERVAL_MS = 1_000


def with_version(
    configuration: configuration_holder.ConfigurationHolder,
    loads: dict[str, int],
) -> dict[str, int]:
    """Return fleet loads with the version that the store has lost, if any."""
    document = configuration.lost_document
    if not document or len(document) > MAX_DOCUMENT_BYTES:
        return loads
    return {**loads, VERSION_KEY: configuration.require().version}


def respond(
    configuration: configuration_holder.ConfigurationHolder,
) -> message.Message | None:
    """Return the document that the store has lost; None if it has it."""
    document = configuration.lost_document
    if not document or len(document) > MAX_DOCUMENT_BYTES:
        return None
    return messages_fleet.HeldConfiguration(document)


class HeldConfigurationReader:
    """Ask the coordinator for a configuration that only it holds.

    Load pattern: the store returns from a copy with an older configuration,
    and an entry starts before the operator has written the newest one again.
    """

    __slots__ = ("_apply", "_asked_ms", "_clock", "_configuration")

    def __init__(
        self,
        clock: clock_module.Clock,
        configuration: configuration_holder.ConfigurationHolder,
        apply: Callable[[bytes], object],
    ) -> None:
        """Set the function that applies a document, which may be invalid."""
        self._clock = clock
        self._configuration = configuration
        self._apply = apply
        self._asked_ms: int | None = None

    def on_loads(
        self, loads: dict[str, int]
    ) -> messages_fleet.ConfigurationQuery | None:
        """Return a query if the coordinator holds a higher version."""
        current = self._configuration.current
        version = current.version if current is not None else 0
        if loads.get(VERSION_KEY, 0) <= version:
            return None
        now_ms = self._clock.now_ms()
        asked_ms = self._asked_ms
        if asked_ms is not None and now_ms - asked_ms < QUERY_INTERVAL_MS:
            return None
        self._asked_ms = now_ms
        return messages_fleet.ConfigurationQuery(version)

    def apply(self, item: messages_fleet.HeldConfiguration) -> None:
        """Apply the document of the coordinator, unless it is outdated."""
        self._apply(item.document)
