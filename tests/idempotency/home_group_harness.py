"""Simulation of a group of key homes with random faults."""

from __future__ import annotations

import random

from balsamwall.idempotency import home_directory
from balsamwall.idempotency import home_membership
from balsamwall.idempotency import key_gate
from balsamwall.idempotency import key_home
from balsamwall.idempotency import uuid7
from balsamwall.protocol import codec
from balsamwall.protocol import messages_home
from balsamwall.results import result_code
from balsamwall.timing import virtual_clock
from tests.fixtures import map_store

SERVICE = "holds"
RESEND_WINDOW_MS = 20_000


class SkewedClock:
    """Virtual clock whose wall time has a constant offset."""

    def __init__(self, clock, offset_ms) -> None:
        self._clock = clock
        self._offset_ms = offset_ms

    def now_ms(self) -> int:
        return self._clock.now_ms()

    def wall_ms(self) -> int:
        return self._clock.wall_ms() + self._offset_ms

    def call_later(self, delay_ms, function, *arguments):
        return self._clock.call_later(delay_ms, function, *arguments)


class Agent:
    """One incarnation of a simulated agent process."""

    def __init__(self, group, vm, incarnation) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.is_alive = True
        self.has_left = False
        clock = SkewedClock(group.clock, group.skew_of(vm))
        self.home = key_home.KeyHome(
            clock, vm, SERVICE, resend_window_ms=RESEND_WINDOW_MS
        )
        self.membership = home_membership.HomeMembership(
            clock,
            Outbox(group, self),
            random.Random(f"{vm}{incarnation}"),
            self.home,
            GuardedStore(group.store, self),
            vm,
            incarnation,
            lambda name: name in group.reported_gone,
        )


class GuardedStore:
    """Store that drops its answers once the agent process has died."""

    def __init__(self, store, agent) -> None:
        self._store = store
        self._agent = agent

    def read(self, service, callback) -> None:
        if self._agent.is_alive:
            self._store.read(service, self._guard(callback))

    def write(self, service, version, content, callback) -> None:
        if self._agent.is_alive:
            self._store.write(service, version, content, self._guard(callback))

    def _guard(self, callback):
        return lambda value: self._agent.is_alive and callback(value)


class Outbox:
    """Outbox that sends through the simulated network."""

    def __init__(self, group, agent) -> None:
        self._group = group
        self._agent = agent

    def send(self, peer, item) -> None:
        if self._agent is None or self._agent.is_alive:
            sender = self._agent.vm if self._agent is not None else "entry"
            self._group.deliver_later(sender, peer, item)


class HomeGroup:
    """Agents, a store, the directory of an entry and the execution log."""

    def __init__(self, seed, lost_answer_rate=0.1) -> None:
        self.random = random.Random(seed)
        self.clock = virtual_clock.VirtualClock()
        self.store = map_store.FaultyMapStore(
            self.clock, self.random, lost_answer_rate
        )
        self.agents: dict[str, Agent] = {}
        self.skews: dict[str, int] = {}
        self.lost: set[str] = set()  # VMs that never come back
        self.reported_gone: set[str] = set()
        self.executions: dict[str, int] = {}
        self.claimed_not_run: set[str] = set()
        self.answers: dict[str, bytes] = {}
        self.violations: list[str] = []
        self.codes: dict[str, int] = {}
        self.loss_rate = 0.05
        self.directory = home_directory.HomeDirectory(
            self.clock, Outbox(self, None), random.Random(seed)
        )

    def skew_of(self, vm) -> int:
        skew = self.random.randrange(-200, 201)
        return self.skews.setdefault(vm, skew)

    def deliver_later(self, sender, receiver, item) -> None:
        """Encode a message and deliver it after a delay, or drop it."""
        if self.random.random() < self.loss_rate:
            return
        data = codec.encode(item)
        delay_ms = self.random.choice((1, 2, 5, 30, 400))
        self.clock.call_later(delay_ms, self._deliver, sender, receiver, data)

    def _deliver(self, sender, receiver, data) -> None:
        item = codec.decode(data)
        if receiver == "entry":
            if isinstance(item, messages_home.HomeMapChanged):
                self.directory.on_map_changed(item)
            return
        agent = self.agents.get(receiver)
        if agent is not None and agent.is_alive:
            agent.membership.on_message(sender, item)

    def start(self, vm) -> None:
        old = self.agents.get(vm)
        incarnation = 1 if old is None else old.incarnation + 1
        agent = Agent(self, vm, incarnation)
        self.agents[vm] = agent
        for other in self.agents.values():
            if other is not agent and other.is_alive:
                other.membership.on_peer_up(vm)
                agent.membership.on_peer_up(other.vm)
        agent.membership.on_peer_up("entry")
        agent.membership.start()

    def kill(self, vm) -> None:
        self.agents[vm].is_alive = False
        self.clock.call_later(3_000, self._report_down, vm)

    def _report_down(self, vm) -> None:
        if not self.agents[vm].is_alive:
            for other in self.agents.values():
                if other.is_alive:
                    other.membership.on_peer_down(vm)

    def lose_vm(self, vm) -> None:
        self.lost.add(vm)
        self.agents[vm].is_alive = False
        delay_ms = self.random.randrange(500, 5_000)
        self.clock.call_later(delay_ms, self._list_gone, vm)

    def _list_gone(self, vm) -> None:
        self.reported_gone.add(vm)
        for other in list(self.agents.values()):
            if other.is_alive:
                other.membership.on_vm_gone(vm)

    def leave(self, vm) -> None:
        agent = self.agents[vm]

        def on_left() -> None:
            agent.has_left = True
            agent.is_alive = False

        agent.membership.leave(on_left)

    def new_key(self) -> str:
        if self.random.random() < 0.4:
            return f"opaque-{self.random.getrandbits(64)}"
        skew_ms = self.random.randrange(-400, 401)
        return uuid7.generate(self.clock.wall_ms() + skew_ms, self.random)

    def send(self, key, target=None) -> None:
        """Send a key to a target, by default the home known to the entry."""
        vm = target or self.directory.home_of(SERVICE, key)
        agent = self.agents.get(vm) if vm is not None else None
        if agent is None or not agent.is_alive:
            return
        admission = agent.home.admit(SERVICE, key, b"body")
        self.codes[admission.code.name] = (
            self.codes.get(admission.code.name, 0) + 1
        )
        if admission.admission is key_gate.Admission.RUN:
            self._run(agent, key)
        elif admission.admission is key_gate.Admission.REPLAY:
            if admission.answer.body != self.answers.get(key):
                self.violations.append(f"{key}: replay of another answer")
        elif admission.code is result_code.ResultCode.NOT_HOME:
            self.directory.on_not_home(agent.vm, SERVICE)

    def _run(self, agent, key) -> None:
        runs = self.executions.get(key, 0) + 1
        self.executions[key] = runs
        if runs > 1:
            self.violations.append(f"{key} ran twice, now on {agent.vm}")
        duration_ms = self.random.choice((1, 20, 200, 900))
        self.clock.call_later(duration_ms, self._finish, agent, key)

    def _finish(self, agent, key) -> None:
        if not agent.is_alive:
            return
        body = f"answer of {key}".encode()
        self.answers[key] = body
        answer = key_gate.RecordedAnswer(200, {}, body)
        agent.home.complete(SERVICE, key, answer)


def run_schedule(seed: int) -> HomeGroup:
    """Run one random schedule of faults and resends."""
    group = HomeGroup(seed)
    names = [f"vm-{index}" for index in range(5)]
    for name in names[:3]:
        group.start(name)
    group.clock.advance(3_000)
    keys: list[str] = []
    for _ in range(120):
        _apply_random_step(group, names, keys)
        group.clock.advance(group.random.choice((1, 10, 60, 300)))
        opaque_limit = group.clock.wall_ms() - RESEND_WINDOW_MS
        keys = [item for item in keys if item[1] > opaque_limit]
    group.store.is_down = False
    group.loss_rate = 0.0
    group.clock.advance(20_000)
    return group


def _apply_random_step(group, names, keys) -> None:
    choice = group.random.random()
    name = group.random.choice(names)
    agent = group.agents.get(name)
    is_alive = agent is not None and agent.is_alive
    if choice < 0.45 or not keys:
        key = group.new_key()
        keys.append((key, group.clock.wall_ms()))
        group.send(key)
    elif choice < 0.75:
        group.send(group.random.choice(keys)[0])
    elif choice < 0.85:
        group.send(group.random.choice(keys)[0], target=name)
    elif choice < 0.89:
        group.store.is_down = not group.store.is_down
    elif choice < 0.93 and is_alive:
        group.kill(name)
    elif choice < 0.95 and is_alive and name != names[0]:
        group.lose_vm(name)
    elif choice < 0.96 and is_alive:
        group.leave(name)
    elif not is_alive and name not in group.lost:
        if agent is None or not agent.has_left:
            group.start(name)
