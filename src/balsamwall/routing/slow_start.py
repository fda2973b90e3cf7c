"""Reduce traffic to a replica that has just become available."""

from __future__ import annotations

# Time until a replica gets its normal share of traffic.
SLOW_START_MS = 10_000
# Lowest share of normal traffic, just after the start.
MIN_WEIGHT = 0.1


def weight(since_ms: int) -> float:
    """Return the share of normal traffic, `since_ms` after the start."""
    if since_ms >= SLOW_START_MS:
        return 1.0
    return max(MIN_WEIGHT, since_ms / SLOW_START_MS)
