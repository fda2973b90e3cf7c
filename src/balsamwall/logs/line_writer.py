"""Non-blocking writer of log lines."""

from __future__ import annotations

import os

# While the reader is slow, lines are buffered up to this size, then dropped.
MAX_BUFFERED_BYTES = 262_144


class LineWriter:
    """Writes lines to a file descriptor; drops lines if the buffer is full.

    The descriptor must be in non-blocking mode, so that a reader that stops
    causes lost lines but never blocks the process. `dropped` counts the lost
    lines.
    """

    __slots__ = ("_descriptor", "_buffer", "dropped")

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._buffer = b""
        self.dropped = 0

    def write(self, data: str | bytes) -> int:
        """Buffer and write complete lines; return their size in bytes."""
        raw = data.encode() if isinstance(data, str) else data
        if len(self._buffer) + len(raw) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            self.flush()
            return len(raw)
        self._buffer += raw
        self.flush()
        return len(raw)

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts."""
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, so the failure can't be logged; the
                # counter is the only report.
                self.dropped += self._buffer.count(b"\n")
                self._buffer = b""
                return
            self._buffer = self._buffer[written:]
