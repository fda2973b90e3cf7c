"""Rate, concurrency, queue and retry limits."""

from __future__ import annotations
