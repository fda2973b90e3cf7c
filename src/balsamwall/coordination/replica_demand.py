"""Decision which models gain most by one more copy."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.coordination import demand as demand_module
    from balsamwall.coordination import engine_tracker
    from balsamwall.gateway import residency_waits

# Gains are in requests that are delayed.
# Time for which a change is weighed; busy models change within seconds.
HORIZON_S = 4.0
# A backlog that grows lasts until the demand moves on, so that one more copy
# is weighed over a longer time. An engine that is only busy may be idle before
# the copy is there.
BACKLOG_HORIZON_S = 8.0
# Waiting requests and the time that they have waited add to a gain, so that
# rare models get their turn. Both are bounded: a backlog must not push out a
# model that is asked for more often, whose own backlog would follow.
MAX_WAITING_GAIN = 2.0
MAX_WAITED_GAIN_S = 2.5
# Models that are asked for less than this use a part of the engines' time for
# changes only; the rest is left for models whose demand rises.
RARE_RATE_PER_S = 1.5
# Utilisation above which a model gets one more copy, and the one at which
# every request is delayed. Arrivals come in groups, so that the delayed share
# grows with the square of the utilisation.
SCALE_OUT_UTILISATION = 0.75
FULL_DELAY_UTILISATION = 0.8
# Utilisation above which more requests come than an engine can answer.
BACKLOG_UTILISATION = 1.4
# A model that nobody has asked for in this time is not missed at once.
RECENT_REQUEST_MS = 5_000
MAX_RELATIVE_DELAY = 16.0
# A request that a full engine delays is still served, unlike one whose model
# has no copy, so that it counts as a part of one.
SCALE_OUT_WEIGHT = 0.6
# Slots are taken for the whole time of a request and delay nobody until all
# are taken, so that their share counts less than that of the prompts.
SLOT_WEIGHT = 0.8


@dataclasses.dataclass(slots=True, frozen=True)
class PlacementNeed:
    """Model or adapter that requests wait for, or that has too few copies."""

    model: str
    gain: float
    adapter: str = ""
    # Copies that there are, with the utilisation of the busiest of them.
    replicas: int = 0
    max_utilisation: float = 0.0
    # Work that one more copy takes over, as a share of an engine.
    added_utilisation: float = 0.0
    # Part of the gain that is lost in each second until the copy is there.
    gain_loss_per_s: float = 0.0
    # Models that do not make way for it.
    protected_models: frozenset[str] = frozenset()


class ReplicaDemand:
    """Ranks first copies and further copies in one order.

    Load pattern: many rare models without a copy while busy models queue at
    full engines. An idle engine goes to whichever gains more.
    """

    __slots__ = ("_demand",)

    def __init__(self, demand: demand_module.Demand) -> None:
        self._demand = demand

    def needs(
        self,
        trackers: list[engine_tracker.EngineTracker],
        waiting: dict[residency_waits.Wanted, int],
    ) -> list[PlacementNeed]:
        """Return what the engines of a service lack, the greatest first."""
        trackers_by_model = _trackers_by_model(trackers)
        found = [
            self._first_replica(wanted, count, trackers_by_model)
            for wanted, count in waiting.items()
        ]
        found += self._additional_replicas(trackers, trackers_by_model)
        return sorted(found, key=lambda need: need.gain, reverse=True)

    def is_rare(self, model: str) -> bool:
        """Tell whether a model is asked for rarely."""
        return self._demand.rate(model) < RARE_RATE_PER_S

    def _first_replica(
        self,
        wanted: residency_waits.Wanted,
        count: int,
        trackers_by_model: dict[str, list[engine_tracker.EngineTracker]],
    ) -> PlacementNeed:
        gain = min(MAX_WAITING_GAIN, float(max(1, count)))
        gain += self._demand.rate(wanted.model) * HORIZON_S
        waited_s = self._demand.waited_ms(wanted) / 1_000
        gain += min(MAX_WAITED_GAIN_S, waited_s)
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
        """Return the models whose only copy does not make way.

        A request at a full engine is late, one without a copy is lost. Only a
        backlog that grows is worth the copy of a model that is asked for
        rarely.
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
        """Return the requests per second that one more copy helps."""
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
        # No more requests are saved than there are.
        saved = min(1.0, saved)
        return self._demand.rate(model) * saved * SCALE_OUT_WEIGHT

    def _required_engines(
        self, model: str, tracker: engine_tracker.EngineTracker
    ) -> float:
        """Return the engines that a model keeps busy.

        Either the time for prompts or the slots bind first.
        """
        slots = max(1, tracker.spec.slots)
        by_slots = self._demand.open_requests(model) / slots
        return max(
            self._demand.prefill_utilisation(model), SLOT_WEIGHT * by_slots
        )

    def utilisation(
        self, trackers: list[engine_tracker.EngineTracker]
    ) -> dict[str, float]:
        """Return the share of time in which each engine reads prompts."""
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
    """Return the delay of a request, 1.0 at full delay.

    Beyond it a backlog grows, so that relief counts there as well.
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
