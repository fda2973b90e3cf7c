"""Buffer an answer until it is acknowledged."""

from __future__ import annotations

import collections
import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

# Longer parts are split when they are read for sending.
MAX_PART_BYTES = 256 * 1_024
DIGEST_BYTES = 16


class StreamBuffer:
    """Hold the unacknowledged parts of an answer and a digest of all of it."""

    __slots__ = ("_base", "_digest", "_end", "_full_copy", "_parts")

    def __init__(self, is_copy_kept: bool = False) -> None:
        self._base = 0
        self._end = 0
        self._parts: collections.deque[bytes] = collections.deque()
        self._digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
        self._full_copy: list[bytes] | None = [] if is_copy_kept else None

    @property
    def base(self) -> int:
        """Return the offset of the first byte that is still kept."""
        return self._base

    @property
    def end(self) -> int:
        """Return the offset after the last byte received."""
        return self._end

    @property
    def size_bytes(self) -> int:
        """Return the number of bytes kept for a later read."""
        return self._end - self._base

    @property
    def digest(self) -> bytes:
        """Return the digest of everything received."""
        return self._digest.digest()

    def append(self, data: bytes) -> None:
        """Append the next part of the answer."""
        if data:
            self._parts.append(data)
            self._end += len(data)
            self._digest.update(data)
            if self._full_copy is not None:
                self._full_copy.append(data)

    def acknowledge(self, offset: int) -> None:
        """Drop the parts that end at or before an offset."""
        while self._parts and self._base + len(self._parts[0]) <= offset:
            self._base += len(self._parts.popleft())

    def read(self, offset: int) -> Iterator[tuple[int, bytes]]:
        """Yield the data from an offset on, in pieces with their offsets."""
        position = self._base
        for part in tuple(self._parts):
            skip = max(0, offset - position)
            while skip < len(part):
                data = part[skip : skip + MAX_PART_BYTES]
                yield position + skip, data
                skip += len(data)
            position += len(part)

    def full_content(self) -> bytes:
        """Return all data received; empty unless `is_copy_kept` was set."""
        return b"".join(self._full_copy or ())
