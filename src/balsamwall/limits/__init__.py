"""Rate, concurrency, retry and deadline limits."""

from __future__ import annotations
