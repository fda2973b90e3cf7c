"""Interface for writing one response to a caller."""

from __future__ import annotations

from typing import Protocol


class ResponseSink(Protocol):
    """Writer of one HTTP response."""

    @property
    def is_stalled(self) -> bool:
        """Return whether the caller has not read for the stall timeout."""

    def start(self, status: int, headers: dict[str, str]) -> None:
        """Set status and headers; call it before the first write."""

    def write(self, data: bytes) -> None:
        """Write a chunk of the body."""

    def finish(self) -> None:
        """Complete the response."""

    def close_incomplete(self) -> None:
        """Flush queued data and close without completing the body.

        The client then sees a truncated response instead of a short one.
        """
