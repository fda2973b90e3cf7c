"""Buffered answer that readers join at a byte offset."""

from __future__ import annotations

from typing import Protocol


class Reader(Protocol):
    """Receiver of a buffered answer."""

    def on_data(self, data: bytes) -> None:
        """Receive the next bytes."""

    def on_end(self) -> None:
        """Receive the end of the whole answer."""

    def on_break(self) -> None:
        """Learn that the rest will never come."""


class AnswerBuffer:
    """Bytes of one answer with the readers that follow it."""

    __slots__ = ("_data", "_readers", "content_type", "is_broken", "is_done")

    def __init__(self, content_type: str) -> None:
        self._data = bytearray()
        self._readers: list[Reader] = []
        self.content_type = content_type
        self.is_done = False
        self.is_broken = False

    @property
    def size(self) -> int:
        """Return the number of bytes so far."""
        return len(self._data)

    @property
    def has_readers(self) -> bool:
        """Tell whether anyone follows the answer."""
        return bool(self._readers)

    def append(self, data: bytes) -> None:
        """Add bytes and pass them on."""
        self._data += data
        for reader in list(self._readers):
            reader.on_data(data)

    def end(self) -> None:
        """Close the whole answer."""
        self.is_done = True
        readers, self._readers = self._readers, []
        for reader in readers:
            reader.on_end()

    def break_off(self) -> None:
        """Close the answer without its rest."""
        self.is_broken = True
        readers, self._readers = self._readers, []
        for reader in readers:
            reader.on_break()

    def attach(self, reader: Reader, offset: int) -> None:
        """Deliver the bytes from an offset, then follow."""
        if offset < len(self._data):
            reader.on_data(bytes(self._data[offset:]))
        if self.is_broken:
            reader.on_break()
        elif self.is_done:
            reader.on_end()
        else:
            self._readers.append(reader)

    def detach(self, reader: Reader) -> None:
        """Stop to follow; do nothing for an unknown reader."""
        if reader in self._readers:
            self._readers.remove(reader)
