"""Agents with real residency managers under seeded fault schedules."""

from __future__ import annotations

import dataclasses
import hashlib
import random

from balsamwall.configuration import tenant_configuration
from balsamwall.placement import lease_keeper
from balsamwall.placement import permit_task
from balsamwall.protocol import messages_residency
from balsamwall.residency import memory_ledger
from balsamwall.residency import permit_client
from balsamwall.residency import residency_hooks
from balsamwall.residency import residency_manager
from balsamwall.residency import retention
from balsamwall.timing import virtual_clock
from tests.order_schedules import fake_engine
from tests.order_schedules import fake_store

MAX_DELAY_MS = 30_000
FOCUSES = ("mixed", "late orders", "promises", "drains", "memory")


class AgentClock:
    """Clock of one incarnation; its timers stop with a pause or the end."""

    def __init__(self, agent, incarnation):
        self.agent = agent
        self.incarnation = incarnation
        self.offset_ms = agent.fleet.rng.randint(0, 10**7)

    def now_ms(self):
        return self.agent.fleet.clock.now_ms() + self.offset_ms

    def wall_ms(self):
        return self.agent.fleet.clock.wall_ms() + self.agent.skew_ms

    def call_later(self, delay_ms, function, *args):
        timer = virtual_clock.VirtualTimer(0, function, args)
        self.agent.fleet.clock.call_later(
            delay_ms, self.agent.run, self.incarnation, timer.run
        )
        return timer


class Agent:
    """Agent process that can be killed, paused and restarted."""

    def __init__(self, fleet, vm, engine):
        self.fleet = fleet
        self.vm = vm
        self.engine = engine
        self.skew_ms = fleet.rng.randint(-400, 400)
        self.incarnation = 0
        self.publish_count = 0
        self.is_alive = False
        self.has_left = False
        self.paused_calls = None
        self.requests = {}
        self.manager = None
        engine.is_in_use = self.is_in_use
        engine.report = fleet.report
        engine.on_copy_lost = fleet.on_copy_lost
        engine.on_late_order = fleet.on_late_order

    def start(self):
        if self.has_left or self.is_alive:
            return
        fleet = self.fleet
        self.incarnation += 1
        if self.incarnation > 1:
            fleet.last_restart_ms = fleet.clock.now_ms()
        self.is_alive = True
        self.paused_calls = None
        self.requests = {}
        incarnation = self.incarnation
        self.engine.incarnation = incarnation
        self.engine.deliver = lambda function, *args: self.run(
            incarnation, lambda: function(*args)
        )
        clock = AgentClock(self, incarnation)
        self.ledger = memory_ledger.MemoryLedger()
        self.manager = residency_manager.ResidencyManager(
            clock,
            self,
            self.engine,
            self.ledger,
            self.vm,
            incarnation,
            random.Random(fleet.rng.random()),
            residency_hooks.ResidencyHooks(
                is_in_use=self.is_in_use,
                holders=lambda name: fleet.holders(name, self.vm),
                load_targets=lambda name: fleet.targets(name, self.vm),
            ),
            permits=self.make_permits(clock) if fleet.uses_permits else None,
            max_order_delay_ms=MAX_DELAY_MS,
        )
        self.manager.add_listener(self.publish)
        self.manager.set_configuration(fleet.configuration)
        self.manager.start_recovery()
        if self.vm in fleet.leaving:
            self.manager.start_handover(self.leave)

    def make_permits(self, clock):
        fleet, vm = self.fleet, self.vm

        def first(key):
            return next(iter(fleet.targets(key, "")), vm)

        self.lease = lease_keeper.LeaseKeeper(
            clock, fleet.store, "permits", vm, lambda: first("lease") == vm
        )
        self.lease.start()
        self.permit_task = permit_task.PermitTask(
            clock, self, self.lease, 3.0, 3, lambda k: first(f"k{k}") == vm
        )
        self.permit_task.start()
        rng = random.Random(fleet.rng.random())
        return permit_client.PermitClient(
            clock, self, rng, lambda: first("lease"), lambda: [first("k0")]
        )

    def on_message(self, sender, item):
        if self.manager.on_message(sender, item):
            return
        if self.fleet.uses_permits:
            self.permit_task.on_message(sender, item)

    def publish(self, names):
        served = set(names.models) | set(names.adapters)
        delay = self.fleet.rng.randint(1, 700)
        self.publish_count += 1
        self.fleet.clock.call_later(
            delay, self.fleet.on_announced, self, self.publish_count, served
        )

    def run(self, incarnation, function):
        if incarnation != self.incarnation or not self.is_alive:
            return
        if self.paused_calls is not None:
            self.paused_calls.append(function)
        else:
            function()

    def kill(self):
        if self.is_alive:
            self.manager.stop()
            self.is_alive = False
            self.fleet.on_agent_down(self)
            for key in list(self.requests):
                # The engine runs the request to its end.
                end = self.fleet.rng.randint(100, 5_000)
                self.fleet.clock.call_later(end, self.engine.kv.pop, key, None)
            self.requests = {}

    def pause(self, duration_ms):
        if self.is_alive and self.paused_calls is None:
            self.paused_calls = []
            self.fleet.clock.call_later(
                duration_ms, self.resume, self.incarnation
            )

    def resume(self, incarnation):
        if incarnation != self.incarnation or not self.is_alive:
            return
        functions, self.paused_calls = self.paused_calls or [], None
        for function in functions:
            function()

    def is_in_use(self, name):
        return any(
            name in (target, base) for target, base in self.requests.values()
        )

    def start_request(self, name):
        if not self.is_alive or self.paused_calls is not None:
            return
        if not self.manager.is_served(name):
            return
        size = self.fleet.rng.randint(1, 9)
        key = f"request:{self.incarnation}:{self.fleet.rng.random()}"
        if not self.ledger.charge(key, size):
            return
        base = self.fleet.configuration.base_of(name)
        self.requests[key] = (name, base)
        self.engine.kv[key] = size
        self.engine.check_memory()
        self.fleet.clock.call_later(
            self.fleet.rng.randint(100, 6_000),
            self.run,
            self.incarnation,
            lambda: self.end_request(key),
        )

    def end_request(self, key):
        self.engine.kv.pop(key, None)
        self.requests.pop(key, None)
        self.ledger.release(key)

    def send(self, peer, item):
        if isinstance(item, messages_residency.RetainRequest):
            key = (self.vm, item.name)
            self.fleet.grant_requested_ms[key] = self.fleet.clock.now_ms()
        self.fleet.send(self.vm, peer, item)
        if isinstance(item, messages_residency.RetainGranted):
            self.fleet.on_grant_issued(self, item.name)

    def drain(self):
        if self.is_alive and self.paused_calls is None and not self.has_left:
            if not self.manager.is_leaving:
                self.fleet.leaving.add(self.vm)
                self.manager.start_handover(self.leave)

    def leave(self):
        self.has_left = True
        self.is_alive = False
        self.manager.stop()
        self.engine.is_up = False
        ready = {
            k[0] for k, h in self.engine.held.items() if h.state == "ready"
        }
        self.engine.held.clear()
        for name in ready:
            self.fleet.on_copy_lost(self.vm, name, False, 0)
        self.engine.kv.clear()
        self.engine.pending_orders.clear()


@dataclasses.dataclass
class LostCopy:
    """Time at which a VM lost a copy."""

    vm: str
    at_ms: int


class Fleet:
    """Network, entry requests, faults and checks of one schedule."""

    def __init__(self, seed):
        self.seed = seed
        self.rng = random.Random(seed)
        self.clock = virtual_clock.VirtualClock()
        self.fault_rate = self.rng.choice((0.0, 0.05, 0.15, 0.3))
        self.violations = []
        self.announced_names = {}
        self.leaving = set()
        self.grant_requested_ms = {}
        self.losses = {}
        self.unreachable = set()
        self.revision = 0
        self.last_fault_ms = 0
        self.last_restart_ms = None
        self.sizes = {
            f"m{index}": self.rng.randint(10, 38) for index in range(5)
        }
        self.versions = dict.fromkeys(self.sizes, "1")
        self.configure()
        mode = self.rng.choice(("ignored", "kept", "reset"))
        # Kind of race that the faults of this schedule provoke.
        self.focus = self.rng.choice(FOCUSES)
        self.uses_permits = self.rng.random() < 0.3
        self.store = fake_store.FakeLeaseStore(self.clock, self.rng)
        self.agents = {}
        for index in range(4):
            vm = f"vm{index}"
            engine = fake_engine.FakeEngine(
                self.clock, self.rng, vm, 100, mode, MAX_DELAY_MS
            )
            self.agents[vm] = Agent(self, vm, engine)

    def configure(self):
        self.revision += 1
        models = {
            name: tenant_configuration.ModelSpec(
                name, self.versions[name], size, 1, 1000
            )
            for name, size in self.sizes.items()
        }
        adapters = {
            f"a{index}": tenant_configuration.AdapterSpec(
                f"a{index}", f"m{index % 2}", "1", 2 + index
            )
            for index in range(3)
        }
        workspace = tenant_configuration.WorkspaceSpec(
            "w", (), tuple(models), tuple(adapters), (), True, 1, 1, 1, 1.0,
            1, 1, 1, 1.0, 1.0, 1, True,
        )  # fmt: skip
        self.configuration = tenant_configuration.TenantConfiguration(
            "t", self.revision, "", models, adapters, {}, {"w": workspace}
        )
        self.names = sorted(self.configuration.configured_names())

    def report(self, kind, detail):
        self.violations.append((kind, detail, self.clock.now_ms()))

    def send(self, sender, peer, item):
        agent = self.agents[peer]
        if self.rng.random() < self.fault_rate * 0.3:
            return
        copies = 2 if self.rng.random() < self.fault_rate * 0.2 else 1
        for _ in range(copies):
            is_late = self.rng.random() < self.fault_rate * 0.2
            delay = self.rng.randint(1, 4_000 if is_late else 30)
            self.clock.call_later(delay, self.receive, agent, sender, item)

    def receive(self, agent, sender, item):
        agent.run(agent.incarnation, lambda: agent.on_message(sender, item))

    def on_announced(self, agent, sequence, served):
        if agent.is_alive and sequence == agent.publish_count:
            self.announced_names[agent.vm] = served

    def holders(self, name, own):
        return [
            vm
            for vm, served in sorted(self.announced_names.items())
            if vm not in (own, *self.leaving) and name in served
        ]

    def targets(self, name, own):
        vms = [
            vm
            for vm, agent in self.agents.items()
            if vm not in (own, *self.leaving) and agent.is_alive
        ]
        return sorted(
            vms,
            key=lambda vm: hashlib.sha256(f"{vm}{name}".encode()).digest(),
        )

    def on_agent_down(self, agent):
        self.clock.call_later(
            3_000, self.remove_announcement, agent.vm, agent.incarnation
        )
        for key in agent.engine.held:
            self.losses.setdefault(key[0], []).append(
                LostCopy(agent.vm, self.clock.now_ms())
            )

    def remove_announcement(self, vm, incarnation):
        if self.agents[vm].incarnation == incarnation:
            self.announced_names.pop(vm, None)

    def is_reachable(self, name):
        return any(
            agent.is_alive and agent.engine.is_serving(name)
            for agent in self.agents.values()
        )

    def on_copy_lost(self, vm, name, is_fault, sent_ms):
        """Report a violation if an unload removes the last copy.

        An unload is allowed if another VM lost its copy after this VM had
        requested its grant.
        """
        now_ms = self.clock.now_ms()
        if is_fault:
            self.losses.setdefault(name, []).append(LostCopy(vm, now_ms))
            return
        others = any(
            agent.vm != vm and agent.is_alive and agent.engine.is_serving(name)
            for agent in self.agents.values()
        ) or self.agents[vm].engine.is_serving(name)
        if others or name not in self.names:
            return
        since_ms = self.grant_requested_ms.get((vm, name), now_ms)
        for loss in self.losses.get(name, []):
            if loss.vm != vm and since_ms <= loss.at_ms:
                return
        self.report("last copy dropped", f"{name} at {vm}")

    def start(self):
        agents = list(self.agents.values())
        self.place_first_copies(agents)
        for agent in agents:
            agent.start()
            if self.rng.random() < 0.8:
                # Simulates an agent that has outlived earlier grants.
                table = agent.manager._retention
                table._started_ms -= retention.GRANT_DURATION_MS + 1
            agent.engine.fault_rate = self.fault_rate
        self.clock.call_later(500, self.entry_step, 0)

    def place_first_copies(self, agents):
        for index, name in enumerate(self.names):
            base = self.configuration.base_of(name)
            size = self.sizes.get(name)
            if size is None:
                size = self.configuration.adapters[name].weight_bytes
            order = fake_engine.backend_server.EngineOrder(
                "", 0, "load", name, "model" if base == name else "adapter",
                "1", "" if base == name else base, size,
            )  # fmt: skip
            for agent in agents:
                engine = agent.engine
                if base == name:
                    wanted = index % 4 == agents.index(agent)
                    wanted = wanted or self.rng.random() < 0.4
                else:
                    wanted = engine.is_ready(base)
                if wanted and engine.used() + size <= 90:
                    engine.held[(name, "1")] = fake_engine.HeldCopy(
                        order, "ready"
                    )

    def entry_step(self, count):
        """Request loads of names without a live copy, as entries do."""
        for name in self.names:
            if not self.holders(name, ""):
                targets = self.targets(name, "")
                if targets:
                    target = targets[count // 16 % len(targets)]
                    item = messages_residency.EnsureResident(name, True)
                    self.send("entry", target, item)
        self.clock.call_later(500, self.entry_step, count + 1)

    def random_step(self):
        """Perform one random action of a planner, an operator or a fault."""
        rng = self.rng
        agent = rng.choice(list(self.agents.values()))
        name = rng.choice(self.names)
        roll = rng.random()
        if roll < 0.45:
            action = rng.choice(("load", "evict", "evict", "swap"))
            targets = [agent]
            if action == "evict":
                targets = list(self.agents.values())
            for target in targets:
                self.send_step(target, action, name)
        elif roll < 0.75:
            is_busy = self.focus in ("memory", "late orders")
            for _ in range(12 if is_busy else 1):
                agent.start_request(rng.choice(self.names))
        elif roll < 0.78:
            self.change_version()
        elif roll < 0.80 and len(self.leaving) < 1 and rng.random() < 0.3:
            agent.drain()
        elif roll < 0.82:
            self.store.is_up = rng.random() < 0.4
        elif rng.random() < self.fault_rate * 2:
            self.inject_fault(agent)

    def on_late_order(self, vm):
        """Restart or drain the agent whose order is late."""
        agent = self.agents[vm]
        roll = self.rng.random()
        if self.focus == "late orders" and roll < 0.4:
            self.clock.call_later(self.rng.randint(1, 6_000), agent.kill)
            self.clock.call_later(6_001, agent.start)
        elif self.focus == "drains" and not self.leaving and roll < 0.3:
            self.clock.call_later(self.rng.randint(1, 6_000), agent.drain)

    def on_grant_issued(self, agent, name):
        """Restart an agent that issued a grant and order it to evict."""
        if self.focus == "promises" and self.rng.random() < 0.3:
            self.clock.call_later(self.rng.randint(0, 30), agent.kill)
            self.clock.call_later(100, agent.start)
            for delay in (300, 1_500, 32_000):
                self.clock.call_later(
                    delay, self.send_step, agent, "evict", name
                )

    def send_step(self, agent, action, name):
        step = messages_residency.PlacementStep(
            self.clock.wall_ms() * 1000,
            action,
            name,
            self.rng.choice(self.names),
            self.rng.randint(0, 2),
        )
        self.send("planner", agent.vm, step)

    def change_version(self):
        name = self.rng.choice(sorted(self.sizes))
        self.versions[name] = "2" if self.versions[name] == "1" else "1"
        self.configure()
        for agent in self.agents.values():
            delay = self.rng.randint(1, 5_000)
            self.clock.call_later(delay, self.apply_configuration, agent)

    def apply_configuration(self, agent):
        agent.run(
            agent.incarnation,
            lambda: agent.manager.set_configuration(self.configuration),
        )

    def inject_fault(self, agent):
        kind = self.rng.choice(("kill", "pause", "crash"))
        if kind == "kill" and agent.is_alive:
            agent.kill()
            delay = self.rng.randint(50, 8_000)
            self.clock.call_later(delay, agent.start)
        elif kind == "pause":
            agent.pause(self.rng.randint(500, 40_000))
        elif kind == "crash" and agent.engine.is_up and not agent.has_left:
            agent.requests = {
                key: value
                for key, value in agent.requests.items()
                if agent.ledger.release(key)
            }
            agent.engine.crash(self.rng.randint(50, 6_000))

    def reload_deadline_ms(self):
        """Return the time by which every name must be reachable again.

        Orders may stay unanswered for the maximum delay after the last fault,
        a restarted agent evicts nothing for the duration of a grant, entries
        ask each agent for 8 s, and each missing name needs an order, its
        answer and a load.
        """
        missing = [n for n in self.names if not self.is_reachable(n)]
        start_ms = self.last_fault_ms + MAX_DELAY_MS
        if self.last_restart_ms is not None:
            end_ms = self.last_restart_ms + retention.GRANT_DURATION_MS
            start_ms = max(start_ms, end_ms)
        return start_ms + 8_000 * len(self.agents) + 10_000 * len(missing)

    def run(self):
        """Run the schedule, then check that every name recovers.

        Returns the violations.
        """
        self.start()
        end_ms = self.rng.choice((15_000, 30_000, 60_000))
        while self.clock.now_ms() < end_ms and not self.violations:
            self.clock.advance(self.rng.randint(50, 900))
            self.random_step()
        self.fault_rate = 0.0
        self.focus = "mixed"
        self.store.is_up = True
        for agent in self.agents.values():
            agent.engine.fault_rate = 0.0
        # Pauses, restarts and crashes in progress end within this time.
        self.last_fault_ms = self.clock.now_ms() + 40_000
        while not self.violations:
            self.clock.advance(1_000)
            missing = [n for n in self.names if not self.is_reachable(n)]
            if not missing:
                break
            if self.clock.now_ms() > self.reload_deadline_ms():
                self.report("not reloaded", ",".join(missing))
        return self.violations
