"""Report to the coordinator what an entry knows of crashed servers."""

from __future__ import annotations

import collections
from typing import Protocol
from typing import TYPE_CHECKING

from balsamwall.gateway import broken_request
from balsamwall.gateway import local_suspicion
from balsamwall.gateway import quarantine as quarantine_module

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from balsamwall.gateway import backend_directory
    from balsamwall.gateway import fingerprints as fingerprints_module
    from balsamwall.logs import decision_log
    from balsamwall.timing import clock as clock_module

# Reports are kept for this time, for a coordinator that is elected later.
REPORT_MAX_AGE_MS = 30_000
MAX_REPORTS = 500
# The loss of one process is reported once in this time.
LOSS_REPORT_INTERVAL_MS = 5_000
# Contents whose last proof is remembered. The oldest is dropped beyond this.
MAX_PROVEN = 5_000
# Contents whose proof is reported. Those that have been watched for WATCH_MS
# are dropped when there are MAX_WATCHED.
WATCH_MS = 300_000
MAX_WATCHED = 2_000


class CrashLink(Protocol):
    """Send reports to the coordinator; they are dropped without one."""

    @property
    def is_coordinated(self) -> bool:
        """Return whether a coordinator has been heard of just now."""

    def report_broken(self, broken: broken_request.BrokenRequest) -> None:
        """Report a request that broke at a server process."""

    def report_lost(self, process: str) -> None:
        """Report a server process that no longer accepts connections."""

    def report_proven(self, fingerprints: Iterable[bytes]) -> None:
        """Report content of a request whose response went on."""


def process_name(record: backend_directory.ServerRecord) -> str:
    """Return the name of a server process, new with each start."""
    return f"{record.server_id}@{record.started_ms}"


class CrashSuspects:
    """Report broken requests and lost servers; hold the quarantine.

    Requests may crash each server that responds to them, through any entry.
    What they have in common shows only in the reports of all entries, so the
    coordinator decides on the quarantine.
    """

    __slots__ = (
        "_broken",
        "_clock",
        "_link",
        "_local",
        "_log",
        "_lost_ms",
        "_on_quarantined",
        "_proven_ms",
        "_watched",
        "quarantine",
    )

    def __init__(
        self, clock: clock_module.Clock, log: decision_log.DecisionLog
    ) -> None:
        self._clock = clock
        self._log = log
        self._link: CrashLink | None = None
        self._local = local_suspicion.LocalSuspicion(clock)
        self._on_quarantined: Callable[[], None] | None = None
        self._broken: collections.deque[broken_request.BrokenRequest]
        self._broken = collections.deque(maxlen=MAX_REPORTS)
        # By server process: when its loss was reported.
        self._lost_ms: dict[str, int] = {}
        # By fingerprint: when the last response that was proven began.
        self._proven_ms: collections.OrderedDict[bytes, int]
        self._proven_ms = collections.OrderedDict()
        # By fingerprint: when the coordinator stops to wait for a proof.
        self._watched: dict[bytes, int] = {}
        self.quarantine = quarantine_module.Quarantine(clock)

    def set_link(self, link: CrashLink) -> None:
        """Set the link to the coordinator."""
        self._link = link

    def set_quarantine_listener(self, listener: Callable[[], None]) -> None:
        """Call back when content was added to the quarantine."""
        self._on_quarantined = listener

    def on_broken_response(
        self,
        record: backend_directory.ServerRecord,
        fingerprints: fingerprints_module.RequestFingerprints,
        is_at_begin: bool,
        sent_ms: int,
    ) -> None:
        """Report a request whose response was not proven when it broke."""
        broken = broken_request.BrokenRequest(
            process_name(record),
            fingerprints,
            is_at_begin,
            self._clock.now_ms(),
            sent_ms,
        )
        self._broken.append(broken)
        self._local.on_broken(fingerprints.request, broken.process, sent_ms)
        self._log.write(
            "crash_suspect",
            process=broken.process,
            request=fingerprints.request.hex(),
            parts=sorted(part.hex() for part in fingerprints.parts),
            is_at_begin=is_at_begin,
            after_ms=broken.at_ms - sent_ms,
        )
        if self._link is not None:
            self._link.report_broken(broken)

    def on_server_lost(self, record: backend_directory.ServerRecord) -> None:
        """Report the loss of a server process, if it is a new one."""
        process = process_name(record)
        self._local.on_lost(process)
        now_ms = self._clock.now_ms()
        last_ms = self._lost_ms.get(process)
        if last_ms is not None and now_ms - last_ms < LOSS_REPORT_INTERVAL_MS:
            return
        self._lost_ms[process] = now_ms
        self._log.write("server_process_lost", process=process)
        self._drop_old_losses(now_ms)
        if self._link is not None:
            self._link.report_lost(process)

    def on_answer(
        self, record: backend_directory.ServerRecord, sent_ms: int
    ) -> None:
        """Drop broken responses of a process that answers a later request."""
        if not self._local.awaits_answers:
            return
        process = process_name(record)
        if self._local.on_answer(process, sent_ms):
            self._log.write("crash_refuted", process=process)

    def on_proven(
        self, fingerprints: frozenset[bytes], first_data_ms: int
    ) -> None:
        """Record contents whose response went on; report watched ones."""
        self._local.on_proven(fingerprints)
        for content in fingerprints:
            self._proven_ms[content] = first_data_ms
            self._proven_ms.move_to_end(content)
        while len(self._proven_ms) > MAX_PROVEN:
            self._proven_ms.popitem(last=False)
        is_watched = not self._watched.keys().isdisjoint(fingerprints)
        if self._link is not None and (
            is_watched or self.quarantine.match(fingerprints)
        ):
            for content in fingerprints:
                self._watched.pop(content, None)
            self._link.report_proven(fingerprints)

    @property
    def holds_any(self) -> bool:
        """Return whether any request may be held back."""
        return bool(self.quarantine) or bool(self._local)

    def held_back_ms(
        self, fingerprints: fingerprints_module.RequestFingerprints
    ) -> int:
        """Return for how long a request is held back, 0 if it is not."""
        content = self.quarantine.match(fingerprints.all)
        if content:
            return self.quarantine.remaining_ms(content)
        is_coordinated = self._link is not None and self._link.is_coordinated
        return self._local.remaining_ms(
            fingerprints.request, is_coordinated=is_coordinated
        )

    def undecided_processes(
        self, fingerprints: fingerprints_module.RequestFingerprints
    ) -> frozenset[str]:
        """Return the only processes that may get a request for now.

        It has crashed them, or one of them broke a response off and lives. A
        crashed one refuses the connection. There are none in other cases.
        """
        is_coordinated = self._link is not None and self._link.is_coordinated
        return self._local.undecided_processes(
            fingerprints.request, is_coordinated=is_coordinated
        )

    def watch(self, content: bytes, since_ms: int) -> None:
        """Report the next proof of this content.

        If a response that began at `since_ms` or later has proven it already,
        this is reported at once.
        """
        if self._proven_ms.get(content, since_ms - 1) >= since_ms:
            if self._link is not None:
                self._link.report_proven([content])
            return
        if len(self._watched) >= MAX_WATCHED:
            self._drop_old_watches()
        self._watched[content] = self._clock.now_ms() + WATCH_MS

    @property
    def has_watched(self) -> bool:
        """Return whether the coordinator waits for a proof of any content."""
        return bool(self._watched)

    def is_watched(self, content: bytes) -> bool:
        """Return whether the coordinator waits for a proof of content."""
        return self._watched.get(content, 0) > self._clock.now_ms()

    def hold_back(self, content: frozenset[bytes], remaining_ms: int) -> None:
        """Quarantine content, or release it if no time remains."""
        if not remaining_ms:
            self.quarantine.remove(content)
            return
        is_new = self.quarantine.add(content, remaining_ms)
        if is_new and self._on_quarantined is not None:
            self._log.write(
                "quarantine",
                content=sorted(item.hex() for item in content),
                remaining_ms=remaining_ms,
            )
            self._on_quarantined()

    def repeat_reports(self) -> None:
        """Report recent events again, to a coordinator that lacks them."""
        if self._link is None:
            return
        now_ms = self._clock.now_ms()
        for broken in self._broken:
            if now_ms - broken.at_ms <= REPORT_MAX_AGE_MS:
                self._link.report_broken(broken)
        self._drop_old_losses(now_ms)
        for process in self._lost_ms:
            self._link.report_lost(process)

    def _drop_old_losses(self, now_ms: int) -> None:
        oldest_ms = now_ms - REPORT_MAX_AGE_MS
        self._lost_ms = {
            process: lost_ms
            for process, lost_ms in self._lost_ms.items()
            if lost_ms >= oldest_ms
        }

    def _drop_old_watches(self) -> None:
        now_ms = self._clock.now_ms()
        self._watched = {
            content: until_ms
            for content, until_ms in self._watched.items()
            if until_ms > now_ms
        }
        if len(self._watched) >= MAX_WATCHED:
            self._watched.clear()
