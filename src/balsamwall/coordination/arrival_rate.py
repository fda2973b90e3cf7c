"""Arrival rate of one model, estimated over two windows."""

from __future__ import annotations

import math

# Time constant of the average that is accurate for models with few requests.
LONG_WINDOW_MS = 3_000
# Time constant of the average that follows a shift of demand.
SHORT_WINDOW_MS = 1_000
# Least filled fraction of a window that the startup correction assumes.
MIN_WINDOW_FRACTION = 0.2


class ArrivalRate:
    """Estimate the arrivals per second of a model and their prompt tokens.

    Load pattern: demand for busy models shifts within seconds, while rare
    models get a request every few seconds. The short average replaces the
    long one only as far as they differ by more than the noise of arrivals.
    """

    __slots__ = ("_long_per_s", "_short_per_s", "_tokens_per_s")

    def __init__(self) -> None:
        self._long_per_s = 0.0
        self._short_per_s = 0.0
        self._tokens_per_s = 0.0

    def add(self, count: float, tokens: float) -> None:
        """Count arrivals and their prompt tokens."""
        self._long_per_s += count * 1_000 / LONG_WINDOW_MS
        self._short_per_s += count * 1_000 / SHORT_WINDOW_MS
        self._tokens_per_s += tokens * 1_000 / LONG_WINDOW_MS

    def decay(self, elapsed_ms: int) -> None:
        """Let the averages age by some time without arrivals."""
        long_decay = math.exp(-elapsed_ms / LONG_WINDOW_MS)
        self._long_per_s *= long_decay
        self._tokens_per_s *= long_decay
        self._short_per_s *= math.exp(-elapsed_ms / SHORT_WINDOW_MS)

    def per_s(self, counted_ms: int) -> float:
        """Return the arrivals per second.

        `counted_ms` is the time since arrivals have been counted. Averages
        start at zero, and underestimate the rate until their window is full.
        """
        long_per_s = self._long_per_s / _filled(LONG_WINDOW_MS, counted_ms)
        short_per_s = self._short_per_s / _filled(SHORT_WINDOW_MS, counted_ms)
        if short_per_s > long_per_s:
            return max(long_per_s, short_per_s - _noise(short_per_s))
        return min(long_per_s, short_per_s + _noise(long_per_s))

    @property
    def mean_tokens(self) -> float:
        """Return the mean prompt tokens of a request, 0 without requests."""
        if self._long_per_s <= 0:
            return 0.0
        return self._tokens_per_s / self._long_per_s


def _filled(window_ms: int, counted_ms: int) -> float:
    """Return the filled fraction of an averaging window."""
    return max(MIN_WINDOW_FRACTION, 1.0 - math.exp(-counted_ms / window_ms))


def _noise(per_s: float) -> float:
    """Return the standard deviation of the short average of a rate."""
    return math.sqrt(per_s * 1_000 / (2 * SHORT_WINDOW_MS))
