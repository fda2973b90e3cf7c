"""Queue requests that wait at the entry for room at a server."""

from __future__ import annotations

import bisect
from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.gateway import request_priority
    from balsamwall.timing import clock as clock_module

# Short compared to the interval between completions at a full engine.
RETRY_INTERVAL_MS = 20


class RoomWaiter(Protocol):
    """Represent a request that waits for room at a server."""

    rank: request_priority.Rank  # the lowest goes first

    @property
    def priority(self) -> int:
        """Return the priority, 0 is the most urgent."""

    @property
    def arrived_ms(self) -> int:
        """Return when the request arrived."""

    @property
    def target(self) -> tuple[str, str, str]:
        """Return service, model and adapter."""

    def try_send(self) -> bool:
        """Send the request if a server has room.

        Return whether the request has left the queue.
        """


class RoomQueue:
    """Order waiting requests by priority, then by time of arrival."""

    __slots__ = ("_clock", "_waiters", "_timer")

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._waiters: list[RoomWaiter] = []
        self._timer: clock_module.Timer | None = None

    def has_waiting(
        self, target: tuple[str, str, str], rank: request_priority.Rank
    ) -> bool:
        """Return whether an equally or more urgent request waits.

        Only requests with the same target are considered.
        """
        return any(
            item.target == target and item.rank <= rank
            for item in self._waiters
        )

    def add(self, waiter: RoomWaiter) -> None:
        """Add a request and start the periodic retries."""
        bisect.insort(
            self._waiters,
            waiter,
            key=lambda item: (item.rank, item.arrived_ms),
        )
        if self._timer is None:
            self._schedule()

    def remove(self, waiter: RoomWaiter) -> None:
        """Remove a request, if it waits."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def counts(self) -> dict[tuple[str, str, str], int]:
        """Return the number of waiting requests by target."""
        counts: dict[tuple[str, str, str], int] = {}
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
        full: set[tuple[str, str, str]] = set()
        for item in list(self._waiters):
            if item.target in full or item not in self._waiters:
                continue
            if not item.try_send():
                full.add(item.target)
        if self._waiters:
            self._schedule()
