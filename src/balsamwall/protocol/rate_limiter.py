"""Rate limit with a burst."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.timing import clock


class RateLimiter:
    """Bucket of tokens that fills at a constant rate."""

    __slots__ = ("_burst", "_clock", "_per_second", "_tokens", "_updated_ms")

    def __init__(
        self, clock: clock.Clock, per_second: float, burst: float
    ) -> None:
        self._clock = clock
        self._per_second = per_second
        self._burst = burst
        self._tokens = burst
        self._updated_ms = clock.now_ms()

    @property
    def is_full(self) -> bool:
        """Tell whether nothing was taken recently."""
        self._fill()
        return self._tokens >= self._burst

    def take(self) -> int:
        """Take one token; return 0, or the wait in milliseconds."""
        self._fill()
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return 0
        return max(1, int((1.0 - self._tokens) / self._per_second * 1_000))

    def _fill(self) -> None:
        now_ms = self._clock.now_ms()
        gained = (now_ms - self._updated_ms) * self._per_second / 1_000
        self._tokens = min(self._burst, self._tokens + gained)
        self._updated_ms = now_ms
