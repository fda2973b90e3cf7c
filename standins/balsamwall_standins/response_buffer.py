"""Buffered response that readers attach to at a byte offset."""

from __future__ import annotations

from typing import Protocol


class Reader(Protocol):
    """Receiver of a buffered response."""

    def on_data(self, data: bytes) -> None:
        """Receive the next bytes."""

    def on_end(self) -> None:
        """Handle the end of a complete response."""

    def on_abort(self) -> None:
        """Handle a response that was aborted before its end."""


class ResponseBuffer:
    """Bytes of a response and the readers that follow it."""

    __slots__ = ("_data", "_readers", "content_type", "is_aborted", "is_done")

    def __init__(self, content_type: str) -> None:
        self._data = bytearray()
        self._readers: list[Reader] = []
        self.content_type = content_type
        self.is_done = False
        self.is_aborted = False

    @property
    def size(self) -> int:
        """Return the number of bytes buffered so far."""
        return len(self._data)

    @property
    def has_readers(self) -> bool:
        """Tell whether any reader is attached."""
        return bool(self._readers)

    def append(self, data: bytes) -> None:
        """Append bytes and pass them to the readers."""
        self._data += data
        for reader in list(self._readers):
            reader.on_data(data)

    def end(self) -> None:
        """Mark the response as complete and detach all readers."""
        self.is_done = True
        readers, self._readers = self._readers, []
        for reader in readers:
            reader.on_end()

    def abort(self) -> None:
        """Mark the response as incomplete and detach all readers."""
        self.is_aborted = True
        readers, self._readers = self._readers, []
        for reader in readers:
            reader.on_abort()

    def attach(self, reader: Reader, offset: int) -> None:
        """Deliver the bytes from an offset, then each later append."""
        if offset < len(self._data):
            reader.on_data(bytes(self._data[offset:]))
        if self.is_aborted:
            reader.on_abort()
        elif self.is_done:
            reader.on_end()
        else:
            self._readers.append(reader)

    def detach(self, reader: Reader) -> None:
        """Remove a reader; do nothing if it is not attached."""
        if reader in self._readers:
            self._readers.remove(reader)
