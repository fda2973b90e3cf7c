"""Keep records of ended attempts, by which duplicates are refused."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.execution import run
    from balsamwall.protocol import message
    from balsamwall.timing import clock as clock_module

# Counted from the last change of the record.
RECORD_RETENTION_MS = 600_000
# Default limit over all entries.
MAX_RECORDS = 20_000


class AttemptRecords:
    """Keep the final message of each ended attempt, bounded by age and number.

    An entry numbers the attempts of all its requests in one ascending order.
    For each entry the highest number of an evicted record is kept, and
    unknown attempts up to that number are refused, so that a late duplicate
    of an attempt whose record was evicted can't run.
    """

    __slots__ = ("_clock", "_highest_evicted", "_limit", "_records")

    def __init__(
        self, clock: clock_module.Clock, limit: int = MAX_RECORDS
    ) -> None:
        self._clock = clock
        self._limit = limit
        self._highest_evicted: dict[str, int] = {}
        self._records: collections.OrderedDict[
            run.AttemptKey, tuple[int, message.Message]
        ] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def add(self, key: run.AttemptKey, final_message: message.Message) -> None:
        """Record the reply to later messages about an attempt."""
        now_ms = self._clock.now_ms()
        self._records[key] = (now_ms, final_message)
        self._records.move_to_end(key)
        while self._records:
            oldest, (added_ms, _) = next(iter(self._records.items()))
            is_old = added_ms + RECORD_RETENTION_MS <= now_ms
            if not is_old and len(self._records) <= self._limit:
                break
            del self._records[oldest]
            peer, _, attempt = oldest
            self._highest_evicted[peer] = max(
                attempt, self._highest_evicted.get(peer, -1)
            )

    def get(self, key: run.AttemptKey) -> message.Message | None:
        """Return the final message of an attempt, or None without a record."""
        record = self._records.get(key)
        return None if record is None else record[1]

    def is_possibly_evicted(self, key: run.AttemptKey) -> bool:
        """Return whether an attempt without a record may have had one.

        Call `get` first: this method does not check whether there is a record.
        """
        return key[2] <= self._highest_evicted.get(key[0], -1)
