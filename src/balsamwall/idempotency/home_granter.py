"""Handle joining and leaving agents at a member of the key homes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.idempotency import key_record
from balsamwall.idempotency import record_batches
from balsamwall.protocol import messages_home

if TYPE_CHECKING:
    from balsamwall.idempotency import home_map
    from balsamwall.idempotency import key_home
    from balsamwall.protocol import outbox as outbox_module


class HomeGranter:
    """Grant joins and import the records of leaving members."""

    __slots__ = ("_home", "_outbox", "_vm")

    def __init__(
        self,
        outbox: outbox_module.Outbox,
        home: key_home.KeyHome,
        vm: str,
    ) -> None:
        self._outbox = outbox
        self._home = home
        self._vm = vm

    def grant(
        self,
        peer: str,
        item: messages_home.HomeJoin,
        current: home_map.HomeMap,
    ) -> bool:
        """Stop admitting the joiner's keys and send it their records.

        Nothing is sent while one of these keys runs; the joiner asks again.
        Return False if the join was refused.
        """
        own = current.member(self._vm)
        if own is None or item.joiner != peer:
            self.refuse(peer, item.map_revision, "not a member")
            return False
        self._home.grant(peer)
        if self._home.is_any_running(peer):
            return True
        batches = record_batches.split(self._home.records_for(peer))
        self._outbox.send(
            peer,
            messages_home.HomeGrant(
                current.service,
                current.revision,
                peer,
                own.complete_since_ms,
                len(batches),
            ),
        )
        for index, rows in enumerate(batches):
            self._outbox.send(
                peer,
                messages_home.HomeRecords(
                    current.service,
                    current.revision,
                    index,
                    len(batches),
                    rows,
                ),
            )
        return True

    def import_records(
        self, peer: str, item: messages_home.HomeRecords
    ) -> None:
        """Import and confirm records of a leaving member.

        Raise RecordError for an invalid record.
        """
        for row in item.rows:
            self._home.import_record(key_record.from_row(row))
        self._outbox.send(
            peer,
            messages_home.HomeRecordsReceived(
                item.service, item.map_revision, item.batch
            ),
        )

    def refuse(self, peer: str, revision: int, reason: str) -> None:
        """Refuse a join or a transfer under a map revision."""
        self._outbox.send(
            peer,
            messages_home.HomeRefuse(self._home.service, revision, reason),
        )
