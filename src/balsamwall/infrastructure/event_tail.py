"""Find the ends of events in server-sent event streams."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

# A blank line ends an event; lines end in LF, CR LF or CR.
_EVENT_ENDS = (b"\n\n", b"\n\r\n", b"\r\r")
_TAIL_BYTES = max(len(mark) for mark in _EVENT_ENDS)


def end_of_events(buffer: bytes) -> int:
    """Return the position after the last blank line, or 0 without one."""
    end = 0
    for mark in _EVENT_ENDS:
        found = buffer.rfind(mark)
        if found >= 0:
            end = max(end, found + len(mark))
    return end


def is_event_stream(headers: Mapping[str, str]) -> bool:
    """Return whether headers, with lower-case names, are of a stream."""
    kind = headers.get("content-type", "").split(";", 1)[0]
    return kind.strip().lower() == "text/event-stream"


class EventTail:
    """Forward a stream as it arrives and track whether it ends an event."""

    __slots__ = ("_tail", "has_event")

    def __init__(self) -> None:
        self._tail = b""
        self.has_event = False  # whether an event was complete

    @property
    def has_data(self) -> bool:
        """Return whether any part of the stream has arrived."""
        return bool(self._tail)

    @property
    def is_inside_event(self) -> bool:
        """Return whether the last event is incomplete."""
        return self.has_data and not self._tail.endswith(_EVENT_ENDS)

    def feed(self, data: bytes) -> bytes:
        """Add a part of the stream; return what may be forwarded."""
        if not self.has_event:
            self.has_event = end_of_events(self._tail + data) > 0
        self._tail = (self._tail + data[-_TAIL_BYTES:])[-_TAIL_BYTES:]
        return data
