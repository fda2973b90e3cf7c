"""Urgency levels of loads; a higher level is served first."""

from __future__ import annotations

REBALANCING = 0
DEFERRABLE = 1
URGENT = 2
# For a name without a reachable copy.
UNREACHABLE = 3
UNREACHABLE_URGENT = 4
