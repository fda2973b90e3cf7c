"""Clock that advances only on request."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class VirtualTimer:
    """Scheduled call on a virtual clock."""

    __slots__ = ("_args", "_function", "due_ms")

    def __init__(
        self,
        due_ms: int,
        function: Callable[..., object],
        args: tuple[object, ...],
    ) -> None:
        self.due_ms = due_ms
        self._function: Callable[..., object] | None = function
        self._args = args

    @property
    def is_cancelled(self) -> bool:
        """Return whether the call was cancelled or has already run."""
        return self._function is None

    def cancel(self) -> None:
        """Cancel the call; do nothing if it has already run."""
        self._function = None

    def run(self) -> None:
        """Run the call unless it was cancelled or has already run."""
        function, self._function = self._function, None
        if function is not None:
            function(*self._args)


class VirtualClock:
    """Clock for tests and benchmarks.

    Calls that are due at the same time run in the order of scheduling.
    """

    __slots__ = ("_now_ms", "_sequence", "_timers", "_wall_offset_ms")

    def __init__(
        self, start_ms: int = 0, wall_offset_ms: int = 1_700_000_000_000
    ) -> None:
        self._now_ms = start_ms
        self._wall_offset_ms = wall_offset_ms
        self._sequence = itertools.count()
        self._timers: list[tuple[int, int, VirtualTimer]] = []

    @property
    def next_due_ms(self) -> int | None:
        """Return the monotonic time of the next call, or None."""
        while self._timers and self._timers[0][2].is_cancelled:
            heapq.heappop(self._timers)
        return self._timers[0][0] if self._timers else None

    def now_ms(self) -> int:
        """Return monotonic time in milliseconds."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Return wall time in milliseconds since the Unix epoch."""
        return self._now_ms + self._wall_offset_ms

    def call_later(
        self, delay_ms: int, function: Callable[..., object], *args: object
    ) -> VirtualTimer:
        """Schedule one call of a function after a delay."""
        due_ms = self._now_ms + max(0, delay_ms)
        timer = VirtualTimer(due_ms, function, args)
        heapq.heappush(self._timers, (due_ms, next(self._sequence), timer))
        return timer

    def advance(self, duration_ms: int) -> None:
        """Advance the time by a duration and run the calls due in it."""
        self.run_until(self._now_ms + duration_ms)

    def suspend(self, duration_ms: int) -> None:
        """Advance the time without running calls, as a suspension does."""
        self._now_ms += duration_ms

    def run_until(self, end_ms: int) -> None:
        """Advance the time to `end_ms` and run the calls due by then."""
        while True:
            due_ms = self.next_due_ms
            if due_ms is None or due_ms > end_ms:
                break
            timer = heapq.heappop(self._timers)[2]
            self._now_ms = max(self._now_ms, due_ms)
            timer.run()
        self._now_ms = max(self._now_ms, end_ms)
