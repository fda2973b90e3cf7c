"""Limit on the number of requests in progress."""

from __future__ import annotations


class ConcurrencyLimit:
    """Counter with an upper bound that can change at any time."""

    __slots__ = ("_limit", "_in_use")

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._in_use = 0

    @property
    def in_use(self) -> int:
        """Return the number of requests in progress."""
        return self._in_use

    def set_limit(self, limit: int) -> None:
        """Set the limit; requests in progress above it continue.

        No slot can be acquired until enough of them have been released.
        """
        self._limit = limit

    def acquire(self) -> bool:
        """Acquire a slot; return False if all are in use."""
        if self._in_use >= self._limit:
            return False
        self._in_use += 1
        return True

    def release(self) -> None:
        """Release a slot."""
        self._in_use = max(0, self._in_use - 1)
