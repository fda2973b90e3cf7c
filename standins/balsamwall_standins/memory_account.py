"""Accounting of the memory that an engine has committed."""

from __future__ import annotations


class MemoryAccount:
    """Track charges by key and count each rise above the capacity.

    Keys have the form KIND:NAME; totals are kept per kind.
    """

    __slots__ = (
        "_charges",
        "_used_by_kind",
        "capacity_bytes",
        "over_capacity_count",
        "peak_bytes",
        "used_bytes",
    )

    def __init__(self, capacity_bytes: int) -> None:
        self._charges: dict[str, int] = {}
        self._used_by_kind: dict[str, int] = {}
        self.capacity_bytes = capacity_bytes
        self.over_capacity_count = 0
        self.peak_bytes = 0
        self.used_bytes = 0

    def used_by(self, kind: str) -> int:
        """Return the bytes charged to a kind."""
        return self._used_by_kind.get(kind, 0)

    def fits(self, size_bytes: int) -> bool:
        """Tell whether a charge would not exceed the capacity."""
        return self.used_bytes + size_bytes <= self.capacity_bytes

    def charge(self, key: str, size_bytes: int) -> None:
        """Add or replace a charge, even if it exceeds the capacity."""
        was_over = self.used_bytes > self.capacity_bytes
        self.release(key)
        self._charges[key] = size_bytes
        self._add(key, size_bytes)
        self.peak_bytes = max(self.peak_bytes, self.used_bytes)
        if self.used_bytes > self.capacity_bytes and not was_over:
            self.over_capacity_count += 1

    def release(self, key: str) -> None:
        """Remove a charge; do nothing for an unknown key."""
        self._add(key, -self._charges.pop(key, 0))

    def clear(self) -> None:
        """Remove all charges."""
        self._charges.clear()
        self._used_by_kind.clear()
        self.used_bytes = 0

    def _add(self, key: str, size_bytes: int) -> None:
        kind = key.partition(":")[0]
        self.used_bytes += size_bytes
        self._used_by_kind[kind] = self.used_by(kind) + size_bytes
