"""Reports of the state of one backend server to its peers."""

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
MAX_REPORT_INTERVAL_MS = 5_000


class StateReporter:
    """Send reports on changes, and at least every MAX_REPORT_INTERVAL_MS."""

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
        """Check for changes every REPORT_INTERVAL_MS from now on."""
        self._clock.call_later(REPORT_INTERVAL_MS, self._on_timer)

    def send_all(self, peer: str) -> None:
        """Send the complete state to a new peer."""
        self._sequence += 1
        self._outbox.send(peer, self._report())
        self._outbox.send(peer, self._residents(self._resident_names()))

    def report_if_changed(self) -> None:
        """Send the state to all receivers if it changed or a report is due."""
        now_ms = self._clock.now_ms()
        is_due = now_ms - self._last_sent_ms >= MAX_REPORT_INTERVAL_MS
        names = self._resident_names()
        report = self._report()
        is_changed = _stable_part(report) != _stable_part(self._last_report)
        have_names_changed = names != self._last_names
        if not (is_due or is_changed or have_names_changed):
            return
        self._sequence += 1
        self._last_report = self._report()
        self._last_sent_ms = now_ms
        for peer in self._receivers():
            self._outbox.send(peer, self._last_report)
        if have_names_changed:
            self._last_names = names
            residents = self._residents(names)
            for peer in self._resident_receivers():
                self._outbox.send(peer, residents)

    def send_residents(self, peer: str) -> None:
        """Send the resident names to a new peer."""
        self._sequence += 1
        self._outbox.send(peer, self._residents(self._resident_names()))

    def _on_timer(self) -> None:
        self._clock.call_later(REPORT_INTERVAL_MS, self._on_timer)
        self.report_if_changed()

    def _resident_names(self) -> agent_parts.ResidentNames:
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


def _stable_part(
    report: messages_state.AgentReport | None,
) -> messages_state.AgentReport | None:
    # The age of the engine's own report grows continuously and would make each
    # report count as changed.
    if report is None:
        return None
    return dataclasses.replace(report, sequence=0, report_age_ms=0)
