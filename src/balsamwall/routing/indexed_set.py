"""Provide a set with random selection in constant time."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator
    import random


class IndexedSet:
    """Keep a set of strings as a list plus an index of positions."""

    __slots__ = ("_items", "_positions")

    def __init__(self) -> None:
        self._items: list[str] = []
        self._positions: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._items)

    def __iter__(self) -> Iterator[str]:
        return iter(self._items)

    def __contains__(self, item: str) -> bool:
        return item in self._positions

    def add(self, item: str) -> None:
        """Add an item; do nothing if it is present."""
        if item not in self._positions:
            self._positions[item] = len(self._items)
            self._items.append(item)

    def discard(self, item: str) -> None:
        """Remove an item by moving the last one into its position."""
        position = self._positions.pop(item, None)
        if position is None:
            return
        last = self._items.pop()
        if last != item:
            self._items[position] = last
            self._positions[last] = position

    def sample(self, random_source: random.Random) -> str:
        """Return a random item; the set must not be empty."""
        return self._items[int(random_source.random() * len(self._items))]
