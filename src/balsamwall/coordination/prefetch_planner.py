"""Planning of loads that copy weights to more VMs before requests arrive."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from balsamwall.coordination import engine_control
from balsamwall.coordination import residency_planner

if TYPE_CHECKING:
    from balsamwall.coordination import demand as demand_module
    from balsamwall.coordination import engine_tracker

_Kind = engine_control.OrderKind
# Number of VMs that should have the weights of each model.
PREFETCH_REPLICAS = 2
# Prefetches start only for this time after the first engine was found.
# Requests may arrive soon after a start, and a slow load would then occupy its
# engine.
START_PERIOD_MS = 6_000
# Prefetches that fell due within this time, about the interval of planning,
# start together.
MAX_CATCH_UP_MS = 150


class PrefetchPlanner:
    """Plan one prefetch at a time while no request has arrived.

    Load pattern: a fleet has just started, and most models are on one VM or
    on none. A load from a VM's own disk takes a quarter of the time of one
    from the weight store and needs no permit. A prefetch occupies its engine
    for the whole load, so that none is planned once requests arrive.
    """

    __slots__ = ("_demand", "_next_ms", "_start_ms")

    def __init__(self, demand: demand_module.Demand) -> None:
        self._demand = demand
        # By service: when prefetches began to be planned, and when the weight
        # store allows the next one.
        self._start_ms: dict[str, int] = {}
        self._next_ms: dict[str, float] = {}

    def is_due(self, service: str, loads_per_s: float, now_ms: int) -> bool:
        """Return whether a prefetch is due, and count it if it is.

        Prefetches start at the rate that the weight store allows.
        """
        due_ms = self._next_ms.get(service, 0.0)
        start_ms = self._start_ms.setdefault(service, now_ms)
        is_period_over = now_ms - start_ms >= START_PERIOD_MS
        if is_period_over or now_ms < due_ms or loads_per_s <= 0:
            return False
        earliest_ms = now_ms - MAX_CATCH_UP_MS
        self._next_ms[service] = max(due_ms, earliest_ms) + 1_000 / loads_per_s
        return True

    def plan(
        self, trackers: list[engine_tracker.EngineTracker]
    ) -> residency_planner.Plan | None:
        """Plan the load of a model that too few VMs have; None if none is due.

        The engine then loads the models again that made way, as they were
        chosen for the expected demand.
        """
        if not trackers or self._demand.has_arrivals:
            return None
        local = collections.Counter(
            name
            for tracker in trackers
            for name in tracker.local_models | tracker.expected_models()
        )
        models = sorted(trackers[0].spec.models, key=local.__getitem__)
        for model in models:
            if local[model] >= PREFETCH_REPLICAS:
                return None
            for tracker in trackers:
                if not tracker.is_idle or model in tracker.local_models:
                    continue
                plan = _plan_load(tracker, model)
                if plan is not None:
                    return plan
        return None


def _plan_load(
    tracker: engine_tracker.EngineTracker, model: str
) -> residency_planner.Plan | None:
    """Plan a load and the return of the models that make way for it."""
    missing_mb = tracker.spec.models[model].weights_mb - tracker.free_mb()
    victims = []
    for name in sorted(tracker.models):
        if missing_mb <= 0:
            break
        missing_mb -= tracker.freed_mb(name)
        victims.append(name)
    if missing_mb > 0:
        return None
    orders = [engine_control.Order(_Kind.UNLOAD, name) for name in victims]
    orders.append(engine_control.Order(_Kind.LOAD, model))
    if victims:
        orders.append(engine_control.Order(_Kind.UNLOAD, model))
    orders += [engine_control.Order(_Kind.LOAD, name) for name in victims]
    return residency_planner.Plan(tracker, tuple(orders))
