"""Ranking of the models that gain most from one more replica."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.coordination import demand as demand_module
    from balsamwall.coordination import engine_tracker
    from balsamwall.gateway import residency_waits

# Gains are measured in delayed requests that a change avoids.
# Time over which a change is valued. Demand for busy models shifts within
# seconds.
HORIZON_S = 4.0
# A growing backlog lasts until the demand shifts, so that a replica against it
# is valued over a longer time. An engine that is merely busy may be idle again
# before the replica has loaded.
BACKLOG_HORIZON_S = 8.0
# Waiting requests and their waiting time add to the gain, so that rare models
# are not starved. Both are bounded: a backlog must not evict a model that is
# requested more often, as that model would build up a backlog in turn.
MAX_WAITING_REQUESTS_GAIN = 2.0
MAX_WAITING_TIME_GAIN = 2.5
# Models requested less often than this may occupy only a part of the engines
# with loads. The other engines stay free for models whose demand rises.
RARE_RATE_PER_S = 1.5
# Utilisation above which a model gets one more replica, and the one at which
# every request is delayed. Arrivals are bursty, so that the delayed share
# grows with the square of the utilisation.
SCALE_OUT_UTILISATION = 0.75
FULL_DELAY_UTILISATION = 0.8
# Utilisation above which requests arrive faster than an engine serves them.
BACKLOG_UTILISATION = 1.4
# A model without a request for this time is unlikely to get one soon.
RECENT_REQUEST_MS = 5_000
# Limit of the relative delay, which is 1.0 when every request is delayed.
MAX_RELATIVE_DELAY = 16.0
# A request that a full engine delays is still served, unlike one whose model
# has no replica, so that it counts only in part.
SCALE_OUT_WEIGHT = 0.6
# A request occupies its slot until it ends, but delays no other request until
# all slots are taken. Slot use therefore weighs less than prefill time.
SLOT_WEIGHT = 0.8


@dataclasses.dataclass(slots=True, frozen=True)
class PlacementNeed:
    """Model or adapter that requests wait for or that has too few replicas."""

    model: str
    gain: float
    adapter: str = ""
    # Existing replicas, and the utilisation of the busiest of their engines.
    replicas: int = 0
    max_utilisation: float = 0.0
    # Utilisation that the new replica adds to its engine.
    added_utilisation: float = 0.0
    # Gain that is lost for each second until the replica is loaded.
    gain_loss_per_s: float = 0.0
    # Models that must not be evicted for it.
    protected_models: frozenset[str] = frozenset()


class ReplicaDemand:
    """Rank first and additional replicas in a single order.

    Many rare models may have no replica while requests for busy models queue
    at full engines. An idle engine goes to the model with the greater gain.
    """

    __slots__ = ("_demand",)

    def __init__(self, demand: demand_module.Demand) -> None:
        self._demand = demand

    def needs(
        self,
        trackers: list[engine_tracker.EngineTracker],
        waiting: dict[residency_waits.WantedModel, int],
    ) -> list[PlacementNeed]:
        """Return the placement needs of a service, greatest gain first."""
        trackers_by_model = _trackers_by_model(trackers)
        found = [
            self._first_replica(wanted, count, trackers_by_model)
            for wanted, count in waiting.items()
        ]
        found += self._additional_replicas(trackers, trackers_by_model)
        return sorted(found, key=lambda need: need.gain, reverse=True)

    def is_rare(self, model: str) -> bool:
        """Return whether a model is requested less than RARE_RATE_PER_S."""
        return self._demand.rate(model) < RARE_RATE_PER_S

    def _first_replica(
        self,
        wanted: residency_waits.WantedModel,
        count: int,
        trackers_by_model: dict[str, list[engine_tracker.EngineTracker]],
    ) -> PlacementNeed:
        gain = min(MAX_WAITING_REQUESTS_GAIN, float(max(1, count)))
        gain += self._demand.rate(wanted.model) * HORIZON_S
        waited_s = self._demand.waited_ms(wanted) / 1_000
        gain += min(MAX_WAITING_TIME_GAIN, waited_s)
        replicas = len(trackers_by_model.get(wanted.model, ()))
        return PlacementNeed(wanted.model, gain, wanted.adapter, replicas)

    def _additional_replicas(
        self,
        trackers: list[engine_tracker.EngineTracker],
        trackers_by_model: dict[str, list[engine_tracker.EngineTracker]],
    ) -> list[PlacementNeed]:
        utilisation = self._engine_utilisation(trackers, trackers_by_model)
        saved = {
            model: self._scale_out_relief(model, model_trackers, utilisation)
            for model, model_trackers in trackers_by_model.items()
        }
        overloaded = [model for model in trackers_by_model if saved[model] > 0]
        if not overloaded:
            return []
        protected_models = {
            is_backlog: self._protected_from_scale_out(
                trackers_by_model, is_backlog
            )
            for is_backlog in (False, True)
        }
        found = []
        for model in overloaded:
            model_trackers, saved_per_s = (
                trackers_by_model[model],
                saved[model],
            )
            highest = max(
                utilisation[tracker.record.server_id]
                for tracker in model_trackers
            )
            is_backlog = highest >= BACKLOG_UTILISATION
            horizon_s = BACKLOG_HORIZON_S if is_backlog else HORIZON_S
            found.append(
                PlacementNeed(
                    model,
                    saved_per_s * horizon_s,
                    replicas=len(model_trackers),
                    max_utilisation=highest,
                    added_utilisation=self._required_engines(
                        model, model_trackers[0]
                    )
                    / (len(model_trackers) + 1),
                    gain_loss_per_s=(
                        saved_per_s if is_backlog else self._demand.rate(model)
                    ),
                    protected_models=protected_models[is_backlog],
                )
            )
        return found

    def _protected_from_scale_out(
        self,
        trackers_by_model: dict[str, list[engine_tracker.EngineTracker]],
        is_backlog: bool,
    ) -> frozenset[str]:
        """Return the models whose only replica must not be evicted.

        A request at a full engine is late, but one without a replica is lost.
        Only a growing backlog justifies evicting the last replica of a rarely
        requested model.
        """
        protected_models = set()
        for name, model_trackers in trackers_by_model.items():
            if len(model_trackers) > 1:
                continue
            is_recently_requested = (
                self._demand.idle_ms(name) < RECENT_REQUEST_MS
            )
            if not self.is_rare(name) or (
                is_recently_requested and not is_backlog
            ):
                protected_models.add(name)
        return frozenset(protected_models)

    def _scale_out_relief(
        self,
        model: str,
        model_trackers: list[engine_tracker.EngineTracker],
        utilisation: dict[str, float],
    ) -> float:
        """Return the delayed requests per second that a replica avoids."""
        count = len(model_trackers)
        work = self._required_engines(model, model_trackers[0])
        relief = work / count - work / (count + 1)
        before = (
            sum(
                utilisation[tracker.record.server_id]
                for tracker in model_trackers
            )
            / count
        )
        if before < SCALE_OUT_UTILISATION:
            return 0.0
        saved = _relative_delay(before) - _relative_delay(before - relief)
        # The relief can't exceed the requests that arrive.
        saved = min(1.0, saved)
        return self._demand.rate(model) * saved * SCALE_OUT_WEIGHT

    def _required_engines(
        self, model: str, tracker: engine_tracker.EngineTracker
    ) -> float:
        """Return the number of engines that a model keeps busy.

        The scarcer resource counts, either prefill time or slots.
        """
        slots = max(1, tracker.spec.slots)
        by_slots = self._demand.open_requests(model) / slots
        return max(
            self._demand.prefill_utilisation(model), SLOT_WEIGHT * by_slots
        )

    def utilisation(
        self, trackers: list[engine_tracker.EngineTracker]
    ) -> dict[str, float]:
        """Return the utilisation of each engine by server, 1.0 when full."""
        return self._engine_utilisation(trackers, _trackers_by_model(trackers))

    def _engine_utilisation(
        self,
        trackers: list[engine_tracker.EngineTracker],
        trackers_by_model: dict[str, list[engine_tracker.EngineTracker]],
    ) -> dict[str, float]:
        utilisation = {tracker.record.server_id: 0.0 for tracker in trackers}
        for model, model_trackers in trackers_by_model.items():
            share = self._required_engines(model, model_trackers[0]) / len(
                model_trackers
            )
            for tracker in model_trackers:
                utilisation[tracker.record.server_id] += share
        return utilisation


def _relative_delay(utilisation: float) -> float:
    """Return the delay at a utilisation, 1.0 when every request is delayed.

    It grows beyond 1.0, up to MAX_RELATIVE_DELAY, as a replica saves more
    when the backlog is larger.
    """
    return min(MAX_RELATIVE_DELAY, (utilisation / FULL_DELAY_UTILISATION) ** 2)


def _trackers_by_model(
    trackers: list[engine_tracker.EngineTracker],
) -> dict[str, list[engine_tracker.EngineTracker]]:
    found: dict[str, list[engine_tracker.EngineTracker]] = {}
    for tracker in trackers:
        for model in tracker.expected_models():
            found.setdefault(model, []).append(tracker)
    return found
