"""Filter of server-sent events that withholds the final marker."""

from __future__ import annotations

import re

DONE_MARKER = b"data: [DONE]"
KEEP_ALIVE = b": keep-alive\n\n"

_BOUNDARY = re.compile(rb"\n\n|\r\n\r\n")
_MARKER = re.compile(rb"(?:\A|(?<=\n))data: ?\[DONE\]")
# A boundary of four bytes may be split between two parts.
_OVERLAP_BYTES = 3


class EventFilter:
    """Pass whole events; hold the final marker until the verified end.

    Only whole events are passed, so that a comment or an error event can
    follow at any time and is not read as a part of another event.
    """

    __slots__ = ("_held", "_is_done")

    def __init__(self) -> None:
        self._held = bytearray()
        self._is_done = False

    @property
    def held_bytes(self) -> int:
        """Return the size of what is held."""
        return len(self._held)

    def push(self, data: bytes) -> bytes:
        """Return the whole events that may be passed on now."""
        # Engines send whole events, so most parts need no search.
        is_whole = not self._held and data.endswith(b"\n\n")
        if is_whole and not self._is_done and b"[DONE]" not in data:
            return data
        start = max(0, len(self._held) - _OVERLAP_BYTES)
        self._held += data
        if self._is_done:
            return b""
        cut = 0
        for match in _BOUNDARY.finditer(self._held, start):
            cut = match.end()
        out = bytes(self._held[:cut])
        marker = _MARKER.search(out)
        if marker is not None:
            self._is_done = True
            out = out[: marker.start()]
        del self._held[: len(out)]
        return out

    def finish(self) -> bytes:
        """Return what was held, after the end was verified."""
        held = bytes(self._held)
        self._held.clear()
        return held
