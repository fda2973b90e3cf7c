"""Plan of loads and swaps; a pure function of its arguments."""

from __future__ import annotations

import collections
import dataclasses
import heapq
from typing import TYPE_CHECKING

from balsamwall.placement import fleet_model
from balsamwall.placement import fleet_view
from balsamwall.residency import urgency as urgency_levels

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.configuration import tenant_configuration
    from balsamwall.placement import demand_forecast

# Workers that are compared for one replica; more cost time without use.
CANDIDATES = 16
SCAN_LIMIT = 400
SCAN_LIMIT_MISSING = 2_000
# Names without a possible replica after which a round ends.
MAX_FAILURES = 64
# Burdens that differ by less, in engines, are equal: demand is not known more
# exactly, and a copy in another zone survives the loss of one.
BURDEN_STEP = 0.05


@dataclasses.dataclass(slots=True, frozen=True)
class PlannerSettings:
    """Parameters of the planner."""

    horizon_s: float = 600.0
    # A burst ends long before the horizon; a copy for it must pay earlier.
    burst_horizon_s: float = 120.0
    # A gain must exceed the cost by this factor, so that noise in the
    # demand causes no loads.
    hysteresis: float = 1.5
    # Further factor for a steady name whose rate rests on few requests.
    unsettled_factor: float = 4.0
    load_bytes_per_s: float = 1e9
    load_fixed_s: float = 5.0
    # Whether a swap may drop a base model together with its adapters.
    drops_adapters: bool = True
    min_steps: int = 8
    workers_per_step: int = 100


class Planner:
    """Propose the steps of one round."""

    __slots__ = ("_values",)

    def __init__(self, values: PlannerSettings | None = None) -> None:
        self._values = values or PlannerSettings()

    def plan(
        self,
        view: fleet_view.FleetView,
        demand: demand_forecast.DemandForecast,
        now_ms: int,
    ) -> list[fleet_view.Step]:
        """Return steps, the most urgent first, at most a bound per round."""
        return self._plan(view, demand, now_ms, _TenantPlan.make)

    def plan_missing(
        self,
        view: fleet_view.FleetView,
        demand: demand_forecast.DemandForecast,
        now_ms: int,
    ) -> list[fleet_view.Step]:
        """Return the steps that place names without a copy."""
        if not _has_missing(view):
            return []
        return self._plan(view, demand, now_ms, _TenantPlan.make_missing)

    def _plan(
        self,
        view: fleet_view.FleetView,
        demand: demand_forecast.DemandForecast,
        now_ms: int,
        make: Callable[[_TenantPlan], list[fleet_view.Step]],
    ) -> list[fleet_view.Step]:
        by_tenant: dict[str, list[fleet_view.WorkerView]] = {}
        for worker in view.workers:
            by_tenant.setdefault(worker.tenant, []).append(worker)
        steps: list[fleet_view.Step] = []
        for tenant, configuration in sorted(view.configurations.items()):
            workers = by_tenant.get(tenant, [])
            if workers:
                plan = _TenantPlan(
                    self._values, configuration, workers, demand, now_ms
                )
                steps += make(plan)
        steps.sort(key=lambda step: -step.urgency)
        return steps


def _has_missing(view: fleet_view.FleetView) -> bool:
    """Tell whether some configured name has no copy and no load."""
    held: dict[str, set[str]] = {}
    for worker in view.workers:
        if not worker.is_leaving:
            names = held.setdefault(worker.tenant, set())
            names |= worker.residents | worker.loading
    return any(
        configuration.configured_names() - held.get(tenant, set())
        for tenant, configuration in view.configurations.items()
    )


class _TenantPlan:
    """Plan of one tenant."""

    __slots__ = (
        "_configuration",
        "_demand",
        "_limit",
        "_model",
        "_now_ms",
        "_steps",
        "_values",
        "_weights",
    )

    def __init__(
        self,
        values: PlannerSettings,
        configuration: tenant_configuration.TenantConfiguration,
        workers: list[fleet_view.WorkerView],
        demand: demand_forecast.DemandForecast,
        now_ms: int,
    ) -> None:
        self._values = values
        self._configuration = configuration
        self._demand = demand
        self._now_ms = now_ms
        self._model = fleet_model.FleetModel(
            configuration,
            workers,
            lambda name: demand.offered_load(name, now_ms),
        )
        self._weights = _mean_weights(configuration)
        self._steps: list[fleet_view.Step] = []
        self._limit = max(
            values.min_steps, len(workers) // values.workers_per_step
        )

    def make(self) -> list[fleet_view.Step]:
        """Return the steps of this tenant."""
        self._place_missing()
        self._add_replicas()
        return self._steps

    def make_missing(self) -> list[fleet_view.Step]:
        """Return only the steps that place names without a copy."""
        self._place_missing()
        return self._steps

    def _place_missing(self) -> None:
        """Place names without a copy, in order of urgent demand."""
        model = self._model
        missing = [n for n, holders in model.holders.items() if not holders]
        missing.sort(key=lambda name: (-self._urgent_rate(name), name))
        for name in missing:
            if len(self._steps) >= self._limit:
                return
            if model.holders[name]:
                continue  # came as the base of an adapter
            level = urgency_levels.UNREACHABLE
            if self._urgent_rate(name) > 0:
                level = urgency_levels.UNREACHABLE_URGENT
            worker = self._best_free(name, SCAN_LIMIT_MISSING)
            victim = ""
            if worker is None:
                worker, victim, _ = self._best_swap(name)
            if worker is not None:
                self._take(worker, name, victim, level)

    def _urgent_rate(self, name: str) -> float:
        share = self._demand.urgent_share(name, self._now_ms)
        return share * self._demand.rate(name, self._now_ms)

    def _add_replicas(self) -> None:
        """Add replicas where the gain over the horizon exceeds the cost."""
        model = self._model
        heap = []
        for name, holders in model.holders.items():
            if holders and model.work(name) > 0:
                key = self._possible_gain(name)
                if key > 0:
                    heap.append((-key, name))
        heapq.heapify(heap)
        failures = 0
        while heap and len(self._steps) < self._limit:
            _, name = heapq.heappop(heap)
            if self._possible_gain(name) <= self._needed(name):
                continue
            if self._add_one(name):
                heapq.heappush(heap, (-self._possible_gain(name), name))
                continue
            failures += 1
            if failures > MAX_FAILURES:
                break

    def _is_burst(self, name: str) -> bool:
        return self._demand.is_burst(name, self._now_ms)

    def _is_known(self, name: str) -> bool:
        """Tell whether the demand for a name stands out from the noise."""
        is_settled = self._demand.has_full_window(self._now_ms)
        return is_settled or self._is_burst(name)

    def _possible_gain(self, name: str) -> float:
        """Return a bound on the excess that more replicas can remove."""
        work = self._model.work(name)
        holders = self._model.holders[name]
        share = work / len(holders)
        return sum(min(worker.excess, share) for worker in holders)

    def _needed(self, name: str) -> float:
        """Return the excess load that a replica must remove, in engines."""
        values = self._values
        move_weight, attainment_weight = self._weights.get(name, (1.0, 1.0))
        size = self._model.sizes[name]
        cost_s = values.load_fixed_s + size / values.load_bytes_per_s
        horizon_s = values.horizon_s
        if self._is_burst(name):
            horizon_s = values.burst_horizon_s
        gain_s = horizon_s * max(attainment_weight, 1e-9)
        hysteresis = values.hysteresis
        if not self._is_known(name):
            hysteresis *= values.unsettled_factor
        return hysteresis * cost_s * move_weight / gain_s

    def _add_one(self, name: str) -> bool:
        model = self._model
        needed = self._needed(name)
        worker = self._best_free(name, SCAN_LIMIT)
        level = urgency_levels.DEFERRABLE
        if self._urgent_rate(name) > 0:
            level = urgency_levels.URGENT
        if worker is not None:
            relief = model.relief_of_adding(name)
            if relief - model.burden_of_adding(name, worker) > needed:
                self._take(worker, name, "", level)
                return True
        if not self._is_known(name):
            # A swap takes capacity from others while its load runs.
            return False
        worker, victim, net = self._best_swap(name)
        if worker is None or net <= needed:
            return False
        self._take(worker, name, victim, level)
        return True

    def _take(
        self,
        worker: fleet_model.WorkerModel,
        name: str,
        victim: str,
        level: int,
    ) -> None:
        action = "swap" if victim else "load"
        vm = worker.view.vm
        step = fleet_view.Step(vm, action, name, victim, level)
        self._steps.append(step)
        if victim:
            for item in sorted(self._model.group(victim, worker)):
                self._model.drop(item, worker)
        self._model.add(name, worker)

    def _best_free(
        self, name: str, scan: int
    ) -> fleet_model.WorkerModel | None:
        """Return the best worker with free memory for a name."""
        model = self._model
        base = model.base_of(name)
        if base != name:
            # Beside its base an adapter costs a small load only.
            near = [
                worker
                for worker in model.holders.get(base, [])
                if name not in worker.names
                and worker.free_bytes >= model.sizes[name]
            ]
            if near:
                return self._best_of(name, near)
        found = model.least_loaded(
            lambda worker: (
                name not in worker.names
                and worker.free_bytes >= model.needed_bytes(name, worker)
            ),
            CANDIDATES,
            scan,
        )
        return self._best_of(name, found) if found else None

    def _best_of(
        self, name: str, workers: list[fleet_model.WorkerModel]
    ) -> fleet_model.WorkerModel:
        """Prefer low burden, then a zone without the name, then low load."""
        model = self._model
        zones = collections.Counter(
            holder.view.availability_zone for holder in model.holders[name]
        )

        def rank(
            worker: fleet_model.WorkerModel,
        ) -> tuple[int, int, tuple[float, int]]:
            return (
                round(model.burden_of_adding(name, worker) / BURDEN_STEP),
                zones[worker.view.availability_zone],
                worker.order,
            )

        return min(workers, key=rank)

    def _best_swap(
        self, name: str
    ) -> tuple[fleet_model.WorkerModel | None, str, float]:
        """Return the worker and spare copy whose exchange gains most."""
        model = self._model
        best: tuple[fleet_model.WorkerModel | None, str, float]
        best = (None, "", float("-inf"))
        workers = model.least_loaded(
            lambda worker: name not in worker.names, CANDIDATES, SCAN_LIMIT
        )
        for worker in workers:
            wanted = model.needed_bytes(name, worker) - worker.free_bytes
            for victim in sorted(worker.ready & worker.names):
                if not self._is_spare(victim, name, worker, wanted):
                    continue
                net = model.gain_of_exchange(name, victim, worker)
                if net > best[2]:
                    best = (worker, victim, net)
        return best

    def _is_spare(
        self,
        victim: str,
        name: str,
        worker: fleet_model.WorkerModel,
        wanted: int,
    ) -> bool:
        """Tell whether a copy may go for a name: another one stays.

        The adapters of a base model go with it, so each needs another copy.
        """
        model = self._model
        if victim not in model.holders:
            return False
        if victim in (name, model.base_of(name)):
            return False
        group = model.group(victim, worker)
        if name in group or not group <= worker.ready:
            return False
        if len(group) > 1 and not self._values.drops_adapters:
            return False
        if sum(model.sizes[item] for item in group) < wanted:
            return False
        return all(
            any(
                holder is not worker and item in holder.ready
                for holder in model.holders[item]
            )
            for item in group
        )


def _mean_weights(
    configuration: tenant_configuration.TenantConfiguration,
) -> dict[str, tuple[float, float]]:
    """Return the mean move and attainment weight of each name's users."""
    sums: dict[str, tuple[float, float, int]] = {}
    for workspace in configuration.workspaces.values():
        for name in (*workspace.models, *workspace.adapters):
            moves, attainment, count = sums.get(name, (0.0, 0.0, 0))
            sums[name] = (
                moves + workspace.move_weight,
                attainment + workspace.attainment_weight,
                count + 1,
            )
    return {
        name: (moves / count, attainment / count)
        for name, (moves, attainment, count) in sums.items()
    }
