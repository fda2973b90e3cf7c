"""Retry budget relative to the number of recent requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.timing import clock as clock_module

RETRY_RATIO = 0.1  # retries per request
MIN_RETRIES_PER_S = 3.0
RETRY_WINDOW_MS = 10_000


class RetryBudget:
    """Limit on retries as a ratio of the requests in a recent window.

    A minimum rate allows retries at low request rates. The credit is at
    most one second of the minimum rate plus the ratio of the recent requests,
    so that credit from an idle period does not allow a burst of retries.
    """

    __slots__ = (
        "_clock",
        "_credit",
        "_min_per_s",
        "_recent_requests",
        "_ratio",
        "_updated_ms",
        "_window_ms",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        ratio: float = RETRY_RATIO,
        min_per_s: float = MIN_RETRIES_PER_S,
        window_ms: int = RETRY_WINDOW_MS,
    ) -> None:
        self._clock = clock
        self._ratio = ratio
        self._min_per_s = min_per_s
        self._window_ms = window_ms
        self._credit = min_per_s
        self._recent_requests = 0.0  # decays over the window
        self._updated_ms = clock.now_ms()

    def on_request(self) -> None:
        """Count a first attempt, which adds credit for retries."""
        self._advance()
        self._recent_requests += 1.0
        self._credit = min(self._limit(), self._credit + self._ratio)

    def set_min_per_s(self, min_per_s: float) -> None:
        """Set the minimum rate, such as one entry's share of a fleet's.

        It is in retries per second and must be above 0.
        """
        self._advance()
        self._min_per_s = min_per_s

    def take(self) -> bool:
        """Spend one retry; return False if the budget is exhausted."""
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
        return self._min_per_s + self._ratio * self._recent_requests

    def _advance(self) -> None:
        now_ms = self._clock.now_ms()
        elapsed_ms = now_ms - self._updated_ms
        if elapsed_ms <= 0:
            return
        self._updated_ms = now_ms
        self._recent_requests *= max(0.0, 1.0 - elapsed_ms / self._window_ms)
        earned = elapsed_ms * self._min_per_s / 1_000
        self._credit = min(self._limit(), self._credit + earned)
