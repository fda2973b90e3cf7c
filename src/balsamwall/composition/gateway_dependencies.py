"""External systems of an entry, which the platform's adapters provide."""

from __future__ import annotations

import dataclasses
from typing import Protocol
from typing import TYPE_CHECKING

from balsamwall.coordination import coordinator_election

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.coordination import engine_control
    from balsamwall.gateway import configuration_freshness
    from balsamwall.gateway import gateway_configuration
    from balsamwall.gateway import incoming_request
    from balsamwall.gateway import server_feed
    from balsamwall.infrastructure import key_value_service


class StoreConnection(coordinator_election.StoreState, Protocol):
    """Connection to the store, with the copy of its keys."""

    @property
    def confirmation(self) -> configuration_freshness.Confirmation:
        """Return what is known of the age of the copy of the store."""

    def keep_no_items(self, prefix: str) -> None:
        """Keep nothing of the keys under a prefix after their delivery."""

    def add_state_listener(self, listener: Callable[[bool], None]) -> None:
        """Call back with False when the store is lost, True on reconnect."""

    def set_readers(self, count: int) -> None:
        """Set the number of processes that watch the store."""

    def add_update_listener(
        self, listener: Callable[[key_value_service.StoreUpdate], None]
    ) -> None:
        """Call back with each response of the store to a read or a watch."""

    def apply_update(self, update: key_value_service.StoreUpdate) -> None:
        """Apply an update that another process has read."""

    def stop_relay(self) -> None:
        """Read the store again, since no more updates are relayed."""

    def start(self) -> None:
        """Read all keys, then watch for changes."""

    def stop(self) -> None:
        """Make no further calls to the store."""


@dataclasses.dataclass(slots=True, frozen=True)
class GatewayDependencies:
    """Adapters to the external systems of an entry.

    The read functions raise ValueError for documents they can't parse.
    """

    store: key_value_service.KeyValueService
    connection: StoreConnection
    engines: engine_control.EngineClient
    codec: incoming_request.RequestCodec
    read_configuration: Callable[
        [bytes], gateway_configuration.GatewayConfiguration
    ]
    read_server: server_feed.RecordReader
    configuration_key: str
    servers_prefix: str
