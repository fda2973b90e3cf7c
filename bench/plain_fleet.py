"""Simulated fleet for the policies that do not use balsamwall."""

from __future__ import annotations

import collections
import random
from typing import TYPE_CHECKING

from balsamwall.backend import backend_server
from balsamwall.timing import virtual_clock
from bench import fake_engine
from bench import score
from bench import weight_store
from bench import workload

if TYPE_CHECKING:
    from balsamwall.results import result_code

NETWORK_MS = 2


class Job:
    """Request at a worker and the listener for its engine stream."""

    __slots__ = ("fleet", "outcome", "request", "worker")

    def __init__(
        self,
        fleet: PlainFleet,
        worker: Worker,
        request: workload.Request,
        outcome: score.Outcome,
    ) -> None:
        self.fleet = fleet
        self.worker = worker
        self.request = request
        self.outcome = outcome

    def on_data(self, offset: int, data: bytes) -> None:
        """Deliver a token to the caller after the network delay."""
        self.fleet.clock.call_later(NETWORK_MS, self.outcome.on_chunk, data)

    def on_end(
        self,
        http_status: int,
        headers: dict[str, str],
        total_bytes: int,
        output_tokens: int,
    ) -> None:
        """Report the end to the caller and start queued requests."""
        self.fleet.clock.call_later(NETWORK_MS, self.outcome.on_end)
        self.worker.finish(self)

    def on_error(
        self, code: result_code.ResultCode, detail: str, is_crash: bool
    ) -> None:
        """Report the failure of the engine to the caller."""
        self.outcome.fail("backend_crashed")
        self.worker.finish(self)


class Worker:
    """Engine with admission queues; urgent requests start first."""

    def __init__(self, fleet: PlainFleet, index: int) -> None:
        self.fleet = fleet
        self.index = index
        self.vm = f"w{index}"
        self.zone = fleet.work.deployment.zone_of(index)
        self.is_up = True
        self.engine = fake_engine.FakeEngine(
            fleet.clock, fleet.store, fleet.record_move
        )
        self.engine.on_ready = self.on_ready
        self.urgent_queue: collections.deque[Job] = collections.deque()
        self.deferrable_queue: collections.deque[Job] = collections.deque()
        # Requests by the name whose load they wait for.
        self.awaiting_load: dict[str, list[Job]] = {}
        self.running: dict[str, Job] = {}
        self.kv_bytes = 0
        self.last_used_ms: dict[str, int] = {}

    @property
    def open_count(self) -> int:
        """Return the number of running and waiting requests."""
        waiting_for_load = sum(
            len(jobs) for jobs in self.awaiting_load.values()
        )
        queued = len(self.urgent_queue) + len(self.deferrable_queue)
        return len(self.running) + queued + waiting_for_load

    @property
    def weight_bytes(self) -> int:
        """Return the memory of weights that are ready or loading."""
        names = self.engine.resident_names() | self.engine.resident_names(
            "loading"
        )
        return sum(self.fleet.sizes[name] for name in names)

    @property
    def free_weight_bytes(self) -> int:
        """Return the memory available for weights above the KV floor."""
        limit = workload.CAPACITY_BYTES - workload.KV_FLOOR_BYTES
        return limit - self.weight_bytes

    def names_in_use(self) -> set[str]:
        """Return the targets and bases of running and waiting requests."""
        names: set[str] = set()
        for jobs in (
            self.running.values(),
            self.urgent_queue,
            self.deferrable_queue,
        ):
            for job in jobs:
                names.update((job.request.target, job.request.base))
        for name in self.awaiting_load:
            names.update((name, self.fleet.work.configuration.base_of(name)))
        return names

    def enqueue(self, job: Job) -> None:
        """Queue a request by its class and start what fits."""
        queue = (
            self.urgent_queue
            if job.request.is_urgent
            else self.deferrable_queue
        )
        queue.append(job)
        self.start_queued()

    def start_queued(self) -> None:
        """Start queued requests that fit into the batch and KV memory."""
        if not self.is_up:
            return
        resident = self.engine.resident_names()
        for queue in (self.urgent_queue, self.deferrable_queue):
            limit = self.fleet.batch_limit(queue is self.urgent_queue)
            while queue and len(self.running) < limit:
                job = queue.popleft()
                if self.fleet.is_unattainable(job.request):
                    job.outcome.fail("given_up")
                elif job.request.target not in resident:
                    name = job.request.target
                    self.awaiting_load.setdefault(name, []).append(job)
                elif not self._start(job):
                    queue.appendleft(job)
                    break

    def _start(self, job: Job) -> bool:
        needed = self.fleet.kv_bytes(job.request)
        limit = workload.CAPACITY_BYTES - self.weight_bytes
        if self.kv_bytes + needed > limit:
            return False
        request = job.request
        self.kv_bytes += needed
        self.running[request.request_id] = job
        self.last_used_ms[request.target] = self.fleet.clock.now_ms()
        self.last_used_ms[request.base] = self.fleet.clock.now_ms()
        self.engine.start(
            backend_server.BackendRequest(
                request.request_id,
                "model",
                request.target,
                "",
                {},
                str(request.output_tokens).encode(),
                request.is_urgent,
                True,
                request.prompt_tokens,
                workload.MAX_OUTPUT_TOKENS,
                "",
                request.deadline_ms,
            ),
            job,
        )
        return True

    def finish(self, job: Job) -> None:
        """Release the batch slot and KV memory of a request."""
        if self.running.pop(job.request.request_id, None) is not None:
            self.kv_bytes -= self.fleet.kv_bytes(job.request)
            self.fleet.clock.call_later(0, self.start_queued)

    def on_ready(self, name: str) -> None:
        """Queue the requests that waited for a load."""
        for job in self.awaiting_load.pop(name, ()):
            self.enqueue(job)

    def load(self, name: str) -> None:
        """Order a load, preceded by the load of the base model."""
        configuration = self.fleet.work.configuration
        base = configuration.base_of(name)
        resident = self.engine.resident_names() | self.engine.resident_names(
            "loading"
        )
        for item in dict.fromkeys((base, name)):
            if item not in resident:
                order = fake_engine.load_order(configuration, item, item)
                self.engine.order(order, _ignore_result)

    def unload(self, name: str) -> None:
        """Order an unload."""
        order = backend_server.EngineOrder(
            f"un{name}", 0, "unload", name, "", "1", "", 0
        )
        self.engine.order(order, _ignore_result)

    def crash(self) -> None:
        """Crash the engine and hand queued requests to the policy."""
        self.is_up = False
        queued = [*self.urgent_queue, *self.deferrable_queue]
        for jobs in self.awaiting_load.values():
            queued.extend(jobs)
        self.awaiting_load.clear()
        self.urgent_queue.clear()
        self.deferrable_queue.clear()
        self.engine.crash()
        for job in queued:
            self.fleet.on_worker_lost(job)


def _ignore_result(code: object) -> None:
    return


class PlainFleet:
    """Simulated fleet for one run; subclasses implement the policies."""

    policy = ""

    def __init__(self, work: workload.Workload) -> None:
        self.work = work
        self.clock = virtual_clock.VirtualClock()
        self.rng = random.Random(f"{self.policy}/{work.seed}")
        self.sizes = workload.sizes_of(work.configuration)
        deployment = work.deployment
        self.store = weight_store.WeightStore(
            self.clock, deployment.loads_per_s, deployment.concurrent_loads
        )
        self.move_times_ms: list[int] = []
        self.workers = [
            Worker(self, index) for index in range(deployment.workers)
        ]
        self.initial_names = self.initial_placement()
        for worker, names in zip(
            self.workers, self.initial_names, strict=True
        ):
            for name in names:
                worker.engine.preload(
                    fake_engine.load_order(work.configuration, name)
                )

    def record_move(self) -> None:
        """Record the time of a weight load."""
        self.move_times_ms.append(self.clock.now_ms())

    def initial_placement(self) -> list[list[str]]:
        """Return the names per worker, with equal demand assumed."""
        return workload.build_placement(
            self.work, dict.fromkeys(self.sizes, 1.0)
        )

    def batch_limit(self, is_urgent: bool) -> int:
        """Return the batch size below which requests of a class start."""
        return fake_engine.MAX_BATCH

    def kv_bytes(self, request: workload.Request) -> int:
        """Return the KV memory to reserve, for the longest output."""
        tokens = request.prompt_tokens + workload.MAX_OUTPUT_TOKENS
        return tokens * workload.KV_BYTES_PER_TOKEN

    def is_unattainable(self, request: workload.Request) -> bool:
        """Tell whether a queued request should be dropped as too late."""
        return self.clock.now_ms() > request.deadline_ms

    def choose(self, request: workload.Request) -> Worker | None:
        """Return the worker for a request, or None to reject it."""
        raise NotImplementedError

    def on_worker_lost(self, job: Job) -> None:
        """Handle a request that had not started on a lost worker."""
        job.outcome.fail("worker_lost")

    def on_worker_restored(self, worker: Worker) -> None:
        """Handle a worker that restarted with nothing resident."""

    def start(self) -> None:
        """Start the timers of the policy."""

    def submit(
        self, request: workload.Request, outcome: score.Outcome
    ) -> None:
        """Send a request to the worker that the policy chooses."""
        worker = self.choose(request)
        if worker is None:
            outcome.fail("no_worker")
            return
        job = Job(self, worker, request, outcome)
        self.clock.call_later(NETWORK_MS, self._arrive, job)

    def _arrive(self, job: Job) -> None:
        if job.worker.is_up:
            job.worker.enqueue(job)
        else:
            self.on_worker_lost(job)

    def run(self) -> score.RunResult:
        """Replay the trace and return the figures."""
        outcomes = []
        for request in self.work.requests:
            outcome = score.Outcome(self.clock, request, 0)
            outcomes.append(outcome)
            self.clock.call_later(
                request.arrival_ms, self.submit, request, outcome
            )
        for fault in self.work.faults:
            self.clock.call_later(fault.start_ms, self._begin_fault, fault)
        self.start()
        end_ms = workload.TRACE_MS + workload.DEFERRABLE_DEADLINE_MS
        self.clock.run_until(end_ms)
        return score.summarise(
            self.work, self.policy, outcomes, self.move_times_ms
        )

    def _begin_fault(self, fault: workload.Fault) -> None:
        if fault.kind == "slow_store":
            self.store.slowdown_factor = 3.0
        for index in fault.workers:
            self.workers[index].crash()
        self.clock.call_later(fault.duration_ms, self._end_fault, fault)

    def _end_fault(self, fault: workload.Fault) -> None:
        if fault.kind == "slow_store":
            self.store.slowdown_factor = 1.0
        for index in fault.workers:
            worker = self.workers[index]
            worker.engine.restart()
            worker.is_up = True
            self.on_worker_restored(worker)
