"""Generation and validation of idempotency keys."""

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
    """Generator of idempotency keys for requests without one."""

    def new_key(self, tenant: str, workspace: str, service: str) -> str:
        """Return a new UUIDv7."""


class RandomKeySource:
    """Key source that ignores the placement of key homes."""

    __slots__ = ("_clock", "_random")

    def __init__(self, clock: clock.Clock, random: random.Random) -> None:
        self._clock = clock
        self._random = random

    def new_key(self, tenant: str, workspace: str, service: str) -> str:
        """Return a new UUIDv7."""
        return uuid7.generate(self._clock.wall_ms(), self._random)


def is_usable(key: str) -> bool:
    """Return whether a key is short, printable ASCII without spaces."""
    return _PRINTABLE.fullmatch(key) is not None


def is_uuid7(key: str) -> bool:
    """Return whether a key is a UUIDv7 in its canonical text form."""
    return uuid7.creation_ms(key) is not None
