"""Simulated fleet of balsamwall agents and entries on a fake network."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from balsamwall.membership import rendezvous
from balsamwall.placement import fleet_view
from balsamwall.placement import permit_task
from balsamwall.protocol import messages_residency
from balsamwall.protocol import messages_state
from balsamwall.timing import virtual_clock
from bench import fake_engine
from bench import fake_store
from bench import product_agent
from bench import product_entry
from bench import score
from bench import weight_store
from bench import workload

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.protocol import message

# Agents refuse to promise copies for two minutes after their start, so the
# trace begins after that.
SETTLE_MS = 150_000
PEER_TIMEOUT_MS = 3_000
ENSURE_INTERVAL_MS = 1_000


class Network:
    """Fake network with ordered delivery after 1 or 2 ms."""

    __slots__ = ("_clock", "_due_ms", "_receivers", "_rng")

    def __init__(
        self, clock: virtual_clock.VirtualClock, rng: random.Random
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._due_ms: dict[tuple[str, str], int] = {}
        self._receivers: dict[str, Callable[[str, message.Message], None]] = {}

    def attach(
        self, name: str, receive: Callable[[str, message.Message], None]
    ) -> None:
        """Register the receiver of a peer."""
        self._receivers[name] = receive

    def detach(self, name: str) -> None:
        """Unregister a peer; messages in flight to it are lost."""
        self._receivers.pop(name, None)

    def send(self, sender: str, peer: str, item: message.Message) -> None:
        """Deliver a message unless the peer is detached by then."""
        now_ms = self._clock.now_ms()
        due_ms = now_ms + 1 + (self._rng.random() < 0.3)
        due_ms = max(due_ms, self._due_ms.get((sender, peer), 0))
        self._due_ms[sender, peer] = due_ms
        self._clock.call_later(
            due_ms - now_ms, self._deliver, sender, peer, item
        )

    def _deliver(self, sender: str, peer: str, item: message.Message) -> None:
        receive = self._receivers.get(peer)
        if receive is not None:
            receive(sender, item)


class ProductFleet:
    """Agents, entries and leased tasks of one run."""

    policy = "balsamwall"

    def __init__(self, work: workload.Workload) -> None:
        self.work = work
        self.configuration = work.configuration
        self.clock = virtual_clock.VirtualClock()
        self.rng = random.Random(f"balsamwall/{work.seed}")
        deployment = work.deployment
        self.network = Network(self.clock, self.rng)
        self.store = weight_store.WeightStore(
            self.clock, deployment.loads_per_s, deployment.concurrent_loads
        )
        self.lease_store = fake_store.FakeLeaseStore(self.clock)
        self.move_times_ms: list[int] = []
        self.reported_residents: dict[str, messages_state.Residents] = {}
        self.incarnations: dict[str, int] = {}
        self._last_ensure_ms: dict[str, int] = {}
        self._share_count = len(
            range(
                permit_task.split_limits(
                    deployment.loads_per_s, deployment.concurrent_loads
                )[1][1]
            )
        )
        self.entries = [
            product_entry.Entry(self, index)
            for index in range(deployment.zones)
        ]
        self.agents: list[product_agent.Agent] = []
        sizes = workload.sizes_of(work.configuration)
        placement = workload.build_placement(work, dict.fromkeys(sizes, 1.0))
        for index, names in enumerate(placement):
            engine = fake_engine.FakeEngine(
                self.clock, self.store, self._record_move
            )
            for name in names:
                engine.preload(
                    fake_engine.load_order(work.configuration, name)
                )
            self.agents.append(product_agent.Agent(self, index, engine))

    def _record_move(self) -> None:
        self.move_times_ms.append(self.clock.now_ms() - SETTLE_MS)

    def lease_target(self) -> str:
        """Return the entry that runs the leased tasks."""
        return self.entries[0].name

    def share_targets(self) -> list[str]:
        """Return the entry that owns each fixed share of the weight store."""
        names = [entry.name for entry in self.entries]
        return [names[(i + 1) % len(names)] for i in range(self._share_count)]

    def holders(self, name: str) -> list[str]:
        """Return the connected VMs that reported a ready replica."""
        return [
            vm
            for vm, item in sorted(self.reported_residents.items())
            if vm in self.incarnations
            and (name in item.models or name in item.adapters)
        ]

    def targets(self, name: str) -> list[str]:
        """Return connected VMs that may load a name, base holders first."""
        ranked = rendezvous.top_members(
            name, self.incarnations, len(self.incarnations)
        )
        base_holders = set(self.holders(self.configuration.base_of(name)))
        return sorted(ranked, key=lambda vm: vm not in base_holders)

    def on_residents(self, vm: str, item: messages_state.Residents) -> None:
        """Store the reported residents of an agent."""
        self.reported_residents[vm] = item

    def on_no_replica(self, sender: str, name: str, is_urgent: bool) -> None:
        """Request a load of a name without replicas, with a rate limit."""
        now_ms = self.clock.now_ms()
        last_ms = self._last_ensure_ms.get(name, -ENSURE_INTERVAL_MS)
        if now_ms - last_ms < ENSURE_INTERVAL_MS:
            return
        self._last_ensure_ms[name] = now_ms
        for vm in self.targets(name)[:1]:
            item = messages_residency.EnsureResident(name, is_urgent)
            self.network.send(sender, vm, item)

    def view(self) -> fleet_view.FleetView:
        """Return the planner's view of the fleet from the last reports."""
        limit = workload.CAPACITY_BYTES - workload.KV_FLOOR_BYTES
        workers = []
        for vm, item in sorted(self.reported_residents.items()):
            if vm in self.incarnations:
                zone = self.work.deployment.zone_of(int(vm[1:]))
                residents = frozenset((*item.models, *item.adapters))
                workers.append(
                    fleet_view.WorkerView(
                        vm,
                        zone,
                        self.configuration.tenant,
                        limit,
                        residents,
                        frozenset(item.loading),
                    )
                )
        configurations = {self.configuration.tenant: self.configuration}
        return fleet_view.FleetView(tuple(workers), configurations)

    def run(self) -> score.RunResult:
        """Replay the trace after SETTLE_MS and return the figures."""
        for agent in self.agents:
            agent.start()
            self.peer_up(agent)
        for entry in self.entries:
            entry.start()
        self.clock.run_until(SETTLE_MS)
        outcomes = []
        for request in self.work.requests:
            outcome = score.Outcome(self.clock, request, SETTLE_MS)
            outcomes.append(outcome)
            entry = self.entries[request.entry]
            self.clock.call_later(
                request.arrival_ms, entry.submit, request, outcome
            )
        for fault in self.work.faults:
            self.clock.call_later(fault.start_ms, self._begin_fault, fault)
        end_ms = workload.TRACE_MS + workload.DEFERRABLE_DEADLINE_MS
        self.clock.run_until(SETTLE_MS + end_ms)
        return score.summarise(
            self.work, self.policy, outcomes, self.move_times_ms
        )

    def peer_up(self, agent: product_agent.Agent) -> None:
        """Connect an agent to every entry."""
        self.incarnations[agent.vm] = agent.incarnation
        self.network.attach(agent.vm, agent.on_message)
        for entry in self.entries:
            entry.peer_up(agent.vm, agent.incarnation, agent.zone)
            agent.reporter.send_all(entry.name)

    def _peer_down(self, vm: str, incarnation: int) -> None:
        if self.incarnations.get(vm) != incarnation:
            return
        del self.incarnations[vm]
        self.reported_residents.pop(vm, None)
        for entry in self.entries:
            entry.peer_down(vm)
        for agent in self.agents:
            if agent.vm in self.incarnations:
                agent.manager.on_peer_down(vm)

    def _begin_fault(self, fault: workload.Fault) -> None:
        if fault.kind == "slow_store":
            self.store.slowdown_factor = 3.0
        for index in fault.workers:
            agent = self.agents[index]
            if fault.kind == "lost":
                agent.stop()
                agent.engine.crash(is_reported=False)
                self.network.detach(agent.vm)
                self.clock.call_later(
                    PEER_TIMEOUT_MS,
                    self._peer_down,
                    agent.vm,
                    agent.incarnation,
                )
            else:
                agent.engine.crash()
                agent.executor.on_backend_down(True)
        self.clock.call_later(fault.duration_ms, self._end_fault, fault)

    def _end_fault(self, fault: workload.Fault) -> None:
        if fault.kind == "slow_store":
            self.store.slowdown_factor = 1.0
        for index in fault.workers:
            agent = self.agents[index]
            agent.engine.restart()
            if fault.kind == "lost":
                engine = fake_engine.FakeEngine(
                    self.clock, self.store, self._record_move
                )
                agent = product_agent.Agent(
                    self, index, engine, agent.incarnation + 1
                )
                self.agents[index] = agent
                agent.start()
                self.peer_up(agent)
            else:
                agent.executor.on_backend_up()
