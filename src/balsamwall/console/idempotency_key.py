"""Generation of idempotency keys."""

from __future__ import annotations

import random
import time

from balsamwall.idempotency import uuid7


def new_key() -> str:
    """Return a UUIDv7 (RFC 9562), which contains the creation time."""
    wall_ms = time.time_ns() // 1_000_000
    return uuid7.generate(wall_ms, random.SystemRandom())
