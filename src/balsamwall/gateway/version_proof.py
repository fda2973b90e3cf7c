"""Read the record of software versions for streams of unknown origin."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.timing import clock as clock_module

# Shortest time between two reads: 500 a second of all entries, where the store
# accepts 2,000.
READ_INTERVAL_PER_ENTRY_MS = 2
# Time after a restore of the store in which other entries write the versions
# again that its copy lacks, and servers their records.
RESTORE_SETTLE_MS = 3_000


class VersionProof:
    """Share the reads that prove which versions are recorded now.

    The copy of the record in an entry may be old: while it is cut off from the
    store and the coordinator, others may begin streams at a newer version. A
    read that begins after a caller has resumed a stream has every version that
    can have begun it, unless the store has just returned from a copy. Requests
    share reads, of which one is in progress.

    Load pattern: all entries restart, and their callers resume many streams of
    unknown origin within a second.
    """

    __slots__ = (
        "_clock",
        "_count_entries",
        "_is_busy",
        "_read",
        "_settled_ms",
        "_waiting",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        count_entries: Callable[[], int],
        read: Callable[[Callable[[bool], None]], None],
    ) -> None:
        """Set what reads the record and calls back with its success."""
        self._clock = clock
        self._count_entries = count_entries
        self._read = read
        # Whether a read is in progress or was made a moment ago.
        self._is_busy = False
        self._waiting: list[Callable[[bool], None]] = []
        self._settled_ms = clock.now_ms()

    def on_restored(self) -> None:
        """Distrust the record, whose copy may lack a version, for a time."""
        self._settled_ms = self._clock.now_ms() + RESTORE_SETTLE_MS

    def confirm(self, callback: Callable[[bool], None]) -> None:
        """Call back with whether a read that begins from now on succeeds."""
        self._waiting.append(callback)
        self._run()

    def _run(self) -> None:
        if self._is_busy or not self._waiting:
            return
        self._is_busy = True
        begun_ms = self._clock.now_ms()
        if begun_ms < self._settled_ms:
            delay_ms = self._settled_ms - begun_ms
            self._clock.call_later(delay_ms, self._on_interval_over)
            return
        waiting, self._waiting = self._waiting, []

        def on_read(is_read: bool) -> None:
            # The read itself may have shown that the store was restored.
            is_read = is_read and begun_ms >= self._settled_ms
            interval_ms = READ_INTERVAL_PER_ENTRY_MS * self._count_entries()
            self._clock.call_later(interval_ms, self._on_interval_over)
            for callback in waiting:
                callback(is_read)

        self._read(on_read)

    def _on_interval_over(self) -> None:
        self._is_busy = False
        self._run()
