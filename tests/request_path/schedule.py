"""Seeded schedule of requests and faults, with invariant checks."""

from __future__ import annotations

import hashlib
import random

from balsamwall.dispatch import caller_request
from balsamwall.idempotency import scoped_key
from balsamwall.timing import virtual_clock
from tests.request_path import fake_backend
from tests.request_path import fake_network
from tests.request_path import fake_nodes

ENTRIES = ("entry-0", "entry-1")
AGENTS = ("agent-0", "agent-1", "agent-2")
REQUESTS = 10
ACTIVE_MS = 8_000
SETTLE_MS = 100_000
DRAIN_BOUND_MS = 3_000


class Caller:
    """Answer listener that records the data and outcomes of one request."""

    def __init__(self, request, node, resend):
        self.request = request
        self.node = node
        self.data = b""
        self.outcomes = []
        self._resend = resend

    def on_chunk(self, data):
        assert not self.outcomes, "received a chunk after the outcome"
        self.data += data

    def on_end(self, end):
        self.outcomes.append(end)

    def on_failure(self, failure):
        self.outcomes.append(failure)
        self._resend(self, failure)


class Schedule:
    """Runs real dispatchers, routers and executors under seeded faults.

    `fault_count` None draws a random number of faults.
    """

    def __init__(self, seed, fault_count=None):
        self.random = random.Random(seed)
        self.clock = virtual_clock.VirtualClock()
        self.network = fake_network.FakeNetwork(self.clock, self.random)
        self.log = []
        self.callers = []
        self.agents_seen = []
        self.interrupted = []
        for name in AGENTS:
            self.start_agent(name, False)
        for name in ENTRIES:
            self.start_entry(name)
        for _ in range(REQUESTS):
            self.clock.call_later(
                self.random.randint(0, ACTIVE_MS), self.submit
            )
        fault_methods = [
            self.kill_agent,
            self.kill_entry,
            self.drop,
            self.blackhole,
            self.crash_backend,
            self.break_streams,
            self.pause,
            self.drain,
            self.duplicate_dispatch,
            self.poison,
            self.cancel,
        ]
        if fault_count is None:
            fault_count = self.random.randint(0, 6)
        for _ in range(fault_count):
            self.clock.call_later(
                self.random.randint(0, ACTIVE_MS),
                self.random.choice(fault_methods),
            )

    def run(self):
        self.clock.run_until(ACTIVE_MS + SETTLE_MS)
        self.check()

    def start_agent(self, name, is_restart):
        node = fake_nodes.AgentNode(
            name, self.clock, self.network, self.random, self.log, is_restart
        )
        self.network.nodes[name] = node
        self.agents_seen.append(node)
        for entry in ENTRIES:
            self.network.connect(entry, name)

    def start_entry(self, name):
        self.network.nodes[name] = fake_nodes.EntryNode(
            name, self.clock, self.network, self.random, self.home_of
        )
        for agent in AGENTS:
            self.network.connect(name, agent)

    def home_of(self, service, key):
        data = scoped_key.caller_key(key).encode()
        digest = hashlib.blake2b(data, digest_size=4).digest()
        return AGENTS[digest[0] % len(AGENTS)]

    def submit(self, body=b"text", key=None, entry=None):
        entry = entry or self.random.choice(ENTRIES)
        node = self.network.nodes[entry]
        if node.clock.is_dead or node.clock.is_paused:
            return
        number = len(self.callers)
        now_ms = self.clock.now_ms()
        kind = "model"
        if key is not None or (body == b"text" and self.random.random() < 0.4):
            kind = "service"
            key = key or f"w/{now_ms + 1}/{number}"
        is_repeatable = kind == "model" and self.random.random() < 0.85
        request = caller_request.CallerRequest(
            request_id=f"r{number}",
            tenant="tampere",
            workspace="w",
            kind=kind,
            target="model-a" if kind == "model" else "service-a",
            base="model-a",
            path="/",
            headers={},
            body=body,
            is_urgent=self.random.random() < 0.5,
            is_repeatable=is_repeatable,
            is_streamed=True,
            deadline_ms=now_ms + self.random.randint(2_000, 15_000),
            first_token_deadline_ms=now_ms + 2_000,
            prompt_tokens=self.random.randint(50, 400),
            max_output_tokens=self.random.randint(50, 200),
            idempotency_key=key or "",
            fingerprint=body if body != b"text" else f"f{number}".encode(),
        )
        caller = Caller(request, node, self.resend)
        self.callers.append(caller)
        node.dispatcher.submit(request, caller)

    def resend(self, caller, failure):
        """Repeat a failed key or crashing body with a probability of 0.7."""
        request = caller.request
        if len(self.callers) >= 4 * REQUESTS:
            return
        if fake_backend.POISON in request.body or request.idempotency_key:
            if self.random.random() < 0.7:
                self.clock.call_later(
                    300,
                    self.submit,
                    request.body,
                    request.idempotency_key or None,
                )

    def live(self, names):
        nodes = [self.network.nodes[name] for name in names]
        return [
            n for n in nodes if not n.clock.is_dead and not n.clock.is_paused
        ]

    def pick_live(self, names):
        live = self.live(names)
        return self.random.choice(live) if live else None

    def stop(self, node):
        node.clock.is_dead = True
        for pair in self.network.pairs_of(node.name):
            self.network.drop(*pair, must_reconnect=False)

    def kill(self, node, start):
        if node is None:
            return
        self.stop(node)
        self.clock.call_later(
            self.random.randint(300, 3_000), self.restart, node, start
        )

    def restart(self, node, start):
        for pair in self.network.pairs_of(node.name):
            for side in pair:
                other = pair[0] if side == pair[1] else pair[1]
                connection = self.network._connections[pair]
                self.network._notice_close(connection, side, other)
            del self.network._connections[pair]
        start()

    def kill_agent(self):
        node = self.pick_live(AGENTS)
        self.kill(node, lambda: self.start_agent(node.name, True))

    def kill_entry(self):
        node = self.pick_live(ENTRIES)
        self.kill(node, lambda: self.start_entry(node.name))

    def drop(self):
        pairs = sorted(self.network._connections)
        if pairs:
            self.network.drop(*self.random.choice(pairs))

    def blackhole(self):
        pairs = sorted(self.network._connections)
        if pairs:
            self.network.blackhole(*self.random.choice(pairs))

    def crash_backend(self):
        node = self.pick_live(AGENTS)
        if node is not None:
            node.backend.crash()

    def break_streams(self):
        node = self.pick_live(AGENTS)
        if node is not None:
            node.backend.break_chance = 0.3

    def pause(self):
        node = self.pick_live(AGENTS + ENTRIES)
        if node is None:
            return
        length_ms = self.random.randint(100, 6_000)
        node.clock.is_paused = True
        if length_ms > fake_network.DEAD_PEER_TIMEOUT_MS:
            for pair in self.network.pairs_of(node.name):
                self.clock.call_later(
                    fake_network.DEAD_PEER_TIMEOUT_MS, self.network.drop, *pair
                )
        self.clock.call_later(length_ms, node.clock.resume)

    def drain(self):
        node = self.pick_live(AGENTS)
        if node is None or node.drained_ms is not None:
            return

        def on_idle():
            self.interrupted.extend(node.backend.unfinished())
            self.clock.call_later(
                0,
                self.kill,
                node,
                lambda: self.start_agent(node.name, True),
            )

        node.drain(on_idle)

    def duplicate_dispatch(self):
        """Deliver an earlier dispatch message a second time."""
        if self.network.dispatches:
            duplicate = self.random.choice(self.network.dispatches)
            delay_ms = self.random.randint(0, 5_000)
            self.clock.call_later(delay_ms, self.deliver_duplicate, *duplicate)

    def deliver_duplicate(self, source, target, item):
        # The agent may have restarted since the first delivery.
        node = self.network.nodes[target]
        node.clock.run(lambda: node.on_message(source, item))

    def poison(self):
        self.submit(fake_backend.POISON)

    def cancel(self):
        open_callers = [c for c in self.callers if not c.outcomes]
        if open_callers:
            caller = self.random.choice(open_callers)
            node = caller.node
            node.clock.run(
                lambda: node.dispatcher.cancel(caller.request.request_id)
            )

    def check(self):
        runs, keys = {}, {}
        for execution in self.log:
            runs.setdefault(execution.request_id, []).append(execution)
            if execution.key:
                keys.setdefault(execution.key, []).append(execution)
        for key, executions in keys.items():
            assert len(executions) == 1, f"key {key} ran twice"
        for caller in self.callers:
            self.check_caller(caller, runs, keys)
        for node in self.agents_seen:
            self.check_agent(node)
        assert not self.interrupted, (
            f"a drain interrupted runs: {self.interrupted}"
        )

    def check_caller(self, caller, runs, keys):
        request = caller.request
        own = runs.get(request.request_id, [])
        name = request.request_id
        if not request.is_repeatable:
            assert len(own) <= 1, f"{name} is not repeatable and ran twice"
        if not caller.outcomes:
            assert caller.node.clock.is_dead, f"{name}: no outcome"
            return
        assert len(caller.outcomes) == 1, f"{name}: two outcomes"
        outcome = caller.outcomes[0]
        candidates = own
        if request.idempotency_key:
            key = scoped_key.caller_key(request.idempotency_key)
            candidates = keys.get(key, [])
        answers = [execution.answer for execution in candidates]
        if isinstance(outcome, caller_request.AnswerEnd):
            assert caller.data in answers, f"{name}: incomplete answer"
            assert outcome.total_bytes == len(caller.data)
            return
        assert any(a.startswith(caller.data) for a in [*answers, b""]) or (
            not caller.data
        ), f"{name}: data of another answer"
        if outcome.code.is_certified_not_run:
            assert not own, f"{name}: ran, but {outcome.code} says not run"
            assert not caller.data

    def check_agent(self, node):
        if node.drained_ms is not None:
            limit_ms = node.drained_ms + DRAIN_BOUND_MS
            late = [e for e in node.started if e.started_ms > limit_ms]
            assert not late, (
                f"{node.name}: started a run after its drain bound"
            )
        if node.clock.is_dead:
            return
        assert node.executor.is_idle, f"{node.name}: attempts remain"
        assert not node.memory.charges, f"{node.name}: charged memory remains"
        load = node.executor.load()
        assert not load.running and not load.kv_bytes
