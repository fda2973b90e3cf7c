"""Whole events of a stream that may be resumed."""

from __future__ import annotations

# Events of engines have some hundred bytes. A stream without an end of an
# event must not fill the memory.
MAX_EVENT_BYTES = 256 * 1024


class EventTooLongError(Exception):
    """Event that is longer than an entry keeps."""


class EventRelay:
    """Forward whole events and remember the identifier of the last one.

    A server may stop in the middle of an event; another server then goes on
    after the last whole one.
    """

    __slots__ = ("_buffer", "last_event_id")

    def __init__(self, last_event_id: bytes | None) -> None:
        self._buffer = b""
        self.last_event_id = last_event_id

    def feed(self, data: bytes) -> bytes:
        """Take a part of the stream; return the whole events.

        Raise EventTooLongError for an event without an end.
        """
        buffer = self._buffer + data
        end = _end_of_events(buffer)
        if len(buffer) - end > MAX_EVENT_BYTES:
            raise EventTooLongError(f"event of over {MAX_EVENT_BYTES} bytes")
        if not end:
            self._buffer = buffer
            return b""
        whole, self._buffer = buffer[:end], buffer[end:]
        for line in whole.splitlines():
            name, _, content = line.partition(b":")
            if name.strip().lower() == b"id":
                self.last_event_id = content.strip()
        return whole

    def drop_partial(self) -> None:
        """Forget an event that its server did not finish."""
        self._buffer = b""

    def take_partial(self) -> bytes:
        """Return what follows the last whole event of a complete stream."""
        rest, self._buffer = self._buffer, b""
        return rest


def _end_of_events(buffer: bytes) -> int:
    """Return the position after the last blank line, 0 without one."""
    end = 0
    for mark in (b"\n\n", b"\r\n\r\n"):
        found = buffer.rfind(mark)
        if found >= 0:
            end = max(end, found + len(mark))
    return end
