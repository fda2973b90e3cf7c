"""Pass the origins of streams between the entries and to the store."""

from __future__ import annotations

import collections
from typing import Protocol
from typing import TYPE_CHECKING

from balsamwall.coordination import messages_fleet
from balsamwall.gateway import stream_origins

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from balsamwall.coordination import origin_log as origin_log_module
    from balsamwall.gateway import software_versions
    from balsamwall.logs import decision_log
    from balsamwall.timing import clock as clock_module

# Key that a coordinator which accepts message 126 adds to its fleet loads
# while streams may have several versions. Earlier builds ignore it, as they
# know no such server.
ACCEPTS_ORIGINS_KEY = "stream-origins"
# Intervals of reports and broadcasts, which bound the messages of the
# coordinator with many entries, and the delay of what others learn with few.
MIN_REPORT_INTERVAL_MS = 50
REPORT_INTERVAL_PER_ENTRY_MS = 2
# Intervals of the writes of an entry without a coordinator: 100 a second of
# all entries, where the store accepts 400 from everybody.
MIN_WRITE_INTERVAL_MS = 250
WRITE_INTERVAL_PER_ENTRY_MS = 10
# A coordinator announces what it accepts every 250 ms. One that has not done
# so for this time is of an earlier build, or has not read the versions.
ACCEPTANCE_TIMEOUT_MS = 1_000
# A coordinator that has sent no state for this time is frozen or has given up
# its term.
STATE_TIMEOUT_MS = 2_000
# An entry that connects gets what was collected in this time, since its last
# read of the store may have been before, and the relay leaves these keys out.
RECENT_MS = 10_000
# Below the limit of a frame of 1 MiB.
MAX_REPORT_BYTES = 262_144


class OriginLink(Protocol):
    """Connection of an entry to the coordinator."""

    def report_origins(self, item: messages_fleet.StreamOriginReport) -> None:
        """Send a report, if connected."""


def _decode(
    item: messages_fleet.StreamOriginReport,
    log: decision_log.DecisionLog,
    vm: str = "",
) -> stream_origins.Rows | None:
    """Return the rows of a message; log them and return None if invalid."""
    try:
        return stream_origins.decode_rows(item.rows)
    except ValueError as error:
        log.write("stream_origins_invalid", vm=vm, reason=str(error)[:200])
        return None


def _messages(
    rows: stream_origins.Rows,
) -> list[messages_fleet.StreamOriginReport]:
    """Return messages whose frames are short enough."""
    parts = stream_origins.split_rows(rows, MAX_REPORT_BYTES)
    return [
        messages_fleet.StreamOriginReport([list(row) for row in part])
        for part in parts
    ]


class OriginExchange:
    """Report the streams of an entry, and merge those of the others.

    Load pattern: the coordinator is lost under load, by itself or with all
    entries. Without one the entry writes its streams to the store by itself;
    what the lost one may not have passed on is reported again.
    """

    __slots__ = (
        "_clock",
        "_count_entries",
        "_heard_ms",
        "_is_accepted",
        "_link",
        "_linked_ms",
        "_log",
        "_origin_log",
        "_origins",
        "_random",
        "_timer",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        random_source: random.Random,
        origins: stream_origins.StreamOrigins,
        origin_log: origin_log_module.OriginLog,
        count_entries: Callable[[], int],
        log: decision_log.DecisionLog,
    ) -> None:
        self._clock = clock
        self._random = random_source
        self._origins = origins
        self._origin_log = origin_log
        self._count_entries = count_entries
        self._log = log
        self._link: OriginLink | None = None
        # When the present stream began, None without one.
        self._linked_ms: int | None = None
        # Whether the coordinator accepts reports on the present stream.
        self._is_accepted = False
        self._heard_ms = 0  # when the coordinator last sent its state
        self._timer: clock_module.Timer | None = None
        origins.set_listener(self._schedule)

    def set_link(self, link: OriginLink) -> None:
        """Set the client of the coordinator."""
        self._link = link

    def on_connected(self) -> None:
        """Stop reports until the present coordinator accepts them.

        It may be of an earlier build.
        """
        self._linked_ms = self._clock.now_ms()
        self._restart()

    def on_link_lost(self) -> None:
        """Write to the store what the coordinator may not have passed on."""
        self._linked_ms = None
        self._restart()

    def on_loads(self, loads: dict[str, int]) -> None:
        """Send a first report, maybe without rows, if it is asked for."""
        self._heard_ms = self._clock.now_ms()
        if self._is_accepted or ACCEPTS_ORIGINS_KEY not in loads:
            return
        self._is_accepted = True
        self._stop_timer()
        if not self._report():
            self._send(messages_fleet.StreamOriginReport([]))

    def apply(self, item: messages_fleet.StreamOriginReport) -> None:
        """Merge what the coordinator has collected."""
        rows = _decode(item, self._log)
        if rows is not None:
            self._origins.merge(rows)

    def _restart(self) -> None:
        self._is_accepted = False
        self._stop_timer()
        self._origins.report_again()
        if self._origins.has_unreported:
            self._schedule()

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _schedule(self) -> None:
        if self._timer is None:
            self._timer = self._clock.call_later(
                self._interval_ms(), self._on_due
            )

    def _interval_ms(self) -> int:
        entries = self._count_entries()
        if self._is_accepted:
            return max(
                MIN_REPORT_INTERVAL_MS, REPORT_INTERVAL_PER_ENTRY_MS * entries
            )
        interval_ms = max(
            MIN_WRITE_INTERVAL_MS, WRITE_INTERVAL_PER_ENTRY_MS * entries
        )
        # All entries lose the coordinator at the same moment.
        return int(interval_ms * self._random.uniform(0.5, 1.5))

    def _on_due(self) -> None:
        self._timer = None
        silent_ms = self._clock.now_ms() - self._heard_ms
        if self._is_accepted and silent_ms > STATE_TIMEOUT_MS:
            self.on_link_lost()
        elif self._is_accepted:
            self._report()
        elif not self._is_acceptance_due():
            self._origin_log.add(self._origins.take_unreported())
        elif self._origins.has_unreported:
            self._schedule()

    def _is_acceptance_due(self) -> bool:
        """Return whether the coordinator may still accept reports."""
        if self._linked_ms is None:
            return False
        waited_ms = self._clock.now_ms() - self._linked_ms
        return waited_ms < ACCEPTANCE_TIMEOUT_MS

    def _report(self) -> bool:
        """Send what is unreported; return whether there was anything."""
        items = _messages(self._origins.take_unreported())
        for item in items:
            self._send(item)
        return bool(items)

    def _send(self, item: messages_fleet.StreamOriginReport) -> None:
        if self._link is not None:
            self._link.report_origins(item)


class OriginMerger:
    """Collect the reports of the entries, in the coordinator.

    Load pattern: two versions serve at the full rate of streams of all
    entries. Each stream costs 8 bytes to each entry, in few messages.
    """

    __slots__ = (
        "_clock",
        "_count_entries",
        "_log",
        "_origin_log",
        "_origins",
        "_pending",
        "_recent",
        "_reporting",
        "_send",
        "_timer",
        "_to_write",
        "_versions",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        versions: software_versions.SoftwareVersions,
        origins: stream_origins.StreamOrigins,
        origin_log: origin_log_module.OriginLog,
        count_entries: Callable[[], int],
        send: Callable[[str, messages_fleet.StreamOriginReport], None],
        log: decision_log.DecisionLog,
    ) -> None:
        """Set the origins of the entry in this process, and how to send."""
        self._clock = clock
        self._versions = versions
        self._origins = origins
        self._origin_log = origin_log
        self._count_entries = count_entries
        self._send = send
        self._log = log
        # Entries that have reported on their present stream.
        self._reporting: set[str] = set()
        self._pending: stream_origins.Rows = []
        self._to_write: stream_origins.Rows = []
        # What was broadcast in the last RECENT_MS, with the times.
        self._recent: collections.deque[tuple[int, stream_origins.Rows]] = (
            collections.deque()
        )
        self._timer: clock_module.Timer | None = None

    def restart(self) -> None:
        """Wait for the first reports of the entries in a new term."""
        self._reporting.clear()

    def remove_entry(self, vm: str) -> None:
        """Send an entry nothing until it reports on its next stream."""
        self._reporting.discard(vm)

    def with_acceptance(self, loads: dict[str, int]) -> dict[str, int]:
        """Return fleet loads that ask for reports if any are needed."""
        if not self._versions.has_mixed:
            return loads
        return {**loads, ACCEPTS_ORIGINS_KEY: 1}

    def on_report(
        self, vm: str, item: messages_fleet.StreamOriginReport
    ) -> None:
        """Merge a report, and collect it for the others and the store."""
        if vm not in self._reporting:
            self._reporting.add(vm)
            self._send_recent(vm)
        rows = _decode(item, self._log, vm)
        if rows:
            self._origins.merge(rows)
            self._to_write += rows
            self.collect(rows)

    def collect(self, rows: stream_origins.Rows) -> None:
        """Broadcast rows that are in the store, or will be."""
        self._pending += rows
        if self._timer is None:
            interval_ms = max(
                MIN_REPORT_INTERVAL_MS,
                REPORT_INTERVAL_PER_ENTRY_MS * self._count_entries(),
            )
            self._timer = self._clock.call_later(interval_ms, self._flush)

    def _flush(self) -> None:
        """Broadcast what was collected, then write it.

        In this order an entry has the rows before a relayed update confirms
        the revision of the store that has them.
        """
        self._timer = None
        rows = stream_origins.join_rows(self._pending)
        to_write = stream_origins.join_rows(self._to_write)
        self._pending, self._to_write = [], []
        self._drop_old()
        self._recent.append((self._clock.now_ms(), rows))
        for item in _messages(rows):
            for vm in list(self._reporting):
                self._send(vm, item)
        self._origin_log.add(to_write)

    def _send_recent(self, vm: str) -> None:
        self._drop_old()
        rows = [row for _, found in self._recent for row in found]
        for item in _messages(stream_origins.join_rows(rows)):
            self._send(vm, item)

    def _drop_old(self) -> None:
        oldest_ms = self._clock.now_ms() - RECENT_MS
        while self._recent and self._recent[0][0] < oldest_ms:
            self._recent.popleft()
