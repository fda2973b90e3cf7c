"""Entry and agent processes built from the real components."""

from __future__ import annotations

from balsamwall.dispatch import dispatcher
from balsamwall.execution import crash_attribution
from balsamwall.execution import executor
from balsamwall.limits import request_limits
from balsamwall.protocol import messages_state
from balsamwall.routing import router
from tests.request_path import fake_backend
from tests.request_path import fake_network

MODEL, SERVICE = "model-a", "service-a"
CAPACITY_BYTES = 12_000
ZONES = ("zone-1", "zone-2")


class Outbox:
    def __init__(self, network, name, clock):
        self._network, self._name, self._clock = network, name, clock

    def send(self, peer, item):
        if not self._clock.is_dead:
            self._network.send(self._name, peer, item)


class Node:
    """Process with a name, its own clock and a set of peers."""

    def __init__(self, name, clock, network):
        self.name = name
        self.clock = fake_network.NodeClock(clock)
        self.outbox = Outbox(network, name, self.clock)
        self.peers = set()
        self.crash = crash_attribution.CrashAttribution(
            self.clock, name, self.broadcast
        )

    def broadcast(self, verdict):
        for peer in sorted(self.peers):
            self.outbox.send(peer, verdict)


class EntryNode(Node):
    def __init__(self, name, clock, network, random_source, home_of):
        super().__init__(name, clock, network)
        number = int(name.rsplit("-", 1)[1])
        self.router = router.Router(
            self.clock, random_source, ZONES[number % 2]
        )
        self.dispatcher = dispatcher.Dispatcher(
            self.clock,
            self.outbox,
            self.router,
            request_limits.RequestLimits(self.clock),
            random_source,
            home_of,
            self.crash.is_quarantined,
        )

    def on_peer_up(self, peer, node):
        self.peers.add(peer)
        incarnation = node.executor.incarnation
        self.router.on_peer_up(peer, incarnation, node.zone)
        self.dispatcher.on_peer_up(peer, incarnation)
        for verdict in self.crash.current_verdicts():
            self.outbox.send(peer, verdict)

    def on_peer_down(self, peer):
        self.peers.discard(peer)
        self.router.on_peer_down(peer)
        self.dispatcher.on_peer_down(peer)

    def on_message(self, peer, item):
        if isinstance(item, messages_state.Verdict):
            self.crash.on_verdict(item)
        else:
            self.router.on_message(peer, item)
            self.dispatcher.on_message(peer, item)


class AgentNode(Node):
    def __init__(self, name, clock, network, random_source, log, is_restart):
        super().__init__(name, clock, network)
        self.zone = ZONES[int(name.rsplit("-", 1)[1]) % 2]
        self.memory = fake_backend.FakeMemory(CAPACITY_BYTES)
        self.backend = fake_backend.FakeBackend(
            name, self.clock, random_source, log, CAPACITY_BYTES
        )
        self.executor = executor.Executor(
            self.clock,
            self.outbox,
            self.backend,
            self.memory,
            fake_backend.FakeKeyGate(clock.now_ms() if is_restart else -1),
            clock.wall_ms(),
            self.crash,
            kv_bytes=lambda _, n: n * fake_backend.KV_BYTES_PER_TOKEN,
        )
        self.started = self.backend.started
        self.backend.on_restart = self.executor.on_backend_up
        self._sequence = 0
        self._reported = None
        self.drained_ms = None
        self.report_loop()

    def report_loop(self):
        state = (self.executor.state, self.executor.load())
        if state != self._reported:
            self._reported = state
            for peer in sorted(self.peers):
                self.report(peer)
        self.clock.call_later(500, self.report_loop)

    def report(self, peer):
        load = self.executor.load()
        self._sequence += 1
        self.outbox.send(
            peer,
            messages_state.AgentReport(
                incarnation=self.executor.incarnation,
                sequence=self._sequence,
                state=self.executor.state,
                running=load.running,
                waiting_urgent=load.waiting_urgent,
                waiting_deferrable=load.waiting_deferrable,
                queued_tokens=load.queued_tokens,
                free_kv_bytes=self.memory.free_bytes,
                capacity_bytes=self.memory.capacity_bytes,
                committed_bytes=self.memory.committed_bytes,
                step_us=5_000,
                report_age_ms=0,
            ),
        )

    def on_peer_up(self, peer, node):
        self.peers.add(peer)
        self.report(peer)
        self.outbox.send(
            peer,
            messages_state.Residents(
                incarnation=self.executor.incarnation,
                sequence=1,
                models=[MODEL],
                adapters=[],
                loading=[],
                services=[SERVICE],
            ),
        )
        for verdict in self.crash.current_verdicts():
            self.outbox.send(peer, verdict)

    def on_peer_down(self, peer):
        self.peers.discard(peer)
        self.executor.on_peer_down(peer)

    def on_message(self, peer, item):
        self.executor.on_message(peer, item)

    def drain(self, on_idle):
        self.drained_ms = self.clock.now_ms()
        self.executor.start_drain(on_idle)
        for peer in sorted(self.peers):
            self.report(peer)
