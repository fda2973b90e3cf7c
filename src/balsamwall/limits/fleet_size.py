"""Number of entries that share the limits of the fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.timing import clock as clock_module

# Entries reconnect within some seconds after a change of the coordinator. Its
# count of connected entries is too low until then.
MEMORY_MS = 15_000


class FleetSize:
    """Keep the highest number of entries in recent counts.

    Load pattern: a new coordinator counts one entry, then two, while all are
    running. A share computed from such a count would exceed the limit.
    """

    __slots__ = ("_assumed", "_clock", "_current", "_memory_ms", "_peaks")

    def __init__(
        self,
        clock: clock_module.Clock,
        assumed: int,
        memory_ms: int = MEMORY_MS,
    ) -> None:
        """Set the number of entries to assume before the first count."""
        self._clock = clock
        self._memory_ms = memory_ms
        self._assumed = assumed
        self._current: int | None = None
        # Higher counts before, with the times until which they were current.
        self._peaks: list[tuple[int, int]] = []

    @property
    def is_counted(self) -> bool:
        """Return whether a coordinator has counted the entries yet."""
        return self._current is not None

    @property
    def count(self) -> int:
        """Return the number of entries, at least 1."""
        if self._current is None:
            return self._assumed
        self._drop_outdated()
        return max([self._current, *(count for _, count in self._peaks)])

    def assume(self, count: int) -> None:
        """Set the number of entries to assume before the first count."""
        self._assumed = max(1, count)

    def observe(self, count: int) -> None:
        """Record the number of entries that are connected now."""
        count = max(1, count)
        if self._current is not None and self._current > count:
            self._peaks.append((self._clock.now_ms(), self._current))
        self._current = count
        self._drop_outdated()

    def _drop_outdated(self) -> None:
        oldest_ms = self._clock.now_ms() - self._memory_ms
        self._peaks = [
            (until_ms, count)
            for until_ms, count in self._peaks
            if until_ms >= oldest_ms
        ]
