"""Planning of the models and adapters that each engine loads."""

from __future__ import annotations

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
# Cost of a load from the weight store, which uses one of its permits, and of
# one from the VM's disk. The load time is charged separately.
STORE_LOAD_COST = 1.2
DISK_LOAD_COST = 0.1
# Cost and expected time in seconds of an unload that waits for running
# requests. Meanwhile its memory is unused, and its engine serves one model
# less and takes no other order.
RUNNING_COST = 20.0
UNLOAD_WAIT_S = 2.5
# Cost of a load on an engine whose slots are all used; it is proportional to
# the fraction of used slots.
BUSY_COST = 0.3
# Preference for a fast engine: cost of one that takes twice the usual time,
# for a model that is requested at POPULAR_RATE_PER_S or more often. It decides
# between engines and does not prevent a load.
SLOW_ENGINE_COST = 1.0
POPULAR_RATE_PER_S = 4.0
# Fraction of the engines that loads of rare models may occupy.
RARE_ENGINE_FRACTION = 0.45
# A model stays for this time after a load, to serve the requests that wait.
MIN_RESIDENCE_MS = 800


@dataclasses.dataclass(slots=True, frozen=True)
class Plan:
    """Orders for one engine, to be executed in sequence."""

    tracker: engine_tracker.EngineTracker
    orders: tuple[engine_control.Order, ...]
    cost: float = 0.0
    gain: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class _Candidate:
    """Engine that may load a model, with the models to evict for it."""

    cost: float
    tracker: engine_tracker.EngineTracker
    victims: list[str]
    rank: float  # cost with the preference for fast engines


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

    def eviction_losses(
        self, trackers: list[engine_tracker.EngineTracker]
    ) -> dict[tuple[str, str], float]:
        """Return the gain that is lost with a replica, by server and model."""
        return self._replica_demand.eviction_losses(trackers)

    def plan(
        self,
        need: replica_demand.PlacementNeed,
        trackers: list[engine_tracker.EngineTracker],
        now_ms: int,
    ) -> Plan | None:
        """Plan the change that meets a need; None if no change pays off."""
        if need.software_version:
            return self._plan_at_version(need, trackers, now_ms)
        if need.adapter and need.replicas:
            return self._plan_adapter(trackers, need.model, need.adapter)
        if need.replicas:
            return self._plan_additional_replica(need, trackers, now_ms)
        return self._plan_first_replica(need, trackers, trackers, now_ms)

    def _plan_at_version(
        self,
        need: replica_demand.PlacementNeed,
        trackers: list[engine_tracker.EngineTracker],
        now_ms: int,
    ) -> Plan | None:
        """Plan a model or adapter that streams of a version wait for."""
        candidates = [
            tracker
            for tracker in trackers
            if tracker.record.software_version == need.software_version
        ]
        if not need.replicas:
            return self._plan_first_replica(need, candidates, trackers, now_ms)
        if need.adapter:
            return self._plan_adapter(candidates, need.model, need.adapter)
        return None

    def _plan_first_replica(
        self,
        need: replica_demand.PlacementNeed,
        candidates: list[engine_tracker.EngineTracker],
        trackers: list[engine_tracker.EngineTracker],
        now_ms: int,
    ) -> Plan | None:
        """Plan the first replica of a model that requests wait for."""
        if any(tracker.will_hold(need.model) for tracker in candidates):
            return None
        busy_count = sum(1 for tracker in trackers if not tracker.is_idle)
        is_rare = self._replica_demand.is_rare(need.model)
        if is_rare and busy_count >= max(
            1, RARE_ENGINE_FRACTION * len(trackers)
        ):
            return None
        unlimited = [item for item in candidates if not item.is_limited]
        return self._cheapest_plan(
            unlimited or candidates, trackers, need, now_ms
        )

    def _plan_additional_replica(
        self,
        need: replica_demand.PlacementNeed,
        trackers: list[engine_tracker.EngineTracker],
        now_ms: int,
    ) -> Plan | None:
        """Plan a replica on an engine that stays below the busiest one.

        An engine with a limit has no room for further demand.
        """
        used = self._replica_demand.utilisation(trackers)
        free = [
            tracker
            for tracker in trackers
            if not tracker.will_hold(need.model)
            and not tracker.is_limited
            and not tracker.is_slow
            and (
                need.is_for_slow_engines
                or used[tracker.record.server_id] + need.added_utilisation
                < need.max_utilisation
            )
        ]
        return self._cheapest_plan(free, trackers, need, now_ms)

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
        """Return the cheapest plan, or None if it costs more than it gains."""
        best: _Candidate | None = None
        model = need.model
        loads = self._slot_use(candidates)
        losses = self.eviction_losses(trackers)
        for tracker in candidates:
            if not tracker.is_idle or tracker.will_hold(model):
                continue
            eviction = self._victims(tracker, model, now_ms, losses)
            if eviction is None:
                continue
            cost, victims = eviction
            delay_s = self._load_delay_s(tracker, model, victims)
            is_local = model in tracker.local_models
            cost += DISK_LOAD_COST if is_local else STORE_LOAD_COST
            cost += BUSY_COST * loads[tracker.record.server_id]
            cost += need.gain - need.remaining_gain(delay_s)
            if cost > need.gain:
                continue
            rank = cost + self._speed_cost(tracker, model)
            if best is None or rank < best.rank:
                best = _Candidate(cost, tracker, victims, rank)
        if best is None:
            return None
        orders = [
            engine_control.Order(_Kind.UNLOAD, victim)
            for victim in best.victims
        ]
        orders.append(engine_control.Order(_Kind.LOAD, model))
        return Plan(best.tracker, tuple(orders), best.cost, need.gain)

    def _speed_cost(
        self, tracker: engine_tracker.EngineTracker, model: str
    ) -> float:
        """Return the cost of a slow engine, negative for a fast one."""
        popularity = min(1.0, self._demand.rate(model) / POPULAR_RATE_PER_S)
        return (
            SLOW_ENGINE_COST * (tracker.relative_work_time - 1.0) * popularity
        )

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
        losses: dict[tuple[str, str], float],
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
            (self._eviction_cost(tracker, name, losses, running), name)
            for name in tracker.models
            if now_ms - tracker.resident_since_ms.get(name, 0)
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
        losses: dict[tuple[str, str], float],
        running: dict[tuple[str, str], int],
    ) -> float:
        cost = losses.get((tracker.record.server_id, model), 0.0)
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
