"""Handle the leaving side of a transfer of key records."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.idempotency import record_batches
from balsamwall.protocol import messages_home

if TYPE_CHECKING:
    from balsamwall.idempotency import home_map
    from balsamwall.idempotency import key_home
    from balsamwall.protocol import outbox as outbox_module


class HomeLeaveAttempt:
    """Transfer all records to their next homes under one map revision."""

    __slots__ = ("_messages", "_outbox", "_remaining_map", "_unconfirmed")

    def __init__(
        self,
        outbox: outbox_module.Outbox,
        home: key_home.KeyHome,
        vm: str,
        current: home_map.HomeMap,
    ) -> None:
        self._outbox = outbox
        self._remaining_map = current.without_member(vm)
        self._messages: dict[str, list[messages_home.HomeRecords]] = {}
        self._unconfirmed: set[tuple[str, int]] = set()
        for successor in self._remaining_map.member_names:
            records = [
                record
                for record in home.table
                if self._remaining_map.home_of(record.key) == successor
            ]
            self._prepare(successor, current, record_batches.split(records))

    @property
    def remaining_map(self) -> home_map.HomeMap:
        """Return the map to write once the transfer is complete."""
        return self._remaining_map

    @property
    def is_complete(self) -> bool:
        """Return whether every batch has been confirmed."""
        return not self._unconfirmed

    def send_unconfirmed(self) -> None:
        """Send every batch that has not been confirmed."""
        for successor, batch in sorted(self._unconfirmed):
            self._outbox.send(successor, self._messages[successor][batch])

    def on_records_taken(
        self, peer: str, item: messages_home.HomeRecordsReceived
    ) -> None:
        """Handle the confirmation of a batch; ignore other revisions."""
        if item.map_revision == self._remaining_map.revision - 1:
            self._unconfirmed.discard((peer, item.batch))

    def _prepare(
        self,
        successor: str,
        current: home_map.HomeMap,
        batches: list[list[list[object]]],
    ) -> None:
        self._messages[successor] = [
            messages_home.HomeRecords(
                current.service, current.revision, index, len(batches), rows
            )
            for index, rows in enumerate(batches)
        ]
        self._unconfirmed.update(
            (successor, index) for index in range(len(batches))
        )
