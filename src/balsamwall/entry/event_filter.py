"""Server-sent event filter that withholds the final marker."""

from __future__ import annotations

import re

DONE_MARKER = b"data: [DONE]"
KEEP_ALIVE = b": keep-alive\n\n"

_BOUNDARY = re.compile(rb"\n\n|\r\n\r\n")
_MARKER = re.compile(rb"(?:\A|(?<=\n))data: ?\[DONE\]")
# A boundary of four bytes may be split between two chunks.
_OVERLAP_BYTES = 3


class EventFilter:
    """Forward complete events; hold the final marker until the end is checked.

    Only complete events are forwarded, so that a comment or an error event
    can follow at any time without being parsed as part of another event.
    """

    __slots__ = ("_buffer", "_has_marker")

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._has_marker = False

    @property
    def buffered_bytes(self) -> int:
        """Return the number of bytes held back."""
        return len(self._buffer)

    def push(self, data: bytes) -> bytes:
        """Return the complete events up to the final marker."""
        # Engines send complete events, so most chunks need no search.
        is_complete = not self._buffer and data.endswith(b"\n\n")
        if is_complete and not self._has_marker and b"[DONE]" not in data:
            return data
        start = max(0, len(self._buffer) - _OVERLAP_BYTES)
        self._buffer += data
        if self._has_marker:
            return b""
        cut = 0
        for match in _BOUNDARY.finditer(self._buffer, start):
            cut = match.end()
        out = bytes(self._buffer[:cut])
        marker = _MARKER.search(out)
        if marker is not None:
            self._has_marker = True
            out = out[: marker.start()]
        del self._buffer[: len(out)]
        return out

    def finish(self) -> bytes:
        """Return the data held back; call it once the end is verified."""
        buffered = bytes(self._buffer)
        self._buffer.clear()
        return buffered
