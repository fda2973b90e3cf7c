"""Membership of one agent in the key homes of its service."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from returns import result

from balsamwall.idempotency import exceptions
from balsamwall.idempotency import home_join
from balsamwall.idempotency import home_leave
from balsamwall.idempotency import home_map
from balsamwall.idempotency import key_record
from balsamwall.idempotency import record_batches
from balsamwall.protocol import messages_home
from balsamwall.results import result_code

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from balsamwall.idempotency import key_home
    from balsamwall.idempotency import map_store
    from balsamwall.protocol import message
    from balsamwall.protocol import outbox as outbox_module
    from balsamwall.timing import clock as clock_module

RETRY_INTERVAL_MS = 500
MAP_REFRESH_INTERVAL_MS = 60_000
LOSS_STAGGER_MS = 1_000


class HomeState(enum.Enum):
    """Stage of an agent in its group."""

    OUTSIDE = "outside"
    JOINING = "joining"
    MEMBER = "member"
    LEAVING = "leaving"
    LEFT = "left"


class HomeMembership:
    """Join, restart, leave and removal of lost members.

    Every change goes through a compare-and-swap on the stored map. After a
    failed or unknown write the map is read again, and the next step follows
    from what it holds.
    """

    __slots__ = (
        "_clock",
        "_home",
        "_incarnation",
        "_is_busy",
        "_is_write_unknown",
        "_is_vm_gone",
        "_join",
        "_leave",
        "_map",
        "_on_left",
        "_outbox",
        "_peers",
        "_random",
        "_started_ms",
        "_state",
        "_store",
        "_timer",
        "_timer_due_ms",
        "_version",
        "_vm",
        "_withdrawals",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        outbox: outbox_module.Outbox,
        random_source: random.Random,
        home: key_home.KeyHome,
        store: map_store.MapStore,
        vm: str,
        incarnation: int,
        is_vm_gone: Callable[[str], bool],
    ) -> None:
        self._clock = clock
        self._outbox = outbox
        self._random = random_source
        self._home = home
        self._store = store
        self._vm = vm
        self._incarnation = incarnation
        self._is_vm_gone = is_vm_gone
        self._started_ms = clock.wall_ms()
        self._state = HomeState.OUTSIDE
        self._map: home_map.HomeMap | None = None
        self._version = 0
        self._join: home_join.HomeJoinAttempt | None = None
        self._leave: home_leave.HomeLeaveAttempt | None = None
        self._on_left: Callable[[], None] | None = None
        self._peers: set[str] = set()
        self._withdrawals: set[str] = set()
        self._is_busy = False
        self._is_write_unknown = False
        self._timer: clock_module.Timer | None = None
        self._timer_due_ms = 0

    @property
    def state(self) -> HomeState:
        """Return the stage of this agent."""
        return self._state

    @property
    def map(self) -> home_map.HomeMap | None:
        """Return the map with the highest revision seen."""
        return self._map

    def start(self) -> None:
        """Enter the group, or enter it again after a restart."""
        self._state = HomeState.JOINING
        self._read()

    def leave(self, on_left: Callable[[], None]) -> None:
        """Hand over all records and leave; call back when done."""
        self._on_left = on_left
        if self._state is HomeState.LEFT:
            on_left()
            return
        self._state = HomeState.LEAVING
        self._home.close()
        self._read()

    def on_peer_up(self, peer: str) -> None:
        """Give the map to a new peer."""
        self._peers.add(peer)
        if self._map is not None and self._state is HomeState.MEMBER:
            self._outbox.send(peer, self._map_message(self._map))

    def on_peer_down(self, peer: str) -> None:
        """Start to withdraw the grant of a joining agent that went down."""
        self._peers.discard(peer)
        if peer in self._home.granted_joiners:
            self._withdrawals.add(peer)
            self._read()

    def on_vm_gone(self, vm: str) -> None:
        """Remove a lost member; members act one after another."""
        current = self._map
        if current is None or current.member(vm) is None:
            return
        names = [name for name in current.member_names if name != vm]
        rank = names.index(self._vm) if self._vm in names else len(names)
        self._clock.call_later(rank * LOSS_STAGGER_MS, self._read)

    def on_message(self, peer: str, item: message.Message) -> bool:
        """Handle a message of this service; return False for others."""
        if getattr(item, "service", None) != self._home.service:
            return False
        if isinstance(item, messages_home.HomeJoin):
            self._on_join(peer, item)
        elif isinstance(item, messages_home.HomeGrant):
            self._on_grant(peer, item)
        elif isinstance(item, messages_home.HomeRecords):
            self._on_records(peer, item)
        elif isinstance(item, messages_home.HomeRecordsTaken):
            self._on_taken(peer, item)
        elif isinstance(item, messages_home.HomeRefuse):
            self._on_refuse(item)
        elif isinstance(item, messages_home.HomeMapChanged):
            self._on_map_changed(item)
        else:
            return False
        return True

    def _read(self) -> None:
        if self._is_busy or self._state is HomeState.LEFT:
            return
        self._is_busy = True
        self._store.read(self._home.service, self._on_read)

    def _on_read(
        self,
        outcome: result.Result[
            map_store.StoredMap | None, result_code.ResultCode
        ],
    ) -> None:
        self._is_busy = False
        if not isinstance(outcome, result.Success):
            self._retry_later()
            return
        stored = outcome.unwrap()
        if stored is None:
            self._on_no_map()
            return
        if self._map is not None and stored.content.revision < (
            self._map.revision
        ):
            self._retry_later()
            return
        self._version = stored.version
        self._take_map(stored.content)
        self._step(stored.content)

    def _on_no_map(self) -> None:
        if self._state is HomeState.LEAVING:
            self._finish_leave()
            return
        self._version = 0
        empty = home_map.HomeMap(self._home.service)
        self._write(empty.with_member(self._vm, self._incarnation, 0))

    def _take_map(self, current: home_map.HomeMap) -> None:
        if self._map is not None and current.revision <= self._map.revision:
            return
        self._map = current
        self._home.update_map(current)
        self._withdrawals -= set(current.member_names)
        if self._state is HomeState.MEMBER and not self._is_own_entry(current):
            self._home.close()
            self._state = HomeState.JOINING
            self._join = None
            self._retry_later()

    def _is_own_entry(self, current: home_map.HomeMap) -> bool:
        member = current.member(self._vm)
        return member is not None and member.incarnation == self._incarnation

    def _step(self, current: home_map.HomeMap) -> None:
        lost = self._lost_member(current)
        if lost is not None:
            wall_ms = self._clock.wall_ms()
            retention_ms = self._home.table.retention_ms
            self._write(current.with_lost_member(lost, wall_ms, retention_ms))
        elif self._state is HomeState.JOINING:
            self._step_join(current)
        elif self._state is HomeState.LEAVING:
            self._step_leave(current)
        elif self._withdrawals:
            self._write(current.with_next_revision())
        else:
            self._read_after(MAP_REFRESH_INTERVAL_MS)

    def _lost_member(self, current: home_map.HomeMap) -> str | None:
        for name in current.member_names:
            if name != self._vm and self._is_vm_gone(name):
                return name
        return None

    def _step_join(self, current: home_map.HomeMap) -> None:
        own = current.member(self._vm)
        if own is not None and own.incarnation == self._incarnation:
            self._enter(current)
        elif own is not None:
            self._write_restart(current, own)
        elif not current.members:
            self._write(current.with_member(self._vm, self._incarnation, 0))
        else:
            self._collect(current)

    def _write_restart(
        self, current: home_map.HomeMap, own: home_map.HomeMember
    ) -> None:
        since_ms = max(own.complete_since_ms, self._started_ms)
        self._write(current.with_member(self._vm, self._incarnation, since_ms))

    def _enter(self, current: home_map.HomeMap) -> None:
        self._join = None
        self._state = HomeState.MEMBER
        self._home.open(current)
        self._broadcast(current)
        self._read_after(MAP_REFRESH_INTERVAL_MS)

    def _collect(self, current: home_map.HomeMap) -> None:
        if self._join is None or self._join.revision != current.revision:
            self._join = home_join.HomeJoinAttempt(
                self._outbox, self._home, self._vm, self._incarnation, current
            )
        if self._join.is_complete:
            self._write(
                current.with_member(
                    self._vm, self._incarnation, self._join.complete_since_ms
                )
            )
            return
        self._join.ask()
        self._retry_later()

    def _step_leave(self, current: home_map.HomeMap) -> None:
        own = current.member(self._vm)
        if own is not None and own.incarnation != self._incarnation:
            # The records of the earlier incarnation are lost; the successors
            # must not take an empty hand-over for a whole one.
            self._write_restart(current, own)
            return
        if own is None:
            # A join whose outcome is unknown could still take effect; a
            # higher revision makes it fail.
            if self._is_write_unknown:
                self._write(current.with_next_revision())
                return
            self._finish_leave()
            return
        if self._home.is_any_running():
            self._retry_later()
            return
        if current.member_names == [self._vm]:
            wall_ms = self._clock.wall_ms()
            retention_ms = self._home.table.retention_ms
            self._write(
                current.with_lost_member(self._vm, wall_ms, retention_ms)
            )
            return
        self._transfer(current)

    def _transfer(self, current: home_map.HomeMap) -> None:
        leave = self._leave
        if leave is None or leave.remaining.revision != current.revision + 1:
            leave = home_leave.HomeLeaveAttempt(
                self._outbox, self._home, self._vm, current
            )
            self._leave = leave
        if leave.is_complete:
            self._write(leave.remaining)
            return
        leave.send()
        self._retry_later()

    def _finish_leave(self) -> None:
        self._state = HomeState.LEFT
        on_left, self._on_left = self._on_left, None
        if on_left is not None:
            on_left()

    def _write(self, content: home_map.HomeMap) -> None:
        self._is_busy = True

        def on_written(
            outcome: result.Result[int, result_code.ResultCode],
        ) -> None:
            self._is_busy = False
            if not isinstance(outcome, result.Success):
                code = outcome.failure()
                if code is result_code.ResultCode.PLATFORM_OUTCOME_UNKNOWN:
                    self._is_write_unknown = True
                self._retry_later()
                return
            self._is_write_unknown = False
            self._version = outcome.unwrap()
            withdrawn = self._withdrawals - set(content.member_names)
            for joiner in withdrawn:
                self._home.withdraw(joiner)
            self._withdrawals -= withdrawn
            self._take_map(content)
            self._broadcast(content)
            self._step(content)

        self._store.write(
            self._home.service, self._version, content, on_written
        )

    def _broadcast(self, current: home_map.HomeMap) -> None:
        targets = self._peers | set(current.member_names)
        for peer in sorted(targets - {self._vm}):
            self._outbox.send(peer, self._map_message(current))

    def _map_message(
        self, current: home_map.HomeMap
    ) -> messages_home.HomeMapChanged:
        return messages_home.HomeMapChanged(
            current.service, current.revision, current.encode()
        )

    def _retry_later(self) -> None:
        jitter_ms = self._random.randrange(RETRY_INTERVAL_MS)
        self._read_after(RETRY_INTERVAL_MS + jitter_ms)

    def _read_after(self, delay_ms: int) -> None:
        due_ms = self._clock.now_ms() + delay_ms
        if self._timer is not None:
            if self._timer_due_ms <= due_ms:
                return
            self._timer.cancel()
        self._timer_due_ms = due_ms
        self._timer = self._clock.call_later(delay_ms, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._read()

    def _on_join(self, peer: str, item: messages_home.HomeJoin) -> None:
        current = self._map
        if self._state is not HomeState.MEMBER or current is None:
            self._refuse(peer, item.map_revision, "not a member")
            return
        if item.map_revision > current.revision:
            self._read()
            return
        if item.map_revision < current.revision:
            self._outbox.send(peer, self._map_message(current))
            self._refuse(peer, item.map_revision, "the map has changed")
            return
        self._grant(peer, item, current)

    def _grant(
        self,
        peer: str,
        item: messages_home.HomeJoin,
        current: home_map.HomeMap,
    ) -> None:
        own = current.member(self._vm)
        if own is None or item.joiner != peer:
            self._refuse(peer, item.map_revision, "not a member")
            return
        self._home.grant(peer)
        self._withdrawals.discard(peer)
        if self._home.is_any_running(peer):
            return
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

    def _refuse(self, peer: str, revision: int, reason: str) -> None:
        self._outbox.send(
            peer,
            messages_home.HomeRefuse(self._home.service, revision, reason),
        )

    def _on_grant(self, peer: str, item: messages_home.HomeGrant) -> None:
        if self._join is not None:
            self._join.on_grant(peer, item)

    def _on_records(self, peer: str, item: messages_home.HomeRecords) -> None:
        if self._state is HomeState.JOINING and self._join is not None:
            self._join.on_records(peer, item)
            if self._join.is_complete:
                self._read()
            return
        if self._state is not HomeState.MEMBER:
            self._refuse(peer, item.map_revision, "not a member")
            return
        current = self._map
        if current is None or item.map_revision != current.revision:
            self._read()
            return
        for row in item.rows:
            self._home.take(key_record.from_row(row))
        self._outbox.send(
            peer,
            messages_home.HomeRecordsTaken(
                item.service, item.map_revision, item.batch
            ),
        )

    def _on_taken(
        self, peer: str, item: messages_home.HomeRecordsTaken
    ) -> None:
        if self._leave is None:
            return
        self._leave.on_taken(peer, item)
        if self._leave.is_complete:
            self._read()

    def _on_refuse(self, item: messages_home.HomeRefuse) -> None:
        if self._join is not None and item.map_revision == self._join.revision:
            self._retry_later()

    def _on_map_changed(self, item: messages_home.HomeMapChanged) -> None:
        try:
            content = home_map.decode(item.content)
        except exceptions.HomeMapError:
            return
        self._take_map(content)
