"""Number of entries in the store, for entries that restart."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Success

if TYPE_CHECKING:
    from balsamwall.infrastructure import key_value_service
    from balsamwall.limits import fleet_size as fleet_size_module
    from balsamwall.logs import decision_log
    from balsamwall.timing import clock as clock_module

# Shortest time between two writes.
WRITE_INTERVAL_MS = 5_000
# A smaller change of the number of entries is not written.
MIN_CHANGE = 0.1  # of the recorded number
# A record above this is not one of this program.
MAX_ENTRIES = 100_000


class EntryCountRecord:
    """Write the number of entries, and assume it before the first count.

    Load pattern: all entries are killed at once and restart under load. Until
    a coordinator counts them, each uses a share of every quota by the number
    of entries, and a number far too high refuses most requests. The record is
    written at the revision that was last seen, so that a write that the store
    executes late changes nothing.
    """

    __slots__ = (
        "_clock",
        "_count",
        "_fleet_size",
        "_is_writing",
        "_key",
        "_log",
        "_next_write_ms",
        "_revision",
        "_store",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        store: key_value_service.KeyValueService,
        key: str,
        fleet_size: fleet_size_module.FleetSize,
        log: decision_log.DecisionLog,
    ) -> None:
        self._clock = clock
        self._store = store
        self._key = key
        self._fleet_size = fleet_size
        self._log = log
        self._count = 0
        self._revision = 0
        self._is_writing = False
        # The record is read before the first write.
        self._next_write_ms = clock.now_ms() + WRITE_INTERVAL_MS

    def start(self) -> None:
        """Follow the record."""
        self._store.watch(self._key, self._on_change)

    def update(self, count: int) -> None:
        """Write the number of entries if it differs from the record.

        It must differ by more than MIN_CHANGE, and is written at most once per
        WRITE_INTERVAL_MS.
        """
        now_ms = self._clock.now_ms()
        if self._is_writing or now_ms < self._next_write_ms:
            return
        if abs(count - self._count) <= MIN_CHANGE * self._count:
            return
        self._is_writing = True
        self._next_write_ms = now_ms + WRITE_INTERVAL_MS
        self._store.compare_and_swap(
            self._key, self._revision, b"%d" % count, self._on_written
        )

    def _on_written(self, result: key_value_service.RevisionResult) -> None:
        """Allow the next write; the watch delivers what is stored."""
        self._is_writing = False
        if not isinstance(result, Success):
            self._log.write(
                "entry_count_not_written", code=result.failure().name
            )

    def _on_change(self, item: key_value_service.KeyValue) -> None:
        text = item.value
        if text is None:
            self._count = self._revision = 0
            return
        self._revision = item.revision
        is_number = text.isdigit() and len(text) <= len(str(MAX_ENTRIES))
        if not is_number or not 0 < int(text) <= MAX_ENTRIES:
            self._log.write("entry_count_unreadable", revision=item.revision)
            self._count = 0
            return
        self._count = int(text)
        self._fleet_size.assume(self._count)
