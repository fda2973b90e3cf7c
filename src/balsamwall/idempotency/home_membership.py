"""Manage the membership of an agent in the key homes of a service."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from balsamwall.idempotency import exceptions
from balsamwall.idempotency import home_granter
from balsamwall.idempotency import home_join
from balsamwall.idempotency import home_leave
from balsamwall.idempotency import home_map
from balsamwall.idempotency import map_access
from balsamwall.protocol import messages_home

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from balsamwall.idempotency import key_home
    from balsamwall.idempotency import map_store
    from balsamwall.protocol import message
    from balsamwall.protocol import outbox as outbox_module
    from balsamwall.timing import clock as clock_module

# Delay between the reactions of two members of adjacent rank to a loss.
LOSS_STAGGER_MS = 1_000


class HomeState(enum.Enum):
    """List the stages of the membership of an agent."""

    OUTSIDE = "outside"
    JOINING = "joining"
    MEMBER = "member"
    LEAVING = "leaving"
    LEFT = "left"


class HomeMembership:
    """Join, rejoin and leave the group; remove lost members.

    Every change is a compare-and-swap on the stored map, and each step is
    derived from the map that was read last.
    """

    __slots__ = (
        "_access",
        "_clock",
        "_granter",
        "_home",
        "_incarnation",
        "_is_vm_gone",
        "_join",
        "_leave",
        "_map",
        "_on_left",
        "_outbox",
        "_peers",
        "_started_ms",
        "_state",
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
        self._home = home
        self._granter = home_granter.HomeGranter(outbox, home, vm)
        self._vm = vm
        self._incarnation = incarnation
        self._is_vm_gone = is_vm_gone
        self._started_ms = clock.wall_ms()
        self._state = HomeState.OUTSIDE
        self._map: home_map.HomeMap | None = None
        self._join: home_join.HomeJoinAttempt | None = None
        self._leave: home_leave.HomeLeaveAttempt | None = None
        self._on_left: Callable[[], None] | None = None
        self._peers: set[str] = set()
        self._withdrawals: set[str] = set()
        self._access = map_access.MapAccess(
            clock,
            random_source,
            store,
            home.service,
            self._on_map_read,
            self._on_written,
        )

    @property
    def state(self) -> HomeState:
        """Return the stage of the membership."""
        return self._state

    @property
    def map(self) -> home_map.HomeMap | None:
        """Return the map with the highest revision seen."""
        return self._map

    def start(self) -> None:
        """Join the group, or rejoin it after a restart."""
        self._state = HomeState.JOINING
        self._read_map()

    def leave(self, on_left: Callable[[], None]) -> None:
        """Stop admitting keys, transfer all records and leave the group.

        Running keys end first. `on_left` is called once the agent has left.
        """
        self._on_left = on_left
        if self._state is HomeState.LEFT:
            on_left()
            return
        self._state = HomeState.LEAVING
        self._home.close()
        self._read_map()

    def on_peer_up(self, peer: str) -> None:
        """Send the map to a new peer."""
        self._peers.add(peer)
        if self._map is not None and self._state is HomeState.MEMBER:
            self._outbox.send(peer, self._map_message(self._map))

    def on_peer_down(self, peer: str) -> None:
        """Withdraw the grant of a joining agent that went down.

        It takes effect once the map has been written at a higher revision.
        """
        self._peers.discard(peer)
        if peer in self._home.granted_joiners:
            self._withdrawals.add(peer)
            self._read_map()

    def on_vm_gone(self, vm: str) -> None:
        """Schedule the removal of a lost member.

        The delay grows with the rank of this member, so that the members
        don't write at the same time.
        """
        current = self._map
        if current is None or current.member(vm) is None:
            return
        names = [name for name in current.member_names if name != vm]
        rank = names.index(self._vm) if self._vm in names else len(names)
        self._clock.call_later(rank * LOSS_STAGGER_MS, self._read_map)

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
        elif isinstance(item, messages_home.HomeRecordsReceived):
            self._on_records_taken(peer, item)
        elif isinstance(item, messages_home.HomeRefuse):
            self._on_refuse(item)
        elif isinstance(item, messages_home.HomeMapChanged):
            self._on_map_changed(item)
        else:
            return False
        return True

    def _read_map(self) -> None:
        if self._state is not HomeState.LEFT:
            self._access.read()

    def _on_map_read(self, stored: home_map.HomeMap | None) -> None:
        if self._state is HomeState.LEFT:
            return
        if stored is None:
            self._on_no_map()
        elif self._map is not None and stored.revision < self._map.revision:
            # A late answer; a peer has sent a newer map in the meantime.
            self._access.retry_later()
        else:
            self._adopt_map(stored)
            self._step(stored)

    def _on_no_map(self) -> None:
        if self._state is HomeState.LEAVING:
            self._finish_leave()
            return
        empty = home_map.HomeMap(self._home.service)
        self._access.write(empty.with_member(self._vm, self._incarnation, 0))

    def _adopt_map(self, current: home_map.HomeMap) -> None:
        if self._map is not None and current.revision <= self._map.revision:
            return
        self._map = current
        self._home.update_map(current)
        self._withdrawals -= set(current.member_names)
        if self._state is HomeState.MEMBER and not self._has_own_entry(
            current
        ):
            self._home.close()
            self._state = HomeState.JOINING
            self._join = None
            self._access.retry_later()

    def _has_own_entry(self, current: home_map.HomeMap) -> bool:
        member = current.member(self._vm)
        return member is not None and member.incarnation == self._incarnation

    def _step(self, current: home_map.HomeMap) -> None:
        lost = self._lost_member(current)
        if lost is not None:
            wall_ms = self._clock.wall_ms()
            retention_ms = self._home.table.retention_ms
            self._access.write(
                current.with_lost_member(lost, wall_ms, retention_ms)
            )
        elif self._state is HomeState.JOINING:
            self._step_join(current)
        elif self._state is HomeState.LEAVING:
            self._step_leave(current)
        elif self._withdrawals:
            self._access.write(current.with_next_revision())
        else:
            self._access.refresh_later()

    def _lost_member(self, current: home_map.HomeMap) -> str | None:
        for name in current.member_names:
            if name != self._vm and self._is_vm_gone(name):
                return name
        return None

    def _step_join(self, current: home_map.HomeMap) -> None:
        own = current.member(self._vm)
        if own is not None and own.incarnation == self._incarnation:
            self._become_member(current)
        elif own is not None:
            self._write_restart(current, own)
        elif not current.members:
            self._access.write(
                current.with_member(self._vm, self._incarnation, 0)
            )
        else:
            self._collect_records(current)

    def _write_restart(
        self, current: home_map.HomeMap, own: home_map.HomeMember
    ) -> None:
        since_ms = max(own.complete_since_ms, self._started_ms)
        self._access.write(
            current.with_member(self._vm, self._incarnation, since_ms)
        )

    def _become_member(self, current: home_map.HomeMap) -> None:
        self._join = None
        self._state = HomeState.MEMBER
        self._home.open(current)
        self._broadcast(current)
        self._access.refresh_later()

    def _collect_records(self, current: home_map.HomeMap) -> None:
        if self._join is None or self._join.revision != current.revision:
            self._join = home_join.HomeJoinAttempt(
                self._outbox, self._home, self._vm, self._incarnation, current
            )
        if self._join.is_complete:
            self._access.write(
                current.with_member(
                    self._vm, self._incarnation, self._join.complete_since_ms
                )
            )
            return
        self._join.request_grants()
        self._access.retry_later()

    def _step_leave(self, current: home_map.HomeMap) -> None:
        own = current.member(self._vm)
        if own is not None and own.incarnation != self._incarnation:
            # The records of the earlier incarnation are lost. The successors
            # must not take an empty transfer for a complete one.
            self._write_restart(current, own)
            return
        if own is None:
            # A join write with unknown outcome could still take effect.
            # Writing a higher revision makes it fail.
            if self._access.is_write_unknown:
                self._access.write(current.with_next_revision())
                return
            self._finish_leave()
            return
        if self._home.is_any_running():
            self._access.retry_later()
            return
        if current.member_names == [self._vm]:
            wall_ms = self._clock.wall_ms()
            retention_ms = self._home.table.retention_ms
            self._access.write(
                current.with_lost_member(self._vm, wall_ms, retention_ms)
            )
            return
        self._transfer(current)

    def _transfer(self, current: home_map.HomeMap) -> None:
        leave = self._leave
        if (
            leave is None
            or leave.remaining_map.revision != current.revision + 1
        ):
            leave = home_leave.HomeLeaveAttempt(
                self._outbox, self._home, self._vm, current
            )
            self._leave = leave
        if leave.is_complete:
            self._access.write(leave.remaining_map)
            return
        leave.send_unconfirmed()
        self._access.retry_later()

    def _finish_leave(self) -> None:
        self._state = HomeState.LEFT
        on_left, self._on_left = self._on_left, None
        if on_left is not None:
            on_left()

    def _on_written(self, content: home_map.HomeMap) -> None:
        withdrawn = self._withdrawals - set(content.member_names)
        for joiner in withdrawn:
            self._home.withdraw_grant(joiner)
        self._withdrawals -= withdrawn
        self._adopt_map(content)
        self._broadcast(content)
        self._step(content)

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

    def _on_join(self, peer: str, item: messages_home.HomeJoin) -> None:
        current = self._map
        if self._state is not HomeState.MEMBER or current is None:
            self._granter.refuse(peer, item.map_revision, "not a member")
        elif item.map_revision > current.revision:
            self._read_map()
        elif item.map_revision < current.revision:
            self._outbox.send(peer, self._map_message(current))
            self._granter.refuse(
                peer, item.map_revision, "the map has changed"
            )
        elif self._granter.grant(peer, item, current):
            self._withdrawals.discard(peer)

    def _on_grant(self, peer: str, item: messages_home.HomeGrant) -> None:
        if self._join is not None:
            self._join.on_grant(peer, item)

    def _on_records(self, peer: str, item: messages_home.HomeRecords) -> None:
        if self._state is HomeState.JOINING and self._join is not None:
            self._join.on_records(peer, item)
            if self._join.is_complete:
                self._read_map()
            return
        if self._state is not HomeState.MEMBER:
            self._granter.refuse(peer, item.map_revision, "not a member")
            return
        current = self._map
        if current is None or item.map_revision != current.revision:
            self._read_map()
            return
        self._granter.import_records(peer, item)

    def _on_records_taken(
        self, peer: str, item: messages_home.HomeRecordsReceived
    ) -> None:
        if self._leave is None:
            return
        self._leave.on_records_taken(peer, item)
        if self._leave.is_complete:
            self._read_map()

    def _on_refuse(self, item: messages_home.HomeRefuse) -> None:
        if self._join is not None and item.map_revision == self._join.revision:
            self._access.retry_later()

    def _on_map_changed(self, item: messages_home.HomeMapChanged) -> None:
        try:
            content = home_map.decode(item.content)
        except exceptions.HomeMapError:
            return
        self._adopt_map(content)
