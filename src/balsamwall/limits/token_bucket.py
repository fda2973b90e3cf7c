"""Token bucket for rate limits with bursts."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.timing import clock as clock_module


class TokenBucket:
    """Bucket that refills at a rate per second up to its burst.

    It starts full. A burst below 1 counts as 1.
    """

    __slots__ = ("_burst", "_clock", "_rate", "_tokens", "_updated_ms")

    def __init__(
        self, clock: clock_module.Clock, rate_per_s: float, burst: float
    ) -> None:
        self._clock = clock
        self._rate = rate_per_s
        self._burst = float(max(1, burst))
        self._tokens = self._burst
        self._updated_ms = clock.now_ms()

    def set_rate(self, rate_per_s: float, burst: float) -> None:
        """Set the rate and the burst; drop tokens above the new burst."""
        self._refill()
        self._rate = rate_per_s
        self._burst = float(max(1, burst))
        self._tokens = min(self._tokens, self._burst)

    def take(self) -> bool:
        """Take one token; return False if there is none."""
        self._refill()
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def take_or_wait_ms(self) -> int:
        """Take one token and return 0, or return the wait in milliseconds.

        If there is no token, none is taken and the wait is at least 1.
        """
        return 0 if self.take() else max(1, self.wait_ms())

    def charge(self) -> None:
        """Take one token even if there is none; later tokens pay for it."""
        self._refill()
        self._tokens -= 1.0

    def drain(self) -> None:
        """Drop all tokens."""
        self._refill()
        self._tokens = min(0.0, self._tokens)

    def put_back(self) -> None:
        """Return a token that was taken but not used."""
        self._refill()
        self._tokens = min(self._burst, self._tokens + 1.0)

    def wait_ms(self) -> int:
        """Return the time until a token is available, in milliseconds.

        At a rate of 0 no token will arrive, and the result is 60,000.
        """
        self._refill()
        if self._tokens >= 1.0:
            return 0
        if self._rate <= 0:
            return 60_000
        return int((1.0 - self._tokens) * 1_000 / self._rate) + 1

    def _refill(self) -> None:
        now_ms = self._clock.now_ms()
        added = (now_ms - self._updated_ms) * self._rate / 1_000
        self._tokens = min(self._burst, self._tokens + added)
        self._updated_ms = now_ms
