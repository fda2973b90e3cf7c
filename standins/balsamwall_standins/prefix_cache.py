"""Prefix cache of an engine that reports events late and with gaps."""

from __future__ import annotations

import collections
import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.timing import clock as clock_module

MAX_EVENTS = 4_096


class PrefixCache:
    """LRU cache of blocks; a seeded share of its events is dropped."""

    __slots__ = (
        "_blocks",
        "_clock",
        "_events",
        "_gap_rate",
        "_lag_ms",
        "_max_blocks",
        "_random",
        "_sequence",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        max_blocks: int,
        lag_ms: int,
        gap_rate: float,
        seed: int,
    ) -> None:
        self._clock = clock
        self._max_blocks = max_blocks
        self._lag_ms = lag_ms
        self._gap_rate = gap_rate
        self._random = random.Random(seed)
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[tuple[int, int, str, int]] = (
            collections.deque(maxlen=MAX_EVENTS)
        )
        self._sequence = 0

    def match(self, hashes: list[int]) -> int:
        """Return how many leading blocks are cached; mark them as used."""
        count = 0
        for block in hashes:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            count += 1
        return count

    def cached_prefix(self, hashes: list[int]) -> list[int]:
        """Return the leading blocks that are cached; mark them as used."""
        return hashes[: self.match(hashes)]

    def store(self, hashes: list[int]) -> None:
        """Add blocks and evict the least recently used ones."""
        for block in hashes:
            if block not in self._blocks:
                self._record("stored", block)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._max_blocks:
            evicted, _ = self._blocks.popitem(last=False)
            self._record("removed", evicted)

    def clear(self) -> None:
        """Drop all blocks and events and restart the numbering."""
        self._blocks.clear()
        self._events.clear()
        self._sequence = 0

    def events_since(self, since: int) -> dict[str, object]:
        """Return the visible events from a sequence number on."""
        visible_until = self._clock.now_ms() - self._lag_ms
        found = [
            event
            for event in self._events
            if event[0] >= since and event[1] <= visible_until
        ]
        expected = since
        has_gap = False
        for event in found:
            has_gap = has_gap or event[0] != expected
            expected = event[0] + 1
        return {
            "next": expected,
            "has_gap": has_gap,
            "age_ms": self._lag_ms,
            "events": [
                {"sequence": number, "kind": kind, "prefix": block}
                for number, _, kind, block in found
            ],
        }

    def _record(self, kind: str, block: int) -> None:
        number = self._sequence
        self._sequence += 1
        if self._random.random() >= self._gap_rate:
            now_ms = self._clock.now_ms()
            self._events.append((number, now_ms, kind, block))
