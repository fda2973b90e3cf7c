"""Handle the joining side of a join to a group of key homes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.idempotency import key_record
from balsamwall.protocol import messages_home

if TYPE_CHECKING:
    from balsamwall.idempotency import home_map
    from balsamwall.idempotency import key_home
    from balsamwall.protocol import outbox as outbox_module


class HomeJoinAttempt:
    """Join the group under one map revision; every member must grant it."""

    __slots__ = (
        "_batches",
        "_grants",
        "_home",
        "_incarnation",
        "_map",
        "_outbox",
        "_vm",
    )

    def __init__(
        self,
        outbox: outbox_module.Outbox,
        home: key_home.KeyHome,
        vm: str,
        incarnation: int,
        current: home_map.HomeMap,
    ) -> None:
        self._outbox = outbox
        self._home = home
        self._vm = vm
        self._incarnation = incarnation
        self._map = current
        self._grants: dict[str, messages_home.HomeGrant] = {}
        self._batches: dict[str, set[int]] = {}

    @property
    def revision(self) -> int:
        """Return the map revision that the grants must name."""
        return self._map.revision

    @property
    def is_complete(self) -> bool:
        """Return whether every member has granted and sent all its records."""
        return all(
            self._has_all_records_of(vm) for vm in self._map.member_names
        )

    @property
    def complete_since_ms(self) -> int:
        """Return the wall time since which the records are complete."""
        return max(
            (grant.complete_since_ms for grant in self._grants.values()),
            default=0,
        )

    def request_grants(self) -> None:
        """Send a join request to each member with missing records."""
        for vm in self._map.member_names:
            if not self._has_all_records_of(vm):
                self._outbox.send(
                    vm,
                    messages_home.HomeJoin(
                        self._map.service,
                        self._map.revision,
                        self._vm,
                        self._incarnation,
                    ),
                )

    def on_grant(self, peer: str, item: messages_home.HomeGrant) -> None:
        """Store the grant of a member; ignore other revisions."""
        if item.map_revision == self.revision and item.joiner == self._vm:
            self._grants[peer] = item

    def on_records(self, peer: str, item: messages_home.HomeRecords) -> None:
        """Import a batch of records; ignore other revisions.

        Raise RecordError for an invalid record.
        """
        if item.map_revision != self.revision:
            return
        records = [key_record.from_row(row) for row in item.rows]
        for record in records:
            self._home.import_record(record)
        self._batches.setdefault(peer, set()).add(item.batch)

    def _has_all_records_of(self, vm: str) -> bool:
        grant = self._grants.get(vm)
        if grant is None:
            return False
        return len(self._batches.get(vm, ())) >= grant.record_batches
