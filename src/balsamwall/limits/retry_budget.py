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

    __slots__ = (
        "_clock",
        "_credit",
        "_min_per_s",
        "_rate",
        "_share",
        "_updated_ms",
        "_window_ms",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        share: float = RETRY_SHARE,
        min_per_s: float = MIN_RETRIES_PER_S,
        window_ms: int = WINDOW_MS,
    ) -> None:
        self._clock = clock
        self._share = share
        self._min_per_s = min_per_s
        self._window_ms = window_ms
        self._credit = min_per_s
        self._rate = 0.0  # requests in the window, decaying
        self._updated_ms = clock.now_ms()

    def on_request(self) -> None:
        """Count a first attempt."""
        self._advance()
        self._rate += 1.0
        self._credit = min(self._limit(), self._credit + self._share)

    def set_min_per_s(self, min_per_s: float) -> None:
        """Change the steady minimum, such as a share of a fleet's."""
        self._advance()
        self._min_per_s = min_per_s

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
        return int(missing * 1_000 / self._min_per_s)

    def _limit(self) -> float:
        return self._min_per_s + self._share * self._rate

    def _advance(self) -> None:
        now_ms = self._clock.now_ms()
        passed_ms = now_ms - self._updated_ms
        if passed_ms <= 0:
            return
        self._updated_ms = now_ms
        self._rate *= max(0.0, 1.0 - passed_ms / self._window_ms)
        earned = passed_ms * self._min_per_s / 1_000
        self._credit = min(self._limit(), self._credit + earned)
