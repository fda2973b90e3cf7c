"""Writer of log lines that never blocks."""

from __future__ import annotations

import os

# Lines wait here while the reader is slow; later ones are dropped.
MAX_WAITING_BYTES = 262_144


class LineWriter:
    """Write lines to a descriptor; drop and count what doesn't fit.

    The descriptor must be set to non-blocking mode, so that a reader that
    stops costs lines and nothing else.
    """

    __slots__ = ("_descriptor", "_waiting", "dropped")

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._waiting = b""
        self.dropped = 0

    def write(self, data: str | bytes) -> int:
        """Take one or more whole lines."""
        raw = data.encode() if isinstance(data, str) else data
        if len(self._waiting) + len(raw) > MAX_WAITING_BYTES:
            self.dropped += 1
            self.flush()
            return len(raw)
        self._waiting += raw
        self.flush()
        return len(raw)

    def flush(self) -> None:
        """Write as much as the reader takes now."""
        while self._waiting:
            try:
                written = os.write(self._descriptor, self._waiting)
            except BlockingIOError:
                return
            except OSError:
                # Nobody can read the log any more; there is no other place
                # to report this to than the counter.
                self.dropped += self._waiting.count(b"\n")
                self._waiting = b""
                return
            self._waiting = self._waiting[written:]
