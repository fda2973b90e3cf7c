"""Guarantees on streams that callers resume."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from soak import ledger as ledger_module
from soak import software_versions
from soak import stream_events

if TYPE_CHECKING:
    from collections.abc import Callable

    from soak import backend_server

# Fewer resumed streams do not show a share.
MIN_RESUMED = 12
MIN_SERVERS = 2
# The share of resumed streams that go on is at least this part of the share
# of new streams that begin.
MIN_SHARE = 0.5
Ranges = dict[str, list[tuple[int, int]]]


@dataclasses.dataclass(slots=True)
class Resumed:
    """All attempts that resume a stream after the same event."""

    version: str
    broken_ms: int
    attempts: list[ledger_module.Request]

    @property
    def goes_on(self) -> bool:
        """Tell whether one of the attempts brought an event."""
        return any(_has_events(attempt) for attempt in self.attempts)

    @property
    def end_ms(self) -> int:
        """Return when the last attempt ended."""
        return max(
            attempt.finished_ms or attempt.sent_ms for attempt in self.attempts
        )


class ResumptionChecks:
    """Check the resumed streams of a soak."""

    __slots__ = ("_ledger", "resumed")

    def __init__(self, ledger: ledger_module.Ledger) -> None:
        self._ledger = ledger
        found: dict[str, Resumed] = {}
        for request in ledger.requests.values():
            if request.resumes:
                self._add(found, request)
        self.resumed = list(found.values())

    def _add(
        self, found: dict[str, Resumed], request: ledger_module.Request
    ) -> None:
        last = self._ledger.requests[request.follows]
        resumed = found.setdefault(
            request.follows,
            Resumed(
                _version(self._first_writer(request)),
                last.finished_ms or last.sent_ms,
                [],
            ),
        )
        resumed.attempts.append(request)

    def _first_writer(self, request: ledger_module.Request) -> str:
        """Return which server process began the stream of a request."""
        root = self._ledger.requests[request.resumes or request.request_id]
        return stream_events.of_request(root).writers[0]

    def joined(self) -> list[str]:
        """Return the attempts with an event of another version, as lines."""
        lines = []
        for request in self._ledger.requests.values():
            if request.kind is not ledger_module.Kind.RESUMABLE_STREAM:
                continue
            events = stream_events.of_request(request)
            if not events.writers:
                continue
            first = self._first_writer(request)
            for number, writer in enumerate(
                events.writers, request.first_event
            ):
                if _version(writer) != _version(first):
                    lines.append(
                        f"{request.request_id} at {request.entry}: event "
                        f"{number} is of {writer}, but the stream began at "
                        f"{first} in {request.resumes or 'this attempt'}"
                    )
                    break
        return lines

    def share_violations(
        self,
        engines: list[backend_server.BackendServer],
        disturbed: Ranges,
        expects_service: Callable[[ledger_module.Request], bool],
    ) -> list[str]:
        """Compare the share that goes on with that of new streams."""

        def is_counted(request: ledger_module.Request) -> bool:
            return expects_service(request) and not _is_disturbed(
                request, disturbed
            )

        resumed = [
            item
            for item in self.resumed
            if all(is_counted(attempt) for attempt in item.attempts)
            and software_versions.count_serving(
                engines, item.version, item.broken_ms, item.end_ms
            )
            >= MIN_SERVERS
        ]
        begun = [
            _has_events(request)
            for request in self._ledger.requests.values()
            if request.kind is ledger_module.Kind.RESUMABLE_STREAM
            and not request.resumes
            and not request.is_poison
            and is_counted(request)
        ]
        if len(resumed) < MIN_RESUMED or not begun:
            return []
        share = sum(item.goes_on for item in resumed) / len(resumed)
        begun_share = sum(begun) / len(begun)
        if share >= MIN_SHARE * begun_share:
            return []
        return [
            f"{share:.2f} of {len(resumed)} resumed streams go on, but "
            f"{begun_share:.2f} of {len(begun)} new ones begin"
        ]


def _version(writer: str) -> str:
    return writer.partition("/")[2]


def _has_events(request: ledger_module.Request) -> bool:
    return bool(stream_events.of_request(request).writers)


def _is_disturbed(request: ledger_module.Request, disturbed: Ranges) -> bool:
    """Tell whether its entry was disturbed while a request was open."""
    end_ms = request.finished_ms or request.sent_ms
    return any(
        since_ms <= end_ms and request.sent_ms <= until_ms
        for since_ms, until_ms in disturbed.get(request.entry, [])
    )
