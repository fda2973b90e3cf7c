"""Planning of the models and adapters that each engine loads."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from balsamwall.coordination import engine_control
from balsamwall.coordination import replica_demand

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamwall.coordination import demand as demand_module
    from balsamwall.coordination import engine_tracker
    from balsamwall.gateway import residency_waits

_Kind = engine_control.OrderKind
# All costs and gains are measured in delayed requests.
# Fraction of the horizon during which requests for an evicted model wait.
EVICTED_DELAY_FRACTION = 0.8
# Cost of a load from the weight store, which uses one of its permits, and of
# one from the VM's disk. The load time is charged separately.
STORE_LOAD_COST = 1.2
DISK_LOAD_COST = 0.1
# Evicting one of several replicas delays no request while the others have
# capacity.
SPARE_REPLICA_FACTOR = 0.15
# Cost and expected time in seconds of an unload that waits for running
# requests. Its memory is unused meanwhile.
RUNNING_COST = 3.0
UNLOAD_WAIT_S = 2.5
# Cost of a load on an engine whose slots are all used; it is proportional to
# the fraction of used slots.
BUSY_COST = 0.3
# Fraction of the engines that loads of rare models may occupy.
RARE_ENGINE_FRACTION = 0.45
# A model stays for this time after a load, to serve the requests that wait.
MIN_RESIDENCE_MS = 800
# Highest slot use of any engine at which models are prefetched, and the gain
# of a prefetch: less than that of keeping a model in demand.
PREFETCH_MAX_LOAD = 0.1
PREFETCH_GAIN = 3.0
# Number of VMs that should have the weights of each model.
PREFETCH_REPLICAS = 2


@dataclasses.dataclass(slots=True, frozen=True)
class Plan:
    """Orders for one engine, to be executed in sequence."""

    tracker: engine_tracker.EngineTracker
    orders: tuple[engine_control.Order, ...]
    cost: float = 0.0
    gain: float = 0.0


class ResidencyPlanner:
    """Plan one change at a time from trackers and demand, without state.

    Load patterns: rare models that are requested one at a time and share
    little memory (the model with the least demand is evicted), and busy models
    whose demand shifts within seconds (they get replicas on less busy
    engines).
    """

    __slots__ = ("_replica_demand", "_demand")

    def __init__(self, demand: demand_module.Demand) -> None:
        self._demand = demand
        self._replica_demand = replica_demand.ReplicaDemand(demand)

    def needs(
        self,
        trackers: list[engine_tracker.EngineTracker],
        waiting: dict[residency_waits.WantedModel, int],
    ) -> list[replica_demand.PlacementNeed]:
        """Return the placement needs of a service, greatest gain first."""
        return self._replica_demand.needs(trackers, waiting)

    def plan(
        self,
        need: replica_demand.PlacementNeed,
        trackers: list[engine_tracker.EngineTracker],
        now_ms: int,
    ) -> Plan | None:
        """Plan the change that meets a need; None if no change pays off."""
        if need.adapter and need.replicas:
            return self._plan_adapter(trackers, need.model, need.adapter)
        if need.replicas:
            return self._plan_additional_replica(need, trackers, now_ms)
        return self._plan_first_replica(need, trackers, now_ms)

    def _plan_first_replica(
        self,
        need: replica_demand.PlacementNeed,
        trackers: list[engine_tracker.EngineTracker],
        now_ms: int,
    ) -> Plan | None:
        """Plan the first replica of a model that requests wait for."""
        if any(tracker.will_hold(need.model) for tracker in trackers):
            return None
        busy_count = sum(1 for tracker in trackers if not tracker.is_idle)
        is_rare = self._replica_demand.is_rare(need.model)
        if is_rare and busy_count >= max(
            1, RARE_ENGINE_FRACTION * len(trackers)
        ):
            return None
        return self._cheapest_plan(trackers, trackers, need, now_ms)

    def _plan_additional_replica(
        self,
        need: replica_demand.PlacementNeed,
        trackers: list[engine_tracker.EngineTracker],
        now_ms: int,
    ) -> Plan | None:
        """Plan a replica on an engine that stays below the busiest one."""
        used = self._replica_demand.utilisation(trackers)
        free = [
            tracker
            for tracker in trackers
            if not tracker.will_hold(need.model)
            and used[tracker.record.server_id] + need.added_utilisation
            < need.max_utilisation
        ]
        return self._cheapest_plan(free, trackers, need, now_ms)

    def plan_prefetch(
        self, trackers: list[engine_tracker.EngineTracker], now_ms: int
    ) -> Plan | None:
        """Plan the prefetch of a model onto one more VM, under low load.

        A load from the VM's own disk takes a quarter of the time of one from
        the weight store and needs no permit. The engine then restores its
        previous models, as they were chosen for actual demand.
        """
        if (
            not trackers
            or max(self._slot_use(trackers).values()) > PREFETCH_MAX_LOAD
        ):
            return None
        local_models = collections.Counter(
            name
            for tracker in trackers
            for name in tracker.local_models | tracker.expected_models()
        )
        models = list(trackers[0].spec.models)
        model = min(models, key=lambda name: local_models[name], default="")
        if not model or local_models[model] >= PREFETCH_REPLICAS:
            return None
        others = [
            tracker
            for tracker in trackers
            if model not in tracker.local_models
        ]
        need = replica_demand.PlacementNeed(model, PREFETCH_GAIN)
        plan = self._cheapest_plan(others, trackers, need, now_ms)
        return None if plan is None else _with_restored_models(plan)

    def _plan_adapter(
        self,
        trackers: list[engine_tracker.EngineTracker],
        model: str,
        adapter: str,
    ) -> Plan | None:
        """Plan an adapter on the least busy engine with its base model."""
        if any(tracker.will_hold(model, adapter) for tracker in trackers):
            return None
        loads = self._slot_use(trackers)
        in_use = self._demand.adapters_in_use()
        candidates = [
            tracker
            for tracker in trackers
            if tracker.is_idle and model in tracker.models
        ]
        candidates.sort(key=lambda tracker: loads[tracker.record.server_id])
        load = engine_control.Order(_Kind.LOAD, model, adapter)
        for tracker in candidates:
            if tracker.fits(load):
                return Plan(tracker, (load,))
            victim = _least_recently_used_adapter(tracker, in_use)
            if victim is not None:
                unload = engine_control.Order(_Kind.UNLOAD, *victim)
                return Plan(tracker, (unload, load))
        return None

    def _cheapest_plan(
        self,
        candidates: list[engine_tracker.EngineTracker],
        trackers: list[engine_tracker.EngineTracker],
        need: replica_demand.PlacementNeed,
        now_ms: int,
    ) -> Plan | None:
        """Return the cheapest plan, or None if it costs more than it gains.

        Each second until the load ends reduces the gain by gain_loss_per_s.
        That is 0 for a model without a replica, as its requests wait wherever
        it is loaded; the load time then only ranks the engines.
        """
        best: (
            tuple[float, float, engine_tracker.EngineTracker, list[str]] | None
        )
        best = None
        model = need.model
        loads = self._slot_use(candidates)
        replicas = _resident_replicas(trackers)
        rate = self._demand.rate(model)
        for tracker in candidates:
            if not tracker.is_idle or tracker.will_hold(model):
                continue
            eviction = self._victims(
                tracker, model, now_ms, replicas, need.protected_models
            )
            if eviction is None:
                continue
            cost, victims = eviction
            delay_s = self._load_delay_s(tracker, model, victims)
            is_local = model in tracker.local_models
            cost += DISK_LOAD_COST if is_local else STORE_LOAD_COST
            cost += BUSY_COST * loads[tracker.record.server_id]
            cost += need.gain_loss_per_s * delay_s
            rank = cost + rate * delay_s
            if best is None or rank < best[0]:
                best = (rank, cost, tracker, victims)
        if best is None or best[1] > need.gain:
            return None
        orders = [
            engine_control.Order(_Kind.UNLOAD, victim) for victim in best[3]
        ]
        orders.append(engine_control.Order(_Kind.LOAD, model))
        return Plan(best[2], tuple(orders), best[1], need.gain)

    def _load_delay_s(
        self,
        tracker: engine_tracker.EngineTracker,
        model: str,
        victims: list[str],
    ) -> float:
        """Return the time to unload the victims and load a model."""
        running = self._demand.running()
        delay_s = tracker.load_ms(model) / 1_000
        if any(
            (tracker.record.server_id, name) in running for name in victims
        ):
            delay_s += UNLOAD_WAIT_S
        return delay_s

    def _victims(
        self,
        tracker: engine_tracker.EngineTracker,
        model: str,
        now_ms: int,
        replicas: collections.Counter[str],
        protected_models: frozenset[str],
    ) -> tuple[float, list[str]] | None:
        """Return the cost of eviction and the models to evict.

        None means that evicting all allowed models frees too little memory.
        """
        spec = tracker.spec.models.get(model)
        if spec is None:
            return None
        missing_mb = spec.weights_mb - tracker.free_mb()
        if missing_mb <= 0:
            return 0.0, []
        running = self._demand.running()
        costs = sorted(
            (self._eviction_cost(tracker, name, replicas, running), name)
            for name in tracker.models
            if name not in protected_models
            and now_ms - tracker.resident_since_ms.get(name, 0)
            >= MIN_RESIDENCE_MS
        )
        chosen: list[str] = []
        total = 0.0
        for cost, name in costs:
            if missing_mb <= 0:
                break
            chosen.append(name)
            total += cost
            missing_mb -= tracker.freed_mb(name)
        if missing_mb > 0:
            return None
        return total, chosen

    def _eviction_cost(
        self,
        tracker: engine_tracker.EngineTracker,
        model: str,
        replicas: collections.Counter[str],
        running: dict[tuple[str, str], int],
    ) -> float:
        cost = (
            self._demand.rate(model)
            * replica_demand.HORIZON_S
            * EVICTED_DELAY_FRACTION
        )
        if replicas[model] > 1:
            cost *= SPARE_REPLICA_FACTOR
        if running.get((tracker.record.server_id, model)):
            cost += RUNNING_COST
        return cost

    def _slot_use(
        self, trackers: Iterable[engine_tracker.EngineTracker]
    ) -> dict[str, float]:
        running = self._demand.loads()
        return {
            tracker.record.server_id: running.get(tracker.record.server_id, 0)
            / max(1, tracker.spec.slots)
            for tracker in trackers
        }


def _with_restored_models(plan: Plan) -> Plan:
    """Return the plan extended by orders that restore the former models."""
    *unloads, load = plan.orders
    orders = [*plan.orders]
    if unloads:
        orders.append(engine_control.Order(_Kind.UNLOAD, load.model))
    for unload in unloads:
        orders.append(engine_control.Order(_Kind.LOAD, unload.model))
    return Plan(plan.tracker, tuple(orders), plan.cost, plan.gain)


def _resident_replicas(
    trackers: Iterable[engine_tracker.EngineTracker],
) -> collections.Counter[str]:
    return collections.Counter(
        name for tracker in trackers for name in tracker.models
    )


def _least_recently_used_adapter(
    tracker: engine_tracker.EngineTracker, in_use: set[tuple[str, str, str]]
) -> tuple[str, str] | None:
    """Return the least recently used adapter without running requests."""
    idle_adapters = [
        (tracker.adapter_used_ms.get((model, adapter), 0), model, adapter)
        for model, adapters in tracker.models.items()
        for adapter in adapters
        if (tracker.record.server_id, model, adapter) not in in_use
    ]
    if not idle_adapters:
        return None
    _, model, adapter = min(idle_adapters)
    return model, adapter
