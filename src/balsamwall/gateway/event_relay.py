"""Relay resumable server-sent event streams by complete events."""

from __future__ import annotations

# Events of engines have a few hundred bytes. The limit bounds the buffer for a
# stream in which an event never ends.
MAX_EVENT_BYTES = 256 * 1024


class EventTooLongError(Exception):
    """Report an event that exceeds MAX_EVENT_BYTES."""


class EventRelay:
    """Forward complete events and track the last event identifier.

    If a server stops in the middle of an event, another server resumes the
    stream after the last complete event.
    """

    __slots__ = ("_buffer", "last_event_id")

    def __init__(self, last_event_id: bytes | None) -> None:
        self._buffer = b""
        self.last_event_id = last_event_id

    def feed(self, data: bytes) -> bytes:
        """Add a part of the stream; return the events completed by it.

        Raises EventTooLongError if an incomplete event exceeds the limit.
        """
        buffer = self._buffer + data
        end = _end_of_events(buffer)
        if len(buffer) - end > MAX_EVENT_BYTES:
            raise EventTooLongError(f"event exceeds {MAX_EVENT_BYTES} bytes")
        if not end:
            self._buffer = buffer
            return b""
        complete, self._buffer = buffer[:end], buffer[end:]
        for line in complete.splitlines():
            name, _, content = line.partition(b":")
            if name.strip().lower() == b"id":
                self.last_event_id = content.strip()
        return complete

    def drop_partial(self) -> None:
        """Discard an incomplete event before the stream is resumed."""
        self._buffer = b""

    def take_partial(self) -> bytes:
        """Remove and return the bytes after the last complete event."""
        rest, self._buffer = self._buffer, b""
        return rest


def _end_of_events(buffer: bytes) -> int:
    """Return the position after the last blank line, or 0 without one."""
    end = 0
    for mark in (b"\n\n", b"\r\n\r\n"):
        found = buffer.rfind(mark)
        if found >= 0:
            end = max(end, found + len(mark))
    return end
