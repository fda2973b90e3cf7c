"""Fake weight store with limits on load rate and concurrency."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.timing import virtual_clock

LOAD_FIXED_MS = 1_500
LOAD_BYTES_PER_MS = 2_000_000


class WeightStore:
    """Weight store that starts loads in order within its limits."""

    __slots__ = (
        "_clock",
        "_concurrency",
        "_interval_ms",
        "_next_start_ms",
        "_queue",
        "_running",
        "slowdown_factor",
    )

    def __init__(
        self,
        clock: virtual_clock.VirtualClock,
        loads_per_s: float,
        concurrency: int,
    ) -> None:
        self._clock = clock
        self._interval_ms = int(1_000 / loads_per_s)
        self._concurrency = concurrency
        self._running = 0
        self._next_start_ms = 0
        self._queue: collections.deque[tuple[int, Callable[[], None]]]
        self._queue = collections.deque()
        self.slowdown_factor = 1.0

    def load(self, size_bytes: int, on_done: Callable[[], None]) -> None:
        """Queue a load; on_done is called when it finishes."""
        self._queue.append((size_bytes, on_done))
        self._start_queued()

    def _start_queued(self) -> None:
        while self._queue and self._running < self._concurrency:
            now_ms = self._clock.now_ms()
            if now_ms < self._next_start_ms:
                self._clock.call_later(
                    self._next_start_ms - now_ms, self._start_queued
                )
                return
            self._next_start_ms = now_ms + self._interval_ms
            self._running += 1
            size_bytes, on_done = self._queue.popleft()
            duration_ms = LOAD_FIXED_MS + size_bytes // LOAD_BYTES_PER_MS
            self._clock.call_later(
                int(duration_ms * self.slowdown_factor), self._finish, on_done
            )

    def _finish(self, on_done: Callable[[], None]) -> None:
        self._running -= 1
        on_done()
        self._start_queued()
