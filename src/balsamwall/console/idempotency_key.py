"""Idempotency keys of requests that the tool sends."""

from __future__ import annotations

import secrets
import time
import uuid


def new_key() -> str:
    """Return a UUIDv7 of RFC 9562; it carries its creation time."""
    value = (time.time_ns() // 1_000_000 & (2**48 - 1)) << 80
    value |= 0x7 << 76 | secrets.randbits(12) << 64
    value |= 0b10 << 62 | secrets.randbits(62)
    return str(uuid.UUID(int=value))
