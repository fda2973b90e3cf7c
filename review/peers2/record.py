"""Write what was sent, answered and run to a file."""

from __future__ import annotations

import json
import pathlib
import time


class Record:
    """Append lines with the time since the begin."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._begin_s = time.monotonic()

    def since(self, at_s: float) -> float:
        """Return a time of the steady clock in seconds since the begin."""
        return round(at_s - self._begin_s, 3)

    def write(self, what: str, **fields: object) -> None:
        """Write one line."""
        now_s = self.since(time.monotonic())
        text = json.dumps(fields) if fields else ""
        self._file.write(f"{now_s:8.3f} {what} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()
