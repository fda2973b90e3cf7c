"""Memory account for backend servers without accelerator memory."""

from __future__ import annotations

_LARGE_BYTES = 1 << 60


class UnlimitedMemory:
    """MemoryAccount of a plain service, whose requests use no KV cache."""

    __slots__ = ()

    @property
    def capacity_bytes(self) -> int:
        """Return 0, because a plain service reports no capacity."""
        return 0

    @property
    def committed_bytes(self) -> int:
        """Return 0, because nothing is charged."""
        return 0

    @property
    def free_bytes(self) -> int:
        """Return a size that no request exceeds."""
        return _LARGE_BYTES

    def charge(self, key: str, size_bytes: int) -> bool:
        """Allow every charge."""
        return True

    def release(self, key: str) -> None:
        """Do nothing, because charges are not recorded."""
