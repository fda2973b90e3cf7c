"""Reports of the state of one backend server."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from balsamwall.agent import agent_parts
from balsamwall.protocol import messages_state

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from balsamwall.protocol import outbox
    from balsamwall.timing import clock

REPORT_INTERVAL_MS = 500
REPORT_AT_LEAST_MS = 5_000


class StateReporter:
    """Sender of reports when something changed, and now and then."""

    __slots__ = (
        "_clock",
        "_incarnation",
        "_last_names",
        "_last_report",
        "_last_sent_ms",
        "_outbox",
        "_parts",
        "_read_state",
        "_receivers",
        "_resident_receivers",
        "_sequence",
    )

    _last_names: agent_parts.ResidentNames | None
    _last_report: messages_state.AgentReport | None

    def __init__(
        self,
        clock: clock.Clock,
        outbox: outbox.Outbox,
        parts: agent_parts.AgentParts,
        incarnation: int,
        read_state: Callable[[], str],
        receivers: Callable[[], Iterable[str]],
        resident_receivers: Callable[[], Iterable[str]],
    ) -> None:
        self._clock = clock
        self._outbox = outbox
        self._parts = parts
        self._incarnation = incarnation
        self._read_state = read_state
        self._receivers = receivers
        self._resident_receivers = resident_receivers
        self._sequence = 0
        self._last_report = None
        self._last_names = None
        self._last_sent_ms = clock.now_ms()

    def start(self) -> None:
        """Report every REPORT_INTERVAL_MS from now on."""
        self._clock.call_later(REPORT_INTERVAL_MS, self._tick)

    def send_all(self, peer: str) -> None:
        """Send the whole state to a peer that has just come up."""
        self._sequence += 1
        self._outbox.send(peer, self._report())
        self._outbox.send(peer, self._residents(self._names()))

    def report_now(self) -> None:
        """Send the state to all receivers if it changed."""
        now_ms = self._clock.now_ms()
        is_due = now_ms - self._last_sent_ms >= REPORT_AT_LEAST_MS
        names = self._names()
        report = self._report()
        is_changed = _comparable(report) != _comparable(self._last_report)
        is_renamed = names != self._last_names
        if not (is_due or is_changed or is_renamed):
            return
        self._sequence += 1
        self._last_report = self._report()
        self._last_sent_ms = now_ms
        for peer in self._receivers():
            self._outbox.send(peer, self._last_report)
        if is_renamed:
            self._last_names = names
            residents = self._residents(names)
            for peer in self._resident_receivers():
                self._outbox.send(peer, residents)

    def send_residents(self, peer: str) -> None:
        """Send the names of the residents to a peer that has come up."""
        self._sequence += 1
        self._outbox.send(peer, self._residents(self._names()))

    def _tick(self) -> None:
        self._clock.call_later(REPORT_INTERVAL_MS, self._tick)
        self.report_now()

    def _names(self) -> agent_parts.ResidentNames:
        source = self._parts.resident_source
        if source is None:
            return agent_parts.ResidentNames()
        return source.resident_names()

    def _report(self) -> messages_state.AgentReport:
        source = self._parts.load_source
        counts = agent_parts.LoadCounts()
        if source is not None:
            counts = source.load_counts()
        memory = self._parts.memory
        return messages_state.AgentReport(
            self._incarnation,
            self._sequence,
            self._read_state(),
            counts.running,
            counts.waiting_urgent,
            counts.waiting_deferrable,
            counts.queued_tokens,
            counts.free_kv_bytes,
            memory.capacity_bytes if memory is not None else 0,
            memory.committed_bytes if memory is not None else 0,
            counts.step_us,
            counts.age_ms,
            counts.max_running,
        )

    def _residents(
        self, names: agent_parts.ResidentNames
    ) -> messages_state.Residents:
        return messages_state.Residents(
            self._incarnation,
            self._sequence,
            list(names.models),
            list(names.adapters),
            list(names.loading),
            list(names.services),
            list(names.versions),
        )


def _comparable(
    report: messages_state.AgentReport | None,
) -> messages_state.AgentReport | None:
    # The age of the engine's own report grows all the time and would make
    # every report differ from the last one.
    if report is None:
        return None
    return dataclasses.replace(report, sequence=0, report_age_ms=0)
