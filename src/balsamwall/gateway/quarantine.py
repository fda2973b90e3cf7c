"""Hold the content that crashes servers and must not be sent to them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from balsamwall.timing import clock as clock_module

QUARANTINE_MS = 300_000
# The oldest entry is dropped beyond this number.
MAX_ENTRIES = 1_000


class Quarantine:
    """Match requests by sets of fingerprints, each until it expires.

    A request is held back if it has all fingerprints of a set. A set has more
    than one fingerprint if these were always seen together, so that it is not
    known which of them is at fault.
    """

    __slots__ = ("_by_member", "_clock", "_until_ms")

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._until_ms: dict[frozenset[bytes], int] = {}
        # By one fingerprint of each set, for a fast lookup.
        self._by_member: dict[bytes, set[frozenset[bytes]]] = {}

    def __len__(self) -> int:
        return len(self._until_ms)

    def add(self, content: frozenset[bytes], remaining_ms: int) -> bool:
        """Hold back a set for a time; return whether it is a new one."""
        if not content:
            return False
        is_new = content not in self._until_ms
        self._until_ms.pop(content, None)
        self._until_ms[content] = self._clock.now_ms() + remaining_ms
        self._by_member.setdefault(min(content), set()).add(content)
        if len(self._until_ms) > MAX_ENTRIES:
            self.remove(next(iter(self._until_ms)))
        return is_new

    def remove(self, content: frozenset[bytes]) -> bool:
        """Release a set; return whether it was held back."""
        if self._until_ms.pop(content, None) is None:
            return False
        member = min(content)
        self._by_member[member].discard(content)
        if not self._by_member[member]:
            del self._by_member[member]
        return True

    def match(self, fingerprints: frozenset[bytes]) -> frozenset[bytes]:
        """Return a set that the request has in full, else an empty one."""
        for member in fingerprints:
            for content in list(self._by_member.get(member, ())):
                if content <= fingerprints and self.remaining_ms(content):
                    return content
        return frozenset()

    def remaining_ms(self, content: frozenset[bytes]) -> int:
        """Return how long a set is still held back, and drop expired ones."""
        left_ms = self._until_ms.get(content, 0) - self._clock.now_ms()
        if left_ms > 0:
            return left_ms
        self.remove(content)
        return 0

    def entries(self) -> Iterator[tuple[frozenset[bytes], int]]:
        """Yield all sets with the time that they are still held back."""
        for content in list(self._until_ms):
            left_ms = self.remaining_ms(content)
            if left_ms:
                yield content, left_ms
