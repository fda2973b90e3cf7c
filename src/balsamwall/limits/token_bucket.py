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

    @property
    def tokens(self) -> float:
        """Return the tokens in the bucket, below 0 after a charge."""
        self._refill()
        return self._tokens

    def take(self, amount: float = 1.0) -> bool:
        """Take tokens; return False and take none if there are too few."""
        self._refill()
        if self._tokens < amount:
            return False
        self._tokens -= amount
        return True

    def take_or_wait_ms(self, amount: float = 1.0) -> int:
        """Take tokens and return 0, or return the wait in milliseconds.

        If there are too few, none is taken and the wait is at least 1.
        """
        return 0 if self.take(amount) else max(1, self.wait_ms(amount))

    def charge(self, amount: float = 1.0) -> None:
        """Take tokens even if there are too few; later ones pay for them."""
        self._refill()
        self._tokens -= amount

    def drain(self) -> None:
        """Drop all tokens."""
        self._refill()
        self._tokens = min(0.0, self._tokens)

    def set_tokens(self, tokens: float) -> None:
        """Set the tokens, at most to the burst."""
        self._refill()
        self._tokens = min(self._burst, tokens)

    def skip_refill(self) -> None:
        """Drop the tokens that accrued since the last use of the bucket."""
        self._updated_ms = self._clock.now_ms()

    def put_back(self, amount: float = 1.0) -> None:
        """Return tokens that were taken but not used."""
        self._refill()
        self._tokens = min(self._burst, self._tokens + amount)

    def wait_ms(self, amount: float = 1.0) -> int:
        """Return the time until tokens are available, in milliseconds.

        An amount above the burst never is. At a rate of 0 no token will
        arrive, and the result is 60,000.
        """
        self._refill()
        if self._tokens >= amount:
            return 0
        if self._rate <= 0:
            return 60_000
        return int((amount - self._tokens) * 1_000 / self._rate) + 1

    def _refill(self) -> None:
        now_ms = self._clock.now_ms()
        added = (now_ms - self._updated_ms) * self._rate / 1_000
        self._tokens = min(self._burst, self._tokens + added)
        self._updated_ms = now_ms
