"""Token bucket of the stand-ins."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.timing import clock as clock_module


class RateLimit:
    """Bucket that refills with time; a rate of 0 means no limit."""

    __slots__ = ("_burst", "_clock", "_last_ms", "_left", "_rate_per_second")

    def __init__(
        self, clock: clock_module.Clock, rate_per_second: float, burst: int
    ) -> None:
        self._clock = clock
        self._rate_per_second = rate_per_second
        self._burst = burst
        self._left = float(burst)
        self._last_ms = clock.now_ms()

    def take(self) -> bool:
        """Take one unit; return False when there is none."""
        if self._rate_per_second <= 0:
            return True
        now_ms = self._clock.now_ms()
        gained = (now_ms - self._last_ms) * self._rate_per_second / 1_000
        self._left = min(float(self._burst), self._left + gained)
        self._last_ms = now_ms
        if self._left < 1:
            return False
        self._left -= 1
        return True
