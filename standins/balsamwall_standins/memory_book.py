"""Independent account of the memory that an engine has committed."""

from __future__ import annotations


class MemoryBook:
    """Charges by key; counts the moments when it went over capacity."""

    __slots__ = ("_charges", "capacity_bytes", "over_count", "peak_bytes")

    def __init__(self, capacity_bytes: int) -> None:
        self._charges: dict[str, int] = {}
        self.capacity_bytes = capacity_bytes
        self.over_count = 0
        self.peak_bytes = 0

    @property
    def used_bytes(self) -> int:
        """Return the sum of the charges."""
        return sum(self._charges.values())

    def used_by(self, prefix: str) -> int:
        """Return the sum of the charges whose keys start with a prefix."""
        return sum(
            size
            for key, size in self._charges.items()
            if key.startswith(prefix)
        )

    def fits(self, size_bytes: int) -> bool:
        """Tell whether a charge would stay within the capacity."""
        return self.used_bytes + size_bytes <= self.capacity_bytes

    def charge(self, key: str, size_bytes: int) -> None:
        """Add or replace a charge, also beyond the capacity."""
        was_over = self.used_bytes > self.capacity_bytes
        self._charges[key] = size_bytes
        used = self.used_bytes
        self.peak_bytes = max(self.peak_bytes, used)
        if used > self.capacity_bytes and not was_over:
            self.over_count += 1

    def release(self, key: str) -> None:
        """Remove a charge; do nothing for an unknown key."""
        self._charges.pop(key, None)

    def clear(self) -> None:
        """Remove all charges."""
        self._charges.clear()
