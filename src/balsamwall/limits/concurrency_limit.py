"""Limit of requests in progress."""

from __future__ import annotations


class ConcurrencyLimit:
    """Counter with an upper bound that may change at any time."""

    __slots__ = ("_limit", "_used")

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._used = 0

    @property
    def used(self) -> int:
        """Return the number of requests in progress."""
        return self._used

    def change(self, limit: int) -> None:
        """Take a new bound; requests in progress are kept."""
        self._limit = limit

    def take(self) -> bool:
        """Take one place; return False when all are used."""
        if self._used >= self._limit:
            return False
        self._used += 1
        return True

    def give_back(self) -> None:
        """Give one place back."""
        self._used = max(0, self._used - 1)
