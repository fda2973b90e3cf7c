"""Relay of changes in the store from the coordinator to the entries."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from balsamwall.coordination import messages_fleet
from balsamwall.coordination import origin_log
from balsamwall.infrastructure import key_value_service

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.gateway import backend_directory
    from balsamwall.gateway import server_feed

# A longer value is read from the store by each entry: sent to all entries, a
# configuration with many models would fill the link of the coordinator.
MAX_VALUE_BYTES = 4_096


class StoreRelay:
    """Send what the coordinator reads from the store to all entries.

    Load pattern: each server rewrites its record every second, so that the
    calls to the store and the bytes read grow with entries times servers. The
    relay leaves out records that change nothing for the choice of a server,
    and the origins of streams, which the entries get by message.
    """

    __slots__ = ("_broadcast", "_prefix", "_read_record", "_sent")

    def __init__(
        self,
        servers_prefix: str,
        read_record: server_feed.RecordReader,
        broadcast: Callable[[messages_fleet.StoreChanges], None],
    ) -> None:
        self._prefix = servers_prefix
        self._read_record = read_record
        self._broadcast = broadcast
        # By key: the record that the entries know, None for an unreadable one.
        self._sent: dict[str, backend_directory.ServerRecord | None] = {}

    def reset(self) -> None:
        """Forget what was sent, since another entry may have relayed since."""
        self._sent.clear()

    def on_update(self, update: key_value_service.StoreUpdate) -> None:
        """Broadcast a response of the store, also one without changes.

        Entries read the store themselves when no broadcast arrives.
        """
        items = [item for item in update.items if self._is_relevant(item)]
        short = [
            item
            for item in items
            if item.value is None or len(item.value) <= MAX_VALUE_BYTES
        ]
        self._broadcast(
            messages_fleet.StoreChanges(
                update.after_revision,
                update.revision,
                [[item.key, item.value, item.revision] for item in short],
                len(short) == len(items),
            )
        )

    def _is_relevant(self, item: key_value_service.KeyValue) -> bool:
        """Return whether an item changes more than the load of a server."""
        if item.key.startswith(origin_log.PREFIX):
            return False
        if not item.key.startswith(self._prefix):
            return True
        if item.value is None:
            self._sent.pop(item.key, None)
            return True
        known = self._sent.get(item.key)
        record = self._routing_record(item.key, item.value)
        self._sent[item.key] = record
        return record is None or record != known

    def _routing_record(
        self, key: str, value: bytes
    ) -> backend_directory.ServerRecord | None:
        """Return the part of a record that the choice of a server needs.

        The coordinator announces models itself, and only the first report of
        a removal at short notice matters.
        """
        try:
            record = self._read_record(key.removeprefix(self._prefix), value)
        except ValueError:
            # The entries log why the record is unreadable.
            return None
        return dataclasses.replace(
            record,
            models={},
            in_memory=frozenset(),
            on_disk=frozenset(),
            remaining_ms=None if record.remaining_ms is None else 0,
            sequence=None,
        )


def decode_changes(
    changes: messages_fleet.StoreChanges,
) -> key_value_service.StoreUpdate:
    """Decode relayed changes; raise ValueError if a row is invalid."""
    items = []
    for row in changes.items:
        if len(row) != 3:
            raise ValueError(f"expected 3 values, found {len(row)}")
        key, value, revision = row
        is_valid = type(key) is str and type(revision) is int
        if not is_valid or type(value) not in (bytes, type(None)):
            raise ValueError(f"invalid key, value or revision of {key!r}")
        items.append(key_value_service.KeyValue(key, value, revision))
    return key_value_service.StoreUpdate(
        changes.after_revision,
        changes.revision,
        tuple(items),
        changes.is_complete,
    )
