"""Rate-limited log of decisions."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eliot

from balsamwall.limits import token_bucket

if TYPE_CHECKING:
    from balsamwall.timing import clock as clock_module

# High enough to trace single requests, low enough that an overload does not
# fill the disk.
LINES_PER_S = 40
BURST_LINES = 200
SUMMARY_INTERVAL_MS = 1_000


class DecisionLog:
    """Logs one line per decision, up to a rate for each event name."""

    __slots__ = ("_buckets", "_clock", "_dropped")

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._buckets: dict[str, token_bucket.TokenBucket] = {}
        self._dropped: dict[str, int] = {}

    def start(self) -> None:
        """Start to log the number of dropped lines once per interval."""
        self._clock.call_later(SUMMARY_INTERVAL_MS, self.start)
        for event, count in self._dropped.items():
            eliot.log_message("lines_dropped", event=event, count=count)
        self._dropped.clear()

    def write(self, event: str, **fields: object) -> None:
        """Log a line, or count it as dropped if its event is over the rate."""
        bucket = self._buckets.get(event)
        if bucket is None:
            bucket = token_bucket.TokenBucket(
                self._clock, LINES_PER_S, BURST_LINES
            )
            self._buckets[event] = bucket
        if not bucket.take():
            self._dropped[event] = self._dropped.get(event, 0) + 1
            return
        eliot.log_message(event, **fields)
