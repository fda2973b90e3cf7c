"""Relay resumable server-sent event streams by complete events."""

from __future__ import annotations

from balsamwall.infrastructure import event_tail

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

    __slots__ = (
        "_buffer",
        "first_event_id",
        "has_data",
        "has_event",
        "last_event_id",
    )

    def __init__(self, last_event_id: bytes | None) -> None:
        self._buffer = b""
        # Of the stream of the current server.
        self.has_data = False
        self.has_event = False  # whether an event was complete
        self.last_event_id = last_event_id
        # First event of the stream of the current server.
        self.first_event_id: bytes | None = None

    @property
    def is_inside_event(self) -> bool:
        """Return whether the last event is incomplete."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> bytes:
        """Add a part of the stream; return the events completed by it.

        Raises EventTooLongError if an incomplete event exceeds the limit.
        """
        self.has_data = True
        buffer = self._buffer + data
        end = event_tail.end_of_events(buffer)
        if len(buffer) - end > MAX_EVENT_BYTES:
            raise EventTooLongError(f"event exceeds {MAX_EVENT_BYTES} bytes")
        if not end:
            self._buffer = buffer
            return b""
        self.has_event = True
        complete, self._buffer = buffer[:end], buffer[end:]
        for line in complete.splitlines():
            name, _, content = line.partition(b":")
            if name.strip().lower() == b"id":
                self.last_event_id = content.strip()
                if self.first_event_id is None:
                    self.first_event_id = self.last_event_id
        return complete

    def prepare_resume(self) -> None:
        """Discard an incomplete event before another server resumes."""
        self._buffer = b""
        self.has_data = False
        self.has_event = False
        self.first_event_id = None
