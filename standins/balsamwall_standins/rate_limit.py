"""Token bucket rate limit."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.timing import clock as clock_module


class RateLimit:
    """Token bucket; a rate of 0 disables the limit."""

    __slots__ = (
        "_burst",
        "_clock",
        "_last_ms",
        "_available",
        "_rate_per_second",
    )

    def __init__(
        self, clock: clock_module.Clock, rate_per_second: float, burst: int
    ) -> None:
        self._clock = clock
        self._rate_per_second = rate_per_second
        self._burst = burst
        self._available = float(burst)
        self._last_ms = clock.now_ms()

    def take(self) -> bool:
        """Take a token; return False if none is available."""
        if self._rate_per_second <= 0:
            return True
        now_ms = self._clock.now_ms()
        refilled = (now_ms - self._last_ms) * self._rate_per_second / 1_000
        self._available = min(float(self._burst), self._available + refilled)
        self._last_ms = now_ms
        if self._available < 1:
            return False
        self._available -= 1
        return True
