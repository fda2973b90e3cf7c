"""Idempotency keys that the entry makes and checks."""

from __future__ import annotations

import re
from typing import Protocol
from typing import TYPE_CHECKING

from balsamwall.idempotency import uuid7

if TYPE_CHECKING:
    import random

    from balsamwall.timing import clock

MAX_KEY_LENGTH = 128

_PRINTABLE = re.compile(r"[!-~]{1,128}")


class KeySource(Protocol):
    """Maker of keys for callers that send none."""

    def new_key(self, tenant: str, workspace: str, service: str) -> str:
        """Return a fresh UUIDv7."""


class RandomKeySource:
    """Maker of UUIDv7 without regard to key homes."""

    __slots__ = ("_clock", "_random")

    def __init__(self, clock: clock.Clock, random: random.Random) -> None:
        self._clock = clock
        self._random = random

    def new_key(self, tenant: str, workspace: str, service: str) -> str:
        """Return a fresh UUIDv7."""
        return uuid7.generate(self._clock.wall_ms(), self._random)


def is_usable(key: str) -> bool:
    """Tell whether a key is short and printable ASCII."""
    return _PRINTABLE.fullmatch(key) is not None


def is_uuid7(key: str) -> bool:
    """Tell whether a key is a UUIDv7 in its usual text form."""
    return uuid7.creation_ms(key) is not None
