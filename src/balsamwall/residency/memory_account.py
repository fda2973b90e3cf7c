"""Define how to charge the memory of one backend server."""

from __future__ import annotations

from typing import Protocol


class MemoryAccount(Protocol):
    """Account for the memory of one accelerator group."""

    @property
    def capacity_bytes(self) -> int:
        """Return the capacity in bytes."""

    @property
    def committed_bytes(self) -> int:
        """Return the sum of all charges in bytes."""

    @property
    def free_bytes(self) -> int:
        """Return capacity minus charges in bytes."""

    def charge(self, key: str, size_bytes: int) -> bool:
        """Charge memory; return False without a charge if it is short."""

    def release(self, key: str) -> None:
        """Release a charge; do nothing for an unknown key."""
