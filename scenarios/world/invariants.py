"""Safety invariants that are checked during every scenario."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from balsamwall.configuration import configuration_parser
from balsamwall.protocol import messages_request
from balsamwall.results import result_code

if TYPE_CHECKING:
    from scenarios.world import fleet as fleet_module

SAMPLE_MS = 250
# Time for the drain mark to reach all entries, plus 1 s.
DRAIN_LIMIT_MS = 4_000
CONFIGURATION_LIMIT_MS = 12_000
# Time to detect the loss (3 s), order the load and execute it, counted from
# the last fault that made a copy unreachable or prevented its load.
RELOAD_MS = 30_000
_INTERRUPTED = (
    result_code.ResultCode.ANSWER_INTERRUPTED,
    result_code.ResultCode.OUTCOME_UNKNOWN,
    result_code.ResultCode.CANCELLED_AFTER_START,
    result_code.ResultCode.BACKEND_CRASHED,
    result_code.ResultCode.BACKEND_ERROR,
)

R1 = "R1 memory never above capacity"
R2 = "R2 every configured model reachable"
R4 = "R4 rejected as not run was not run"
R5 = "R5 at most once"
R6 = "R6 no new work on a leaving backend server"
R7 = "R7 graceful shutdown interrupts no request"
R8 = "R8 configuration active everywhere"
UNLOAD = "no response is interrupted by an unload"
ANSWERED = "every request gets its outcome"


@dataclasses.dataclass(slots=True)
class Fault:
    """Fault and the VMs that it affects; no VM means the platform."""

    name: str
    vms: frozenset[str]
    start_ms: int
    end_ms: int | None = None


@dataclasses.dataclass(slots=True)
class Drain:
    """Drain of one incarnation."""

    vm: str
    generation: int
    start_ms: int
    end_ms: int | None = None


class Invariants:
    """Checks of R1 to R8 against the records of the fakes."""

    def __init__(self, fleet: fleet_module.Fleet) -> None:
        self._fleet = fleet
        self._trace = fleet.trace
        self._clock = fleet.clock
        self.faults: list[Fault] = []
        self.drains: list[Drain] = []
        self.accepted: dict[int, int] = {}
        self.change_results: list[tuple[str, int]] = []
        self._configurations = {}
        self._holders: dict[str, set[str]] = {}
        self._missing_since_ms: dict[str, int] = {}
        self._configured_ms: dict[str, int] = {}
        self._checked_rows = 0
        self._is_started = False
        fleet.network.on_send = self._on_send
        # Peaks during the initial loads, before start(), count as well.
        self._reported_counts: dict[str, int] = {}

    def start(self) -> None:
        """Start the periodic checks."""
        self._is_started = True
        self._sample()

    def begin_fault(self, name: str, vms=()) -> Fault:
        """Record the start of a fault."""
        fault = Fault(name, frozenset(vms), self._clock.now_ms())
        self.faults.append(fault)
        return fault

    def end_fault(self, fault: Fault) -> None:
        """Record the end of a fault."""
        fault.end_ms = self._clock.now_ms()

    def services(self) -> set[str]:
        """Return the names of the services that are not engines."""
        rows = self._fleet.plan.vms
        return {row["runs"] for row in rows if row["runs"] != "engine"}

    def configured(self) -> set[str]:
        """Return the model names of the newest accepted configuration."""
        if not self._configurations:
            return set()
        newest = self._configurations[max(self._configurations)]
        return newest.configured_names()

    def vms_serving(self, name: str) -> set[str]:
        """Return the VMs that can serve requests for a model name."""
        found = set()
        for vm, agent in self._fleet.engines.items():
            if not agent.is_working or self._fleet.network.is_cut(vm):
                continue
            if self._is_past_drain_limit(agent):
                continue
            if agent.core is not None and agent.core.state == "starting":
                continue
            if agent.backend.has_ready_copy(name):
                found.add(vm)
        return found

    def on_revision(self, daemon, new, old) -> None:
        """Check that the revision of a process never decreases."""
        if old is not None and new.revision <= old.revision:
            self._trace.record_violation(
                R8, f"{daemon.vm} went from {old.revision} to {new.revision}"
            )
        if new.revision not in self.accepted:
            self.accepted[new.revision] = self._clock.now_ms()
            self._configurations[new.revision] = new
            self._trace.record(f"revision {new.revision} becomes active")
            self._clock.call_later(
                CONFIGURATION_LIMIT_MS, self._check_active, new.revision
            )
        known = self._configurations[new.revision]
        if known.change_id != new.change_id:
            self._trace.record_violation(
                R8,
                f"{daemon.vm} has other content for revision {new.revision}",
            )

    def on_change_response(self, operator, body, response) -> None:
        """Record the response to a configuration change."""
        code = response.body.get("error", {}).get("code", "accepted")
        self._trace.record(f"{operator} gets {code} for {body['change_id']}")
        self.change_results.append((code, self._clock.now_ms()))
        if response.status == 200:
            revision = response.body["revision"]
            known = self._configurations.get(revision)
            if known is not None and known.change_id != body["change_id"]:
                self._trace.record_violation(
                    R8,
                    f"{operator}: revision {revision} has another change id",
                )
            # The accepted change counts from the response at the latest.
            self.accepted.setdefault(revision, self._clock.now_ms())
            if known is None:
                files = body.get("files")
                if files is not None:
                    parsed = configuration_parser.parse(files)
                    self._configurations[revision] = dataclasses.replace(
                        parsed,
                        revision=revision,
                        change_id=body["change_id"],
                    )
                self._clock.call_later(
                    CONFIGURATION_LIMIT_MS, self._check_active, revision
                )

    def on_drain(self, daemon) -> None:
        """Record that an incarnation is marked as leaving."""
        drain = Drain(daemon.vm, daemon.generation, self._clock.now_ms())
        self.drains.append(drain)
        self._trace.record(f"{daemon.vm} is marked as leaving")
        if daemon.role == "agent":
            fault = self.begin_fault(f"drain of {daemon.vm}", (daemon.vm,))
            self.end_fault(fault)

    def on_drained(self, daemon) -> None:
        """Record the end of a drain."""
        for drain in self.drains:
            if drain.vm == daemon.vm and drain.end_ms is None:
                drain.end_ms = self._clock.now_ms()

    def on_outcome(self, request) -> None:
        """Check a rejection or interruption against the execution log."""
        code = request.code
        if code is None:
            return
        if code.is_certified_not_run:
            self._check_not_run(request)
        elif code in _INTERRUPTED:
            self._check_interrupted(request)

    def _runs(self, request):
        return [
            row
            for row in self._fleet.log
            if request.request_id and row.request_id == request.request_id
        ]

    def _check_not_run(self, request) -> None:
        runs = self._runs(request)
        if runs and not request.key:
            # A not-run code covers all attempts, including earlier ones of a
            # repeatable request.
            vms = [row.vm for row in runs]
            self._trace.record_violation(
                R4, f"{request.label}: {request.code.name}, but ran on {vms}"
            )
        elif runs:
            self._trace.record_violation(
                R4, f"{request.label}: {request.code.name}, but its call ran"
            )
        if request.key and request.scope == "key":
            if any(row.key == request.key for row in self._fleet.log):
                self._trace.record_violation(
                    R4,
                    f"{request.label}: {request.code.name} for the key,"
                    " but the key ran",
                )

    def _check_interrupted(self, request) -> None:
        runs = self._runs(request)
        if not runs:
            return
        last = runs[-1]
        for drain in self.drains:
            if drain.vm != last.vm:
                continue
            end_ms = drain.end_ms or self._clock.now_ms()
            if (
                not last.at_ms <= end_ms
                or request.finished_ms < drain.start_ms
            ):
                continue
            involved = {last.vm, request.entry.vm}
            if self._had_fault(involved, last.at_ms, end_ms):
                continue
            self._trace.record_violation(
                R7,
                f"{request.label} on {last.vm}: {request.code.name}",
            )

    def _had_fault(self, vms, start_ms: int, end_ms: int) -> bool:
        for fault in self.faults:
            if fault.name.startswith("drain") or not fault.vms & vms:
                continue
            until_ms = fault.end_ms if fault.end_ms is not None else end_ms
            if fault.start_ms <= end_ms and until_ms + 5_000 >= start_ms:
                return True
        return False

    def _sample(self) -> None:
        self._clock.call_later(SAMPLE_MS, self._sample)
        self._check_memory()
        self._check_log()
        self._check_reachable()

    def _check_memory(self) -> None:
        for vm, agent in self._fleet.engines.items():
            memory = agent.backend.core.memory
            if memory.over_capacity_count > self._reported_counts.get(vm, 0):
                self._reported_counts[vm] = memory.over_capacity_count
                self._trace.record_violation(
                    R1,
                    f"{vm} committed {memory.peak_bytes} of"
                    f" {memory.capacity_bytes} bytes",
                )
            ended = agent.backend.core.unloads_in_use
            if ended > self._reported_counts.get(f"{vm}/use", 0):
                self._reported_counts[f"{vm}/use"] = ended
                self._trace.record_violation(
                    UNLOAD, f"{vm} unloaded a model in use"
                )

    def _on_send(self, sender: str, receiver: str, item) -> None:
        """Check that no entry dispatches a new request to a leaving VM."""
        agent = self._fleet.agents.get(receiver)
        if not isinstance(item, messages_request.Dispatch) or agent is None:
            return
        now_ms = self._clock.now_ms()
        # A keyed call may go to its home, which rejects it as not run.
        if item.kind != "model" or not self._is_past_drain_limit(agent):
            return
        if not self._had_fault({sender, receiver}, agent.leaving_ms, now_ms):
            self._trace.record_violation(
                R6, f"{sender} sends a new request to leaving {receiver}"
            )

    def _check_log(self) -> None:
        log = self._fleet.log
        for row in log[self._checked_rows :]:
            for drain in self.drains:
                agent = self._fleet.agents.get(drain.vm)
                if drain.vm != row.vm or agent is None:
                    continue
                if agent.generation != drain.generation:
                    continue
                elapsed_ms = row.at_ms - drain.start_ms
                if elapsed_ms > DRAIN_LIMIT_MS:
                    self._trace.record_violation(
                        R6,
                        f"{row.vm} ran a request {elapsed_ms} ms after mark",
                    )
        self._checked_rows = len(log)
        keys = collections.Counter(row.key for row in log if row.key)
        for key, count in keys.items():
            if count > 1:
                vms = [row.vm for row in log if row.key == key]
                self._trace.record_violation(
                    R5, f"key {key} ran {count} times: {vms}"
                )
        once = {
            item.request_id: item
            for item in self._fleet.callers.requests
            if not item.demand.is_repeatable and item.request_id
        }
        runs = collections.Counter(row.request_id for row in log)
        for request_id, item in once.items():
            if runs[request_id] > 1:
                self._trace.record_violation(R5, f"{item.label} ran twice")

    def _check_reachable(self) -> None:
        now_ms = self._clock.now_ms()
        for name in sorted(self.configured()):
            holders = self.vms_serving(name)
            since_ms = self._configured_ms.setdefault(name, now_ms)
            if holders:
                self._holders[name] = holders
                self._missing_since_ms.pop(name, None)
                continue
            missing_ms = self._missing_since_ms.setdefault(name, now_ms)
            last = self._holders.get(name, set())
            if not self._is_excused(name, last, since_ms, missing_ms):
                self._trace.record_violation(
                    R2,
                    f"{name} has had no reachable copy for"
                    f" {now_ms - missing_ms} ms; last on {sorted(last)}",
                )

    def _is_excused(self, name, last, since_ms, missing_ms) -> bool:
        now_ms = self._clock.now_ms()
        begin_ms = None
        if not last:
            begin_ms = since_ms
        for fault in self.faults:
            if fault.vms & last and fault.start_ms <= missing_ms:
                if fault.end_ms is None or (
                    fault.end_ms + RELOAD_MS >= missing_ms
                ):
                    begin_ms = max(begin_ms or 0, fault.start_ms)
        if begin_ms is None:
            return False
        # Other faults that delay a load extend the time limit.
        until_ms = begin_ms + RELOAD_MS
        for fault in sorted(self.faults, key=lambda item: item.start_ms):
            if fault.start_ms > until_ms:
                continue
            if fault.end_ms is None:
                if fault.vms and not fault.vms & last:
                    until_ms = max(until_ms, fault.start_ms + RELOAD_MS)
                elif not fault.vms:
                    until_ms = now_ms
            else:
                until_ms = max(until_ms, fault.end_ms + RELOAD_MS)
        return now_ms <= until_ms

    def _is_past_drain_limit(self, agent) -> bool:
        if agent.leaving_ms is None:
            return False
        return self._clock.now_ms() - agent.leaving_ms > DRAIN_LIMIT_MS

    def _check_active(self, revision: int) -> None:
        now_ms = self._clock.now_ms()
        start_ms = now_ms - CONFIGURATION_LIMIT_MS
        for vm, daemon in self._fleet.daemons.items():
            if not daemon.is_working or daemon.started_ms > start_ms:
                continue
            if self._had_fault({vm}, start_ms, now_ms):
                continue
            found = daemon.replica.revision(self._fleet.plan.tenant)
            if found < revision:
                self._trace.record_violation(
                    R8,
                    f"{vm} has revision {found}, not {revision}, after 12 s",
                )

    def on_start(self, daemon) -> None:
        """Schedule a check that a started process catches up in 12 s."""
        generation = daemon.generation
        known = max(self.accepted, default=0)
        start_ms = self._clock.now_ms()

        def check() -> None:
            is_same = daemon.generation == generation and daemon.is_working
            is_affected = any(
                fault.start_ms >= start_ms and daemon.vm in fault.vms
                for fault in self.faults
            )
            found = daemon.replica.revision(self._fleet.plan.tenant)
            if is_same and not is_affected and found < known:
                self._trace.record_violation(
                    R8,
                    f"{daemon.vm} has revision {found} 12 s after its start"
                    f"; active is {known}",
                )

        self._clock.call_later(CONFIGURATION_LIMIT_MS, check)

    def finish(self) -> None:
        """Run the checks that apply at the end of a scenario."""
        self._check_memory()
        self._check_log()
        for item in self._fleet.callers.requests:
            if not item.is_finished and item.entry.is_working:
                self._trace.record_violation(
                    ANSWERED,
                    f"{item.label} through {item.entry.vm} has no outcome",
                )
        for hold in self._fleet.callers.holds:
            runs = sum(row.key == hold.key for row in self._fleet.log)
            if hold.is_answered and runs != 1:
                self._trace.record_violation(
                    R5, f"hold {hold.number} was answered and ran {runs} times"
                )
        revisions = set()
        for vm, daemon in self._fleet.daemons.items():
            age_ms = self._clock.now_ms() - daemon.started_ms
            if daemon.is_working and age_ms >= CONFIGURATION_LIMIT_MS:
                if not self._fleet.network.is_cut(vm):
                    tenant = self._fleet.plan.tenant
                    revisions.add(daemon.replica.revision(tenant))
        if len(revisions) > 1:
            self._trace.record_violation(
                R8, f"active revisions differ: {sorted(revisions)}"
            )
