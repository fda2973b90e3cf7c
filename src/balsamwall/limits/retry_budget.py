"""Budget that keeps retries to a share of the recent requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.timing import clock as clock_module

RETRY_SHARE = 0.1
MIN_RETRIES_PER_S = 3.0
WINDOW_MS = 10_000


class RetryBudget:
    """Credit that requests earn and retries spend.

    A steady minimum keeps retries possible at low request rates. The credit
    is bounded by one window, so that a quiet hour does not pay for a storm.
    """

    __slots__ = ("_clock", "_credit", "_rate", "_updated_ms")

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._credit = MIN_RETRIES_PER_S
        self._rate = 0.0  # requests in the window, decaying
        self._updated_ms = clock.now_ms()

    def on_request(self) -> None:
        """Count a first attempt."""
        self._advance()
        self._rate += 1.0
        self._credit = min(self._limit(), self._credit + RETRY_SHARE)

    def take(self) -> bool:
        """Spend one retry; return False when the budget is used up."""
        self._advance()
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True

    def wait_ms(self) -> int:
        """Return the time until a retry is allowed, in milliseconds."""
        self._advance()
        missing = max(0.0, 1.0 - self._credit)
        return int(missing * 1_000 / MIN_RETRIES_PER_S)

    def _limit(self) -> float:
        return MIN_RETRIES_PER_S + RETRY_SHARE * self._rate

    def _advance(self) -> None:
        now_ms = self._clock.now_ms()
        passed_ms = now_ms - self._updated_ms
        if passed_ms <= 0:
            return
        self._updated_ms = now_ms
        self._rate *= max(0.0, 1.0 - passed_ms / WINDOW_MS)
        earned = passed_ms * MIN_RETRIES_PER_S / 1_000
        self._credit = min(self._limit(), self._credit + earned)
