"""Reduced traffic to a replica that has just become available."""

from __future__ import annotations

SLOW_START_MS = 10_000
MIN_WEIGHT = 0.1


def weight(since_ms: int) -> float:
    """Return the share of normal traffic, `since_ms` after the start."""
    if since_ms >= SLOW_START_MS:
        return 1.0
    return max(MIN_WEIGHT, since_ms / SLOW_START_MS)
