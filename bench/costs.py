"""CPU cost of routing, planning and relaying, and control traffic."""

from __future__ import annotations

import dataclasses
import functools
import gc
import random
import time
from typing import TYPE_CHECKING

from balsamwall.configuration import tenant_configuration
from balsamwall.dispatch import caller_request
from balsamwall.dispatch import dispatcher
from balsamwall.execution import crash_attribution
from balsamwall.execution import executor
from balsamwall.limits import request_limits
from balsamwall.placement import demand_forecast
from balsamwall.placement import fleet_view
from balsamwall.placement import planner
from balsamwall.protocol import codec
from balsamwall.protocol import messages_session
from balsamwall.protocol import messages_state
from balsamwall.residency import memory_ledger
from balsamwall.routing import route_query
from balsamwall.routing import router
from balsamwall.timing import virtual_clock
from bench import product_agent
from bench import workload

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.backend import backend_server
    from balsamwall.protocol import message

REPLICA_COUNTS = (10, 100, 1_000, 10_000)
ROUTING_DECISIONS = 2_000
REPETITIONS = 15
RELAYED_TOKENS = 5_000
RELAYED_REQUESTS = 1_000
TOKEN = b'data: {"choices":[{"delta":{"content":"tok "}}]}\n\n'


@dataclasses.dataclass(slots=True, frozen=True)
class Cost:
    """Measured cost with its unit."""

    name: str
    value: float
    unit: str

    def line(self) -> str:
        """Return the output line."""
        return f"cost={self.name} value={self.value:.2f} unit={self.unit}"


def minimum_us(
    function: Callable[[], object], count: int, rounds: int
) -> float:
    """Return the minimum CPU time per call over several rounds, in us.

    The minimum is used because other processes can only slow a round down.
    """
    minimum = float("inf")
    gc.collect()
    gc.disable()
    try:
        for _ in range(rounds):
            start_ns = time.process_time_ns()
            for _ in range(count):
                function()
            elapsed_ns = time.process_time_ns() - start_ns
            minimum = min(minimum, elapsed_ns / count / 1_000)
    finally:
        gc.enable()
    return minimum


def build_router(replicas: int) -> router.Router:
    """Return a router with the given number of ready replicas of a model."""
    clock = virtual_clock.VirtualClock(60_000)
    built = router.Router(clock, random.Random(1), "z0")
    rng = random.Random(2)
    for index in range(replicas):
        peer = f"w{index}"
        built.on_peer_up(peer, 1, f"z{index % 17}")
        report = messages_state.AgentReport(
            1, 1, "ready", rng.randrange(16), 0, 0, 0, 0, 0, 0, 40_000, 0
        )
        built.on_message(peer, report)
        names = messages_state.Residents(1, 1, ["m"], [], [], [])
        built.on_message(peer, names)
    clock.advance(60_000)
    return built


def measure_routing() -> dict[int, float]:
    """Return the CPU time per decision in us, by number of replicas."""
    query = route_query.RouteQuery("model", "m", True, 200, 256, 10**9)
    times = dict.fromkeys(REPLICA_COUNTS, float("inf"))
    routers = {count: build_router(count) for count in REPLICA_COUNTS}
    # Rounds alternate between the sizes, so that a slow phase of the machine
    # affects all of them.
    for _ in range(REPETITIONS):
        for count, built in routers.items():
            choose = functools.partial(built.choose, query)
            elapsed_us = minimum_us(choose, ROUTING_DECISIONS, 1)
            times[count] = min(times[count], elapsed_us)
    return times


def plan_inputs(
    models: int, workers: int, copies: int
) -> tuple[fleet_view.FleetView, demand_forecast.DemandForecast, int]:
    """Return a fleet with random replicas, uneven demand and the time."""
    rng = random.Random(3)
    gib = workload.GIB
    specs = {
        f"m{index}": tenant_configuration.ModelSpec(
            f"m{index}", "1", rng.randrange(4, 12) * gib, 1, 4_096
        )
        for index in range(models)
    }
    small = workload.build_configuration(workload.DEPLOYMENTS["tampere"])
    workspace = dataclasses.replace(
        small.workspaces["work"], models=tuple(specs), adapters=()
    )
    configuration = dataclasses.replace(
        small, models=specs, adapters={}, workspaces={"work": workspace}
    )
    names_by_worker: list[set[str]] = [set() for _ in range(workers)]
    for name in specs:
        for _ in range(copies):
            names_by_worker[rng.randrange(workers)].add(name)
    views = tuple(
        fleet_view.WorkerView(
            f"w{index}",
            f"z{index % 17}",
            configuration.tenant,
            100 * gib,
            frozenset(names),
        )
        for index, names in enumerate(names_by_worker)
    )
    view = fleet_view.FleetView(views, {configuration.tenant: configuration})
    demand = demand_forecast.DemandForecast()
    share = workers / models
    for second in range(0, 120, 10):
        for name in specs:
            work_ms = rng.expovariate(1.0) * share * 6_000
            demand.observe(name, True, 10, work_ms, second * 1_000)
    return view, demand, 120_000


def measure_planner(models: int, workers: int, copies: int) -> float:
    """Return the CPU time of one planning round in ms."""
    view, demand, now_ms = plan_inputs(models, workers, copies)
    built = planner.Planner()
    return minimum_us(lambda: built.plan(view, demand, now_ms), 1, 3) / 1_000


class CodecLoop:
    """Entry and agent in one process that exchange encoded messages."""

    def __init__(self) -> None:
        self.clock = virtual_clock.VirtualClock(60_000)
        self.listeners: list[backend_server.BackendListener] = []
        self.finished = 0
        self.bytes_sent = 0
        self._queue: list[tuple[bool, bytes]] = []
        routing = router.Router(self.clock, random.Random(1), "z0")
        self.dispatcher = dispatcher.Dispatcher(
            self.clock,
            _Outbox(self, True),
            routing,
            request_limits.RequestLimits(self.clock),
            random.Random(2),
        )
        ledger = memory_ledger.MemoryLedger(2**50)
        crash = crash_attribution.CrashAttribution(
            self.clock, "w0", lambda item: None
        )
        self.executor = executor.Executor(
            self.clock,
            _Outbox(self, False),
            self,
            ledger,
            product_agent.NoKeyGate(),
            1,
            crash,
        )
        routing.on_peer_up("w0", 1, "z0")
        report = messages_state.AgentReport(
            1, 1, "ready", 0, 0, 0, 0, 0, 0, 0, 40_000, 0
        )
        routing.on_message("w0", report)
        names = messages_state.Residents(1, 1, ["m"], [], [], [])
        routing.on_message("w0", names)
        self.dispatcher.on_peer_up("w0", 1)

    def start(
        self,
        request: backend_server.BackendRequest,
        listener: backend_server.BackendListener,
    ) -> None:
        """Store the listener; the benchmark emits the tokens."""
        self.listeners.append(listener)

    def resume(
        self,
        request_id: str,
        offset: int,
        listener: backend_server.BackendListener,
    ) -> None:
        """Do nothing; no stream is interrupted here."""

    def cancel(self, request_id: str) -> None:
        """Do nothing; no request is cancelled here."""

    def enqueue(self, is_to_agent: bool, item: message.Message) -> None:
        """Encode and queue a message."""
        data = codec.encode(item)
        self.bytes_sent += len(data) + 4
        self._queue.append((is_to_agent, data))

    def flush(self) -> None:
        """Decode and deliver all queued messages."""
        while self._queue:
            is_to_agent, data = self._queue.pop(0)
            item = codec.decode(data)
            if is_to_agent:
                self.executor.on_message("e0", item)
            else:
                self.dispatcher.on_message("w0", item)

    def submit(self, number: int) -> backend_server.BackendListener:
        """Submit a request and return the listener at the engine."""
        now_ms = self.clock.now_ms()
        request = caller_request.CallerRequest(
            f"r{number}", "t", "w", "model", "m", "m", "/v1/completions",
            {"content-type": "application/json"}, b"x" * 1_000, True, True,
            True, now_ms + 10**9, now_ms + 10**9, 200, 256, "",
            number.to_bytes(16, "big"),
        )  # fmt: skip
        self.dispatcher.submit(request, self)
        self.flush()
        return self.listeners.pop()

    def on_chunk(self, data: bytes) -> None:
        """Ignore a token."""

    def on_end(self, end: caller_request.AnswerEnd) -> None:
        """Count a finished request."""
        self.finished += 1

    def on_failure(self, failure: caller_request.AnswerFailure) -> None:
        """Raise RuntimeError, since every request must succeed."""
        raise RuntimeError(f"{failure.code.name}: {failure.detail}")


class _Outbox:
    """Outbox of the entry or of the agent."""

    def __init__(self, loop: CodecLoop, is_to_agent: bool) -> None:
        self._loop = loop
        self._is_to_agent = is_to_agent

    def send(self, peer: str, item: message.Message) -> None:
        """Queue a message for the other side; the peer name is ignored."""
        self._loop.enqueue(self._is_to_agent, item)


def measure_relay() -> tuple[float, float]:
    """Return the CPU time per token and per one-token request, in us."""
    token_us = request_us = float("inf")
    for _ in range(5):
        loop = CodecLoop()
        listener = loop.submit(0)
        start_ns = time.process_time_ns()
        for index in range(RELAYED_TOKENS):
            listener.on_data(index * len(TOKEN), TOKEN)
            loop.flush()
        elapsed_ns = time.process_time_ns() - start_ns
        token_us = min(token_us, elapsed_ns / RELAYED_TOKENS / 1_000)
        start_ns = time.process_time_ns()
        for number in range(1, RELAYED_REQUESTS + 1):
            listener = loop.submit(number)
            listener.on_data(0, TOKEN)
            listener.on_end(200, {}, len(TOKEN), 1)
            loop.flush()
        elapsed_ns = time.process_time_ns() - start_ns
        request_us = min(request_us, elapsed_ns / RELAYED_REQUESTS / 1_000)
        if loop.finished != RELAYED_REQUESTS:
            raise RuntimeError(
                f"{loop.finished} of {RELAYED_REQUESTS} requests finished"
            )
    return token_us, request_us


def control_traffic(entries: int) -> tuple[float, float]:
    """Return messages and bytes per second that one agent sends.

    A busy agent sends a report to every entry every 500 ms; its residents
    rarely change. Each stream also carries one ping and one pong per second.
    """
    now = 1_700_000_000_000
    report = messages_state.AgentReport(
        now, 10**6, "ready", 16, 4, 20, 4_000, 2 * 10**10, 8 * 10**10,
        7 * 10**10, 42_000, 300,
    )  # fmt: skip
    ping = messages_session.Ping(10**6, {"kovacevic": 10**4})
    pong = messages_session.Pong(10**6)
    per_s = (2.0, 1.0, 1.0)
    sizes = [len(codec.encode(item)) + 4 for item in (report, ping, pong)]
    messages = sum(per_s) * entries
    total = sum(rate * size for rate, size in zip(per_s, sizes, strict=True))
    return messages, total * entries
