"""Queue requests that wait at the entry for room at a server."""

from __future__ import annotations

import bisect
import heapq
from typing import TYPE_CHECKING

from balsamwall.gateway import fair_order
from balsamwall.gateway import room_waiter

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from balsamwall.timing import clock as clock_module

# Short compared to the interval between completions at a full engine.
RETRY_INTERVAL_MS = 20


def _arrival_order(
    waiter: room_waiter.RoomWaiter,
) -> tuple[room_waiter.Priority, int]:
    """Return a sort key: the priority, then the time of arrival."""
    return waiter.priority, waiter.arrived_ms


class RoomQueue:
    """Order waiting requests, and retry them while they wait.

    Requests that are ordered fairly keep the order of `FairOrder`. The others
    are ordered by priority, then by time of arrival, also in relation to the
    first of the former.
    """

    __slots__ = (
        "_clock",
        "_fair",
        "_members",
        "_on_charged",
        "_timer",
        "_waiters",
    )

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._fair = fair_order.FairOrder()
        self._waiters: list[room_waiter.RoomWaiter] = []
        self._members: set[room_waiter.RoomWaiter] = set()
        self._timer: clock_module.Timer | None = None
        self._on_charged: Callable[[str, str, float], None] | None = None

    def set_charge_listener(
        self, on_charged: Callable[[str, str, float], None]
    ) -> None:
        """Set what is called with service, workspace and tokens charged."""
        self._on_charged = on_charged

    def add_fleet_use(self, rows: Iterable[tuple[str, str, int]]) -> None:
        """Charge what other entries served: service, workspace and tokens."""
        self._fair.add_fleet_use(rows, self._clock.now_ms())

    def is_sparse(self, waiter: room_waiter.RoomWaiter) -> bool:
        """Return whether a request waits whose workspace asks for little."""
        return self._fair.is_sparse(waiter, self._clock.now_ms())

    def set_waiting_elsewhere(self, service: str) -> None:
        """Note that requests wait for a service at other entries."""
        self._fair.set_waiting_elsewhere(service, self._clock.now_ms())

    def has_waiting(
        self,
        target: room_waiter.Target,
        priority: room_waiter.Priority,
        *,
        is_bound: bool = False,
    ) -> bool:
        """Return whether an equally or more urgent request waits.

        Only requests with the same target are considered. One that is bound to
        a software version counts only for others that are bound, too.
        """
        if self._fair.has_waiting(target, priority, is_bound=is_bound):
            return True
        for item in self._waiters:
            if item.priority > priority:
                return False
            if item.target == target and (
                is_bound or item.bound_version is None
            ):
                return True
        return False

    def add(self, waiter: room_waiter.RoomWaiter) -> None:
        """Add a request and start the periodic retries."""
        if waiter.is_fair:
            self._fair.add(waiter, self._clock.now_ms())
        else:
            bisect.insort(self._waiters, waiter, key=_arrival_order)
            self._members.add(waiter)
        if self._timer is None:
            self._schedule()

    def remove(self, waiter: room_waiter.RoomWaiter) -> None:
        """Remove a request, if it waits."""
        if waiter in self._members:
            self._members.remove(waiter)
            self._waiters.remove(waiter)
        else:
            self._fair.remove(waiter)

    def on_sent(self, waiter: room_waiter.RoomWaiter) -> None:
        """Charge a request that is being sent, whether it waited or not."""
        if waiter.is_fair:
            charge = self._fair.on_sent(waiter, self._clock.now_ms())
            if charge and self._on_charged is not None:
                service = waiter.target[0]
                self._on_charged(service, waiter.workspace_name, charge)

    def position(self, waiter: room_waiter.RoomWaiter) -> fair_order.Position:
        """Return the place that a fairly ordered request would get."""
        return self._fair.position(waiter, self._clock.now_ms())

    def count(self, target: room_waiter.Target) -> int:
        """Return how many fairly ordered requests wait for a target."""
        return self._fair.count(target)

    def queued_for_ms(self, target: room_waiter.Target) -> int:
        """Return for how long fair requests have waited without a break.

        It is the time since the queue of the target was last empty.
        """
        return self._fair.queued_for_ms(target, self._clock.now_ms())

    def counts(self) -> dict[room_waiter.Target, int]:
        """Return the number of waiting requests by target."""
        counts = {
            target: self._fair.count(target) for target in self._fair.targets
        }
        for item in self._waiters:
            counts[item.target] = counts.get(item.target, 0) + 1
        return counts

    def _schedule(self) -> None:
        self._timer = self._clock.call_later(RETRY_INTERVAL_MS, self._run)

    def _run(self) -> None:
        """Try to send the waiting requests in order.

        If one finds no room, the others with the same target are skipped. If
        it is bound to a software version, only others of that version are.
        """
        self._timer = None
        full = _FullTargets()
        if self._fair:
            self._fair.advance(self._clock.now_ms())
            self._send_owed(full)
        sender = _FairSender(self._fair, full)
        for item in list(self._waiters):
            sender.send_before(_arrival_order(item))
            if full.has(item) or item not in self._members:
                continue
            if not item.try_send():
                full.add(item)
        sender.send_before(None)
        self._fair.restore()
        if self._waiters or self._fair:
            self._schedule()

    def _send_owed(self, full: _FullTargets) -> None:
        """Send the oldest requests of the targets that owe them a send."""
        for item in self._fair.owed():
            if item not in self._fair:
                # It has ended with the send of another one.
                continue
            if not self._send_oldest(item, full):
                other = self._fair.oldest_unbound(item.target)
                if item.bound_version is not None and other is not None:
                    self._send_oldest(other, full)

    def _send_oldest(
        self, item: room_waiter.RoomWaiter, full: _FullTargets
    ) -> bool:
        """Try to send the oldest request; return whether it has left."""
        if not item.try_send(is_owed=True):
            full.add(item)
            return False
        if item not in self._fair:
            self._fair.settle_owed(item.target)
        return True


class _FullTargets:
    """Keep where no room was found for a request."""

    __slots__ = ("_bound", "_targets")

    def __init__(self) -> None:
        self._targets: set[room_waiter.Target] = set()
        self._bound: set[tuple[room_waiter.Target, str]] = set()

    def add(self, waiter: room_waiter.RoomWaiter) -> None:
        """Add the target of a request, or its version of it if bound."""
        version = waiter.bound_version
        if version is None:
            self._targets.add(waiter.target)
        else:
            self._bound.add((waiter.target, version))

    def has_target(self, target: room_waiter.Target) -> bool:
        """Return whether the servers of all versions have no room."""
        return target in self._targets

    def has(self, waiter: room_waiter.RoomWaiter) -> bool:
        """Return whether a request would find no room."""
        if waiter.target in self._targets:
            return True
        version = waiter.bound_version
        return version is not None and (waiter.target, version) in self._bound


class _FairSender:
    """Send fairly ordered requests, the first of each target at a time."""

    __slots__ = ("_fair", "_full", "_heap", "_tried")

    def __init__(self, fair: fair_order.FairOrder, full: _FullTargets) -> None:
        self._fair = fair
        self._full = full
        self._heap: list[
            tuple[fair_order.SendOrderKey, room_waiter.RoomWaiter]
        ] = []
        # A request that was sent and waits again is not tried once more.
        self._tried: set[room_waiter.RoomWaiter] = set()
        for target in fair.targets:
            if not full.has_target(target):
                self._push(target)

    def send_before(
        self, order: tuple[room_waiter.Priority, int] | None
    ) -> None:
        """Try the requests before a sort key, or all of them."""
        while self._heap:
            item = self._heap[0][1]
            if order is not None and _arrival_order(item) > order:
                return
            heapq.heappop(self._heap)
            if not self._full.has_target(item.target):
                self._try(item)

    def _try(self, item: room_waiter.RoomWaiter) -> None:
        """Try to send a request; find the next one of its target."""
        if item in self._tried:
            return
        self._tried.add(item)
        if item in self._fair and (
            self._full.has(item) or not item.try_send()
        ):
            self._full.add(item)
            if item.bound_version is None:
                return
            self._fair.set_aside(item)
        self._push(item.target)

    def _push(self, target: room_waiter.Target) -> None:
        head = self._fair.head(target)
        if head is not None:
            heapq.heappush(self._heap, head)
