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
        self, target: room_waiter.Target, priority: room_waiter.Priority
    ) -> bool:
        """Return whether an equally or more urgent request waits.

        Only requests with the same target are considered.
        """
        if self._fair.has_waiting(target, priority):
            return True
        for item in self._waiters:
            if item.priority > priority:
                return False
            if item.target == target:
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

        If one finds no room, the others with the same target are skipped.
        """
        self._timer = None
        full: set[room_waiter.Target] = set()
        if self._fair:
            self._fair.advance(self._clock.now_ms())
            self._send_owed(full)
        sender = _FairSender(self._fair, full)
        for item in list(self._waiters):
            sender.send_before(_arrival_order(item))
            if item.target in full or item not in self._members:
                continue
            if not item.try_send():
                full.add(item.target)
        sender.send_before(None)
        if self._waiters or self._fair:
            self._schedule()

    def _send_owed(self, full: set[room_waiter.Target]) -> None:
        """Send the oldest requests of the targets that owe them a send."""
        for item in self._fair.owed():
            target = item.target
            if not item.try_send(is_owed=True):
                full.add(target)
            elif item not in self._fair:
                self._fair.settle_owed(target)


class _FairSender:
    """Send fairly ordered requests, the first of each target at a time."""

    __slots__ = ("_fair", "_full", "_heap", "_tried")

    def __init__(
        self, fair: fair_order.FairOrder, full: set[room_waiter.Target]
    ) -> None:
        self._fair = fair
        self._full = full
        self._heap: list[
            tuple[fair_order.SendOrderKey, room_waiter.RoomWaiter]
        ] = []
        # A request that was sent and waits again is not tried once more.
        self._tried: set[room_waiter.RoomWaiter] = set()
        for target in fair.targets:
            if target not in full:
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
            target = item.target
            if target in self._full or item in self._tried:
                continue
            self._tried.add(item)
            if item not in self._fair:
                self._push(target)
            elif item.try_send():
                self._push(target)
            else:
                self._full.add(target)

    def _push(self, target: room_waiter.Target) -> None:
        head = self._fair.head(target)
        if head is not None:
            heapq.heappush(self._heap, head)
