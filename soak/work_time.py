"""Slow periods of a backend server, and the load figure that reports them."""

from __future__ import annotations

import random

from soak import ledger as ledger_module

USUAL_PERCENT = 100
# A stream of the longest kind still ends within its deadline.
MAX_SLOW_PERCENT = 180
MIN_PERIOD_MS = 500
MAX_PERIOD_MS = 2_500


class WorkTime:
    """Time that work takes, usual and slow in turns."""

    __slots__ = ("_percent", "_random", "_until_ms")

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._percent = USUAL_PERCENT
        self._until_ms = 0

    def percent(self) -> int:
        """Return the present time of work, in percent of the usual."""
        now_ms = ledger_module.now_ms()
        if now_ms >= self._until_ms:
            is_slow = self._percent == USUAL_PERCENT
            self._percent = USUAL_PERCENT
            if is_slow:
                self._percent = self._random.randint(
                    USUAL_PERCENT + 1, MAX_SLOW_PERCENT
                )
            self._until_ms = now_ms + self._random.randint(
                MIN_PERIOD_MS, MAX_PERIOD_MS
            )
        return self._percent
