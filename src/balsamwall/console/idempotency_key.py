"""Idempotency keys of requests that the tool sends."""

from __future__ import annotations

import random
import time

from balsamwall.idempotency import uuid7


def new_key() -> str:
    """Return a UUIDv7 of RFC 9562; it carries its creation time."""
    wall_ms = time.time_ns() // 1_000_000
    return uuid7.generate(wall_ms, random.SystemRandom())
