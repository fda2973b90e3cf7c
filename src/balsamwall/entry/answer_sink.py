"""Interface of the caller's side of one answer."""

from __future__ import annotations

from typing import Protocol


class AnswerSink(Protocol):
    """Writer of one HTTP answer."""

    @property
    def is_stalled(self) -> bool:
        """Tell whether the caller has not read for too long."""

    def start(self, status: int, headers: dict[str, str]) -> None:
        """Set status and headers."""

    def write(self, data: bytes) -> None:
        """Write a part of the body."""

    def finish(self) -> None:
        """End the answer."""

    def close_incomplete(self) -> None:
        """Write what is queued and close without the end of the body."""
