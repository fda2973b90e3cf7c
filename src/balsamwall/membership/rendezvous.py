"""Rendezvous (highest random weight) hashing."""

from __future__ import annotations

import hashlib
import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


def score(key: str, member: str) -> int:
    """Return the 64-bit weight of a member for a key.

    The length prefix keeps different pairs from hashing the same text.
    """
    data = f"{len(key)}:{key}{member}".encode()
    digest = hashlib.blake2b(data, digest_size=8).digest()
    return int.from_bytes(digest, "big")


def top_member(key: str, members: Iterable[str]) -> str | None:
    """Return the member with the highest weight, or None if empty."""
    return max(
        members, key=lambda name: (score(key, name), name), default=None
    )


def top_members(key: str, members: Iterable[str], count: int) -> list[str]:
    """Return the `count` members of highest weight, highest first."""
    return heapq.nlargest(
        count, members, key=lambda name: (score(key, name), name)
    )
