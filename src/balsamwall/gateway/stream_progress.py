"""Measure the timing of one response, as its caller sees it."""

from __future__ import annotations


class StreamProgress:
    """Measure the time to the first data and the longest gap after it.

    `first_data_ms` counts from the arrival of the request and is None before
    the first data.
    """

    __slots__ = ("_last_ms", "first_data_ms", "longest_gap_ms")

    def __init__(self) -> None:
        self._last_ms = 0
        self.first_data_ms: int | None = None
        self.longest_gap_ms = 0

    def record(self, now_ms: int, arrived_ms: int) -> None:
        """Record that data is sent to the caller."""
        if self.first_data_ms is None:
            self.first_data_ms = now_ms - arrived_ms
        else:
            gap_ms = now_ms - self._last_ms
            self.longest_gap_ms = max(self.longest_gap_ms, gap_ms)
        self._last_ms = now_ms
