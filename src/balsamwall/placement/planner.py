"""Planner of loads and swaps, without state between rounds.

A name is that of a model or of an adapter.
"""

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

# Workers compared for one replica; more cost time without a better choice.
MAX_CANDIDATES = 16
# Most workers that are examined to find these candidates, and the limit for
# a name without a replica.
SCAN_LIMIT = 400
SCAN_LIMIT_MISSING = 2_000
# A round ends after this many names for which no replica can be added.
MAX_UNPLACED_NAMES = 64
# Excess loads that differ by less, in engines, rank as equal, since the demand
# is not known more exactly. A replica in another availability zone is then
# preferred, so that the name survives the loss of one.
EXCESS_LOAD_STEP = 0.05


@dataclasses.dataclass(slots=True, frozen=True)
class PlannerSettings:
    """Cost model and limits of the planner."""

    horizon_s: float = 600.0
    # A burst ends long before the horizon, so its replica must pay off sooner.
    burst_horizon_s: float = 120.0
    # The gain must exceed the cost by this factor, so that noise in the
    # demand causes no loads.
    hysteresis: float = 1.5
    # Additional factor for a steady name before its averages cover a full
    # window.
    short_window_factor: float = 4.0
    load_bytes_per_s: float = 1e9
    load_fixed_s: float = 5.0
    # Whether a swap may unload a base model together with its adapters.
    drops_adapters: bool = True
    # A tenant may get one step per round for each workers_per_step workers.
    # The limit is never below min_steps.
    min_steps: int = 8
    workers_per_step: int = 100


class Planner:
    """Propose the steps of one placement round."""

    __slots__ = ("_settings",)

    def __init__(self, settings: PlannerSettings | None = None) -> None:
        self._settings = settings or PlannerSettings()

    def plan(
        self,
        view: fleet_view.FleetView,
        demand: demand_forecast.DemandForecast,
        now_ms: int,
    ) -> list[fleet_view.Step]:
        """Return the steps, most urgent first, limited for each tenant."""
        return self._plan(view, demand, now_ms, _TenantPlan.make)

    def plan_missing(
        self,
        view: fleet_view.FleetView,
        demand: demand_forecast.DemandForecast,
        now_ms: int,
    ) -> list[fleet_view.Step]:
        """Return the steps that place names without a replica."""
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
                    self._settings, configuration, workers, demand, now_ms
                )
                steps += make(plan)
        steps.sort(key=lambda step: -step.urgency)
        return steps


def _has_missing(view: fleet_view.FleetView) -> bool:
    """Return whether a configured name is neither resident nor loading."""
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
    """Plan of one round for one tenant."""

    __slots__ = (
        "_configuration",
        "_demand",
        "_limit",
        "_model",
        "_now_ms",
        "_steps",
        "_settings",
        "_weights",
    )

    def __init__(
        self,
        settings: PlannerSettings,
        configuration: tenant_configuration.TenantConfiguration,
        workers: list[fleet_view.WorkerView],
        demand: demand_forecast.DemandForecast,
        now_ms: int,
    ) -> None:
        self._settings = settings
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
            settings.min_steps, len(workers) // settings.workers_per_step
        )

    def make(self) -> list[fleet_view.Step]:
        """Return the steps that place missing names and add replicas."""
        self._place_missing()
        self._add_replicas()
        return self._steps

    def make_missing(self) -> list[fleet_view.Step]:
        """Return only the steps that place names without a replica."""
        self._place_missing()
        return self._steps

    def _place_missing(self) -> None:
        """Place names without a replica, highest urgent demand first."""
        model = self._model
        missing = [n for n, holders in model.holders.items() if not holders]
        missing.sort(key=lambda name: (-self._urgent_rate(name), name))
        for name in missing:
            if len(self._steps) >= self._limit:
                return
            if model.holders[name]:
                continue  # already added as the base of an adapter
            level = urgency_levels.UNREACHABLE
            if self._urgent_rate(name) > 0:
                level = urgency_levels.UNREACHABLE_URGENT
            worker = self._best_free_worker(name, SCAN_LIMIT_MISSING)
            victim = ""
            if worker is None:
                worker, victim, _ = self._best_swap(name)
            if worker is not None:
                self._add_step(worker, name, victim, level)

    def _urgent_rate(self, name: str) -> float:
        share = self._demand.urgent_share(name, self._now_ms)
        return share * self._demand.rate(name, self._now_ms)

    def _add_replicas(self) -> None:
        """Add replicas where the gain over the horizon exceeds the cost."""
        model = self._model
        heap = []
        for name, holders in model.holders.items():
            if holders and model.offered_load(name) > 0:
                key = self._max_gain(name)
                if key > 0:
                    heap.append((-key, name))
        heapq.heapify(heap)
        failures = 0
        while heap and len(self._steps) < self._limit:
            _, name = heapq.heappop(heap)
            if self._max_gain(name) <= self._required_gain(name):
                continue
            if self._add_replica(name):
                heapq.heappush(heap, (-self._max_gain(name), name))
                continue
            failures += 1
            if failures > MAX_UNPLACED_NAMES:
                break

    def _is_burst(self, name: str) -> bool:
        return self._demand.is_burst(name, self._now_ms)

    def _is_demand_reliable(self, name: str) -> bool:
        """Return whether the averages cover a full window or show a burst."""
        has_full_window = self._demand.has_full_window(self._now_ms)
        return has_full_window or self._is_burst(name)

    def _max_gain(self, name: str) -> float:
        """Return an upper bound on the excess load that can be removed."""
        offered_load = self._model.offered_load(name)
        holders = self._model.holders[name]
        share = offered_load / len(holders)
        return sum(min(worker.excess_load, share) for worker in holders)

    def _required_gain(self, name: str) -> float:
        """Return the excess load, in engines, that a replica must remove."""
        settings = self._settings
        move_weight, attainment_weight = self._weights.get(name, (1.0, 1.0))
        size = self._model.sizes[name]
        cost_s = settings.load_fixed_s + size / settings.load_bytes_per_s
        horizon_s = settings.horizon_s
        if self._is_burst(name):
            horizon_s = settings.burst_horizon_s
        gain_s = horizon_s * max(attainment_weight, 1e-9)
        hysteresis = settings.hysteresis
        if not self._is_demand_reliable(name):
            hysteresis *= settings.short_window_factor
        return hysteresis * cost_s * move_weight / gain_s

    def _add_replica(self, name: str) -> bool:
        model = self._model
        required_gain = self._required_gain(name)
        worker = self._best_free_worker(name, SCAN_LIMIT)
        level = urgency_levels.DEFERRABLE
        if self._urgent_rate(name) > 0:
            level = urgency_levels.URGENT
        if worker is not None:
            removed_load = model.excess_removed_by_replica(name)
            if (
                removed_load - model.excess_added_by_replica(name, worker)
                > required_gain
            ):
                self._add_step(worker, name, "", level)
                return True
        if not self._is_demand_reliable(name):
            # A swap takes capacity from other names while its load runs.
            return False
        worker, victim, net_gain = self._best_swap(name)
        if worker is None or net_gain <= required_gain:
            return False
        self._add_step(worker, name, victim, level)
        return True

    def _add_step(
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
            for item in sorted(self._model.with_dependents(victim, worker)):
                self._model.drop(item, worker)
        self._model.add(name, worker)

    def _best_free_worker(
        self, name: str, scan: int
    ) -> fleet_model.WorkerModel | None:
        """Return the best worker with enough free memory, or None."""
        model = self._model
        base = model.base_of(name)
        if base != name:
            # Where its base is resident, an adapter needs only a small load.
            beside_base = [
                worker
                for worker in model.holders.get(base, [])
                if name not in worker.names
                and worker.free_bytes >= model.sizes[name]
            ]
            if beside_base:
                return self._best_worker(name, beside_base)
        found = model.least_loaded(
            lambda worker: (
                name not in worker.names
                and worker.free_bytes >= model.required_bytes(name, worker)
            ),
            MAX_CANDIDATES,
            scan,
        )
        return self._best_worker(name, found) if found else None

    def _best_worker(
        self, name: str, workers: list[fleet_model.WorkerModel]
    ) -> fleet_model.WorkerModel:
        """Return the worker with the least added excess load.

        Among equal ones, an availability zone with fewer replicas is
        preferred, then the placement rank decides.
        """
        model = self._model
        zones = collections.Counter(
            holder.view.availability_zone for holder in model.holders[name]
        )

        def rank(
            worker: fleet_model.WorkerModel,
        ) -> tuple[int, int, tuple[float, int]]:
            return (
                round(
                    model.excess_added_by_replica(name, worker)
                    / EXCESS_LOAD_STEP
                ),
                zones[worker.view.availability_zone],
                worker.placement_rank,
            )

        return min(workers, key=rank)

    def _best_swap(
        self, name: str
    ) -> tuple[fleet_model.WorkerModel | None, str, float]:
        """Return the worker, the victim and the net gain of the best swap."""
        model = self._model
        best: tuple[fleet_model.WorkerModel | None, str, float]
        best = (None, "", float("-inf"))
        workers = model.least_loaded(
            lambda worker: name not in worker.names, MAX_CANDIDATES, SCAN_LIMIT
        )
        for worker in workers:
            missing_bytes = (
                model.required_bytes(name, worker) - worker.free_bytes
            )
            for victim in sorted(worker.ready & worker.names):
                if not self._can_replace(victim, name, worker, missing_bytes):
                    continue
                net_gain = model.excess_removed_by_swap(name, victim, worker)
                if net_gain > best[2]:
                    best = (worker, victim, net_gain)
        return best

    def _can_replace(
        self,
        victim: str,
        name: str,
        worker: fleet_model.WorkerModel,
        missing_bytes: int,
    ) -> bool:
        """Return whether a swap may unload a victim to load a name.

        Another replica of the victim must be ready. The adapters of a base
        model are unloaded with it, so each needs another replica too.
        """
        model = self._model
        if victim not in model.holders:
            return False
        if victim in (name, model.base_of(name)):
            return False
        group = model.with_dependents(victim, worker)
        if name in group or not group <= worker.ready:
            return False
        if len(group) > 1 and not self._settings.drops_adapters:
            return False
        if sum(model.sizes[item] for item in group) < missing_bytes:
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
    """Return mean move and attainment weights over the users of a name."""
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
