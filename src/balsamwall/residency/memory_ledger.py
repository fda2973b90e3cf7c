"""Keep a ledger of the committed memory of one backend server."""

from __future__ import annotations


class MemoryLedger:
    """Hold memory charges by key; no new charge may exceed the capacity.

    Memory that the engine already uses is charged even above it.
    """

    __slots__ = ("_capacity_bytes", "_charges", "_committed_bytes")

    def __init__(self, capacity_bytes: int = 0) -> None:
        self._capacity_bytes = capacity_bytes
        self._charges: dict[str, int] = {}
        self._committed_bytes = 0

    @property
    def capacity_bytes(self) -> int:
        """Return the capacity in bytes; 0 until the engine has reported it."""
        return self._capacity_bytes

    @property
    def committed_bytes(self) -> int:
        """Return the sum of all charges in bytes."""
        return self._committed_bytes

    @property
    def free_bytes(self) -> int:
        """Return capacity minus charges in bytes, at least 0."""
        return max(0, self._capacity_bytes - self._committed_bytes)

    def set_capacity(self, capacity_bytes: int) -> None:
        """Set the capacity in bytes, as reported by the engine."""
        self._capacity_bytes = capacity_bytes

    def charged_bytes(self, key: str) -> int:
        """Return the charge under a key in bytes, 0 without one."""
        return self._charges.get(key, 0)

    def charge(self, key: str, size_bytes: int) -> bool:
        """Charge memory; return False without a charge if it is short.

        An existing charge is raised to the size, but never lowered. Raises
        ValueError for a negative size.
        """
        if size_bytes < 0:
            raise ValueError(f"negative charge of {size_bytes} for {key}")
        added = size_bytes - self._charges.get(key, 0)
        if added > 0:
            if added > self._capacity_bytes - self._committed_bytes:
                return False
            self._committed_bytes += added
            self._charges[key] = size_bytes
        else:
            self._charges.setdefault(key, size_bytes)
        return True

    def charge_up_to(self, key: str, size_bytes: int) -> bool:
        """Charge free memory up to a size; return whether all is charged."""
        charged = self._charges.get(key, 0)
        return (
            self.charge(key, min(size_bytes, charged + self.free_bytes))
            and self._charges[key] >= size_bytes
        )

    def charge_existing(self, key: str, size_bytes: int) -> None:
        """Charge memory in use by the engine, even above the capacity."""
        added = size_bytes - self._charges.get(key, 0)
        if added > 0 or key not in self._charges:
            self._charges[key] = size_bytes
            self._committed_bytes += added

    def shrink(self, key: str, size_bytes: int) -> None:
        """Lower a charge to a size in bytes; never raise it."""
        charged = self._charges.get(key)
        if charged is None or charged <= size_bytes:
            return
        self._committed_bytes -= charged - size_bytes
        self._charges[key] = size_bytes

    def release(self, key: str) -> None:
        """Release a charge; do nothing for an unknown key."""
        self._committed_bytes -= self._charges.pop(key, 0)
