"""Handle idempotency keys with a creation time (UUIDv7, RFC 9562)."""

from __future__ import annotations

from typing import TYPE_CHECKING
import uuid

if TYPE_CHECKING:
    import random

_RANDOM_BITS = 74
_RAND_B_BITS = 62


def generate(wall_ms: int, random_source: random.Random) -> str:
    """Return a new UUIDv7 with a Unix time in milliseconds."""
    bits = random_source.getrandbits(_RANDOM_BITS)
    rand_a, rand_b = bits >> _RAND_B_BITS, bits & ((1 << _RAND_B_BITS) - 1)
    value = (wall_ms & ((1 << 48) - 1)) << 80
    value |= 0x7 << 76 | rand_a << 64 | 0b10 << 62 | rand_b
    return str(uuid.UUID(int=value))


def creation_ms(key: str) -> int | None:
    """Return the Unix time in milliseconds of a UUIDv7, or None."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    is_rfc = parsed.variant == uuid.RFC_4122 and parsed.version == 7
    if not is_rfc or str(parsed) != key.lower():
        return None
    return parsed.int >> 80
