"""Reference policy with full knowledge of the trace and engine state."""

from __future__ import annotations

from typing import cast
from typing import TYPE_CHECKING

from balsamwall.placement import fleet_view
from balsamwall.placement import planner as planner_module
from bench import fake_engine
from bench import plain_fleet
from bench import workload

if TYPE_CHECKING:
    from balsamwall.placement import demand_forecast

WINDOW_MS = 5_000
LOOK_AHEAD_WINDOWS = 8
PLAN_INTERVAL_MS = 2_000
# Batch slots that are reserved for urgent requests.
URGENT_SLOTS = 4


class TrueDemand:
    """Future demand from the trace, with the interface of DemandForecast."""

    def __init__(self, work: workload.Workload) -> None:
        self._windows = workload.TRACE_MS // WINDOW_MS
        self._work: dict[str, list[float]] = {}
        self._urgent: dict[str, int] = {}
        for request in work.requests:
            row = self._work.setdefault(request.target, [0.0] * self._windows)
            row[request.arrival_ms // WINDOW_MS] += (
                fake_engine.work_ms(
                    request.prompt_tokens, request.output_tokens
                )
                / WINDOW_MS
            )
            count = self._urgent.get(request.target, 0)
            self._urgent[request.target] = count + request.is_urgent

    def observe(
        self,
        name: str,
        is_urgent: bool,
        count: int,
        work_ms: float,
        now_ms: int,
    ) -> None:
        """Ignore the observation; the demand is known in advance."""

    def has_full_window(self, now_ms: int) -> bool:
        """Return True; the demand is known from the start."""
        return True

    def is_burst(self, name: str, now_ms: int) -> bool:
        """Return False; no rate is unexpected."""
        return False

    def offered_load(self, name: str, now_ms: int) -> float:
        """Return the mean load over the look-ahead time, in engines."""
        row = self._work.get(name)
        if row is None:
            return 0.0
        first = now_ms // WINDOW_MS
        part = row[first : first + LOOK_AHEAD_WINDOWS]
        return sum(part) / len(part) if part else 0.0

    def peak(self, name: str) -> float:
        """Return the highest offered load in the trace, in engines."""
        return max(
            self.offered_load(name, first * WINDOW_MS)
            for first in range(self._windows)
        )

    def mean(self, name: str) -> float:
        """Return the mean load over the whole trace, in engines."""
        return sum(self._work.get(name, ())) / self._windows

    def rate(self, name: str, now_ms: int) -> float:
        """Return the offered load, which ranks names as a rate does."""
        return self.offered_load(name, now_ms)

    def urgent_share(self, name: str, now_ms: int) -> float:
        """Return 1.0 if the trace has urgent requests for the name."""
        return 1.0 if self._urgent.get(name) else 0.0


class Clairvoyant(plain_fleet.PlainFleet):
    """Loads planned from future demand, routing by exact engine state.

    Starts from the same placement as the other policies. Initial loads are
    not counted, so an informed initial placement would hide its loads.
    """

    policy = "clairvoyant"
    planner_settings = planner_module.PlannerSettings()

    def __init__(self, work: workload.Workload) -> None:
        self.demand = TrueDemand(work)
        self._planner = planner_module.Planner(self.planner_settings)
        super().__init__(work)

    def batch_limit(self, is_urgent: bool) -> int:
        """Reserve URGENT_SLOTS of the batch for urgent requests."""
        if is_urgent:
            return fake_engine.MAX_BATCH
        return fake_engine.MAX_BATCH - URGENT_SLOTS

    def kv_bytes(self, request: workload.Request) -> int:
        """Reserve KV memory for the actual output length."""
        tokens = request.prompt_tokens + request.output_tokens
        return tokens * workload.KV_BYTES_PER_TOKEN

    def is_unattainable(self, request: workload.Request) -> bool:
        """Tell whether the request can no longer meet its deadline."""
        waited_ms = self.clock.now_ms() - request.arrival_ms
        if request.is_urgent:
            return waited_ms > workload.FIRST_TOKEN_MS - 60
        return self.clock.now_ms() > request.deadline_ms

    def choose(self, request: workload.Request) -> plain_fleet.Worker | None:
        """Return the replica with the earliest first token."""
        holders = [
            worker
            for worker in self.workers
            if worker.is_up
            and request.target in worker.engine.resident_names()
        ]
        return min(
            holders,
            key=lambda worker: (
                self._first_token_wait_ms(worker, request),
                worker.index,
            ),
            default=None,
        )

    def _first_token_wait_ms(
        self, worker: plain_fleet.Worker, request: workload.Request
    ) -> float:
        """Return the time until the first token of a request."""
        sequences = worker.engine.sequences
        ahead = len(worker.urgent_queue)
        if not request.is_urgent:
            ahead += len(worker.deferrable_queue)
        limit = self.batch_limit(request.is_urgent)
        excess = len(sequences) + ahead + 1 - limit
        prefill = sum(item.prefill_tokens for item in sequences)
        step_ms = worker.engine.step_ms(min(len(sequences) + 1, limit), 128)
        wait_ms = (
            step_ms
            + prefill * fake_engine.PREFILL_MS_PER_TOKEN
            + sum(j.request.prompt_tokens for j in worker.urgent_queue)
            * fake_engine.PREFILL_MS_PER_TOKEN
        )
        if excess > 0:
            remaining_tokens = sorted(
                item.remaining_tokens for item in sequences
            )
            index = min(excess, len(remaining_tokens)) - 1
            wait_ms += (
                remaining_tokens[index] * step_ms if remaining_tokens else 0.0
            )
        return wait_ms

    def start(self) -> None:
        """Start the periodic planner."""
        self.clock.call_later(PLAN_INTERVAL_MS, self._plan)

    def on_worker_lost(self, job: plain_fleet.Job) -> None:
        """Resubmit a request that had not started to another worker."""
        self.clock.call_later(1, self.submit, job.request, job.outcome)

    def _plan(self) -> None:
        now_ms = self.clock.now_ms()
        if now_ms >= workload.TRACE_MS:
            return
        self.clock.call_later(PLAN_INTERVAL_MS, self._plan)
        limit = workload.CAPACITY_BYTES - workload.KV_FLOOR_BYTES
        views = tuple(
            fleet_view.WorkerView(
                worker.vm,
                worker.zone,
                self.work.deployment.name,
                limit,
                frozenset(worker.engine.resident_names()),
                frozenset(worker.engine.resident_names("loading")),
            )
            for worker in self.workers
            if worker.is_up
        )
        configuration = self.work.configuration
        view = fleet_view.FleetView(
            views, {configuration.tenant: configuration}
        )
        demand = cast("demand_forecast.DemandForecast", self.demand)
        by_vm = {worker.vm: worker for worker in self.workers}
        blocked: set[str] = set()
        for step in self._planner.plan(view, demand, now_ms):
            worker = by_vm[step.vm]
            group = self._group(worker, step.other)
            if step.vm in blocked or group & worker.names_in_use():
                # Later steps on this VM need the memory that this one frees.
                blocked.add(step.vm)
                continue
            for name in sorted(group):
                worker.unload(name)
            worker.load(step.name)

    def _group(self, worker: plain_fleet.Worker, name: str) -> set[str]:
        """Return a name and the resident adapters that depend on it."""
        if not name:
            return set()
        base_of = self.work.configuration.base_of
        resident = worker.engine.resident_names()
        return {name, *(item for item in resident if base_of(item) == name)}


class ClairvoyantPlaced(Clairvoyant):
    """Clairvoyant policy whose initial placement also uses future demand.

    Attainment is compared with the better of the two clairvoyant policies,
    so that loads by the planner do not lower the reference.
    """

    policy = "clairvoyant-placed"
    # Base models with adapters stay where the initial placement put them.
    planner_settings = planner_module.PlannerSettings(drops_adapters=False)

    def initial_placement(self) -> list[list[str]]:
        """Return a placement balanced by the peak load of each name."""
        peaks = {name: self.demand.peak(name) for name in self.sizes}
        return workload.build_placement(self.work, peaks)
