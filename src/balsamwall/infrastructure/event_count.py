"""Count the events of server-sent event streams."""

from __future__ import annotations


class EventCount:
    """Count the complete blocks with a field of one event stream.

    A block of comment lines, as sent to keep a connection open, is no event.
    """

    __slots__ = ("_ended_in_cr", "_has_field", "_is_line_start", "value")

    def __init__(self) -> None:
        self._ended_in_cr = False
        self._has_field = False  # whether the current block is an event
        self._is_line_start = True
        self.value = 0

    def feed(self, data: bytes) -> None:
        """Add a part of the stream."""
        if self._ended_in_cr and data.startswith(b"\n"):
            # The line feed belongs to the line end that was counted.
            data = data[1:]
            self._ended_in_cr = False
        if not data:
            return
        for line in data.splitlines(keepends=True):
            is_blank = line[:1] in (b"\r", b"\n")
            if self._is_line_start and not is_blank:
                self._has_field |= not line.startswith(b":")
            elif self._is_line_start and self._has_field:
                self._has_field = False
                self.value += 1
            self._is_line_start = line.endswith((b"\r", b"\n"))
        self._ended_in_cr = data.endswith(b"\r")
