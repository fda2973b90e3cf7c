"""Agent of the simulated fleet, built from the components of the daemon."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from balsamwall.agent import agent_parts
from balsamwall.agent import state_reporter
from balsamwall.execution import crash_attribution
from balsamwall.execution import executor
from balsamwall.idempotency import key_gate
from balsamwall.protocol import messages_state
from balsamwall.residency import memory_ledger
from balsamwall.residency import permit_client
from balsamwall.residency import residency_hooks
from balsamwall.residency import residency_manager
from bench import fake_engine
from bench import workload

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.protocol import message
    from balsamwall.results import result_code
    from balsamwall.timing import clock as clock_module
    from bench import product_fleet


class ProcessClock:
    """Clock whose timers stop firing when the simulated process ends."""

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self.is_alive = True

    def now_ms(self) -> int:
        """Return monotonic time in milliseconds."""
        return self._clock.now_ms()

    def wall_ms(self) -> int:
        """Return wall time in milliseconds."""
        return self._clock.wall_ms()

    def call_later(
        self, delay_ms: int, function: Callable[..., object], *args: object
    ) -> clock_module.Timer:
        """Call a function after a delay unless the process has ended."""
        return self._clock.call_later(delay_ms, self._run, function, args)

    def _run(
        self, function: Callable[..., object], args: tuple[object, ...]
    ) -> None:
        if self.is_alive:
            function(*args)


class NoKeyGate:
    """Key gate for requests without idempotency keys."""

    def admit(
        self, service: str, key: str, fingerprint: bytes
    ) -> key_gate.KeyAdmission:
        """Admit every request."""
        return key_gate.KeyAdmission(key_gate.Admission.RUN)

    def peek(
        self, service: str, key: str, fingerprint: bytes
    ) -> key_gate.KeyAdmission:
        """Admit every request."""
        return key_gate.KeyAdmission(key_gate.Admission.RUN)

    def call_when_ended(
        self, service: str, key: str, callback: Callable[[], None]
    ) -> None:
        """Do nothing; no key is recorded."""

    def complete(
        self, service: str, key: str, answer: key_gate.RecordedAnswer
    ) -> None:
        """Do nothing; no key is recorded."""

    def fail(
        self, service: str, key: str, ran: result_code.ExecutionState
    ) -> None:
        """Do nothing; no key is recorded."""


class Agent:
    """One incarnation of an agent and its engine."""

    def __init__(
        self,
        fleet: product_fleet.ProductFleet,
        index: int,
        engine: fake_engine.FakeEngine,
        incarnation: int = 1,
    ) -> None:
        self._fleet = fleet
        self.vm = f"w{index}"
        self.zone = fleet.work.deployment.zone_of(index)
        self.engine = engine
        self.incarnation = incarnation
        self._clock = ProcessClock(fleet.clock)
        rng = random.Random(f"{self.vm}/{incarnation}/{fleet.work.seed}")
        ledger = memory_ledger.MemoryLedger()
        permits = permit_client.PermitClient(
            self._clock, self, rng, fleet.lease_target, fleet.share_targets
        )
        self.manager = residency_manager.ResidencyManager(
            self._clock,
            self,
            engine,
            ledger,
            self.vm,
            incarnation,
            rng,
            residency_hooks.ResidencyHooks(
                is_in_use=self._is_in_use,
                holders=self._other_holders,
                load_targets=self._other_targets,
                demand=fleet.entries[0].demand_of,
            ),
            permits,
            kv_floor_bytes=workload.KV_FLOOR_BYTES,
        )
        self._crash_attribution = crash_attribution.CrashAttribution(
            self._clock, self.vm, self._broadcast
        )
        self.executor = executor.Executor(
            self._clock,
            self,
            engine,
            ledger,
            NoKeyGate(),
            incarnation,
            self._crash_attribution,
            self._kv_bytes,
            self._is_resident,
            fake_engine.MAX_BATCH,
        )
        parts = agent_parts.AgentParts(
            memory=ledger, load_source=self, resident_source=self
        )
        self.reporter = state_reporter.StateReporter(
            self._clock,
            self,
            parts,
            incarnation,
            self._state,
            receivers=self._entry_names,
            resident_receivers=self._entry_names,
        )
        self.manager.add_listener(lambda names: self.executor.reschedule())

    @property
    def is_ready(self) -> bool:
        """Tell whether recovery has finished."""
        return self.manager.is_recovered

    @property
    def is_down(self) -> bool:
        """Tell whether the engine does not respond."""
        return self.executor.state == "down"

    def resident_names(self) -> agent_parts.ResidentNames:
        """Return the names for a report."""
        names = self.manager.residents
        return agent_parts.ResidentNames(
            names.models, names.adapters, names.loading
        )

    def load_counts(self) -> agent_parts.LoadCounts:
        """Return the load for a report."""
        counts = self.executor.load()
        return agent_parts.LoadCounts(
            counts.running,
            counts.waiting_urgent,
            counts.waiting_deferrable,
            counts.queued_tokens,
            0,
            self.engine.reported_step_us,
            fake_engine.LOAD_REPORT_LAG_MS,
            counts.max_running,
        )

    def start(self) -> None:
        """Apply the configuration and start recovery, as a daemon does."""
        self.manager.set_configuration(self._fleet.configuration)
        self.manager.start_recovery()
        self.reporter.start()

    def stop(self) -> None:
        """Stop timers and messages at once, as a killed process does."""
        self._clock.is_alive = False

    def send(self, peer: str, item: message.Message) -> None:
        """Send a message unless the process has ended."""
        if self._clock.is_alive:
            self._fleet.network.send(self.vm, peer, item)

    def on_message(self, peer: str, item: message.Message) -> None:
        """Dispatch a message to the component that handles it."""
        if not self.manager.on_message(peer, item):
            self.executor.on_message(peer, item)

    def _entry_names(self) -> list[str]:
        return [entry.name for entry in self._fleet.entries]

    def _state(self) -> str:
        if not self.manager.is_recovered:
            return "starting"
        return self.executor.state

    def _broadcast(self, item: messages_state.Verdict) -> None:
        for vm in self._fleet.incarnations:
            if vm != self.vm:
                self.send(vm, item)
        for entry in self._fleet.entries:
            self.send(entry.name, item)

    def _is_resident(self, kind: str, target: str) -> bool:
        return self.manager.is_served(target)

    def _kv_bytes(self, target: str, tokens: int) -> int:
        return tokens * workload.KV_BYTES_PER_TOKEN

    def _is_in_use(self, name: str) -> bool:
        if self.executor.active_requests(name):
            return True
        adapters = self._fleet.configuration.adapters.values()
        return any(
            self.executor.active_requests(adapter.name)
            for adapter in adapters
            if adapter.base == name
        )

    def _other_holders(self, name: str) -> list[str]:
        return [vm for vm in self._fleet.holders(name) if vm != self.vm]

    def _other_targets(self, name: str) -> list[str]:
        return [vm for vm in self._fleet.targets(name) if vm != self.vm]
