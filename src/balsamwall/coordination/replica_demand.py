"""Ranking of the models that gain most from one more replica."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.coordination import demand as demand_module
    from balsamwall.coordination import engine_tracker
    from balsamwall.gateway import residency_waits

# Gains are measured in delayed requests that a change avoids.
# Mean time for which the demand for a model lasts. A replica that takes longer
# to load meets less of the demand that it was planned for.
DEMAND_LIFETIME_S = 8.0
# Waiting requests and their waiting time add to the gain, so that rare models
# are not starved. Both are bounded: a backlog must not evict a model that is
# requested more often, as that model would build up a backlog in turn.
MAX_WAITING_REQUESTS_GAIN = 2.0
MAX_WAITING_TIME_GAIN = 2.5
# Models requested less often than this may occupy only a part of the engines
# with loads. The other engines stay free for models whose demand rises.
RARE_RATE_PER_S = 1.5
# Time for which a rare model stays absent after an eviction, or stays after a
# load. Rare models take turns at an engine, so that it is shorter than the
# time for which their demand lasts.
RARE_TURN_S = 3.5
# Utilisation above which a model gets one more replica, and the one at which
# every request is delayed. A queue forms only near full use, so that the
# delayed share grows with a high power of the utilisation.
SCALE_OUT_UTILISATION = 0.65
FULL_DELAY_UTILISATION = 0.95
DELAY_EXPONENT = 6
# Limit of the relative delay, which is 1.0 when every request is delayed.
MAX_RELATIVE_DELAY = 16.0
# A request that a full engine delays is still served, unlike one whose model
# has no replica, so that it counts only in part.
BUSY_DELAY_WEIGHT = 0.6
# A request occupies its slot until it ends, but delays no other request until
# all slots are taken. Slot use therefore weighs less than prefill time.
SLOT_WEIGHT = 0.8


@dataclasses.dataclass(slots=True, frozen=True)
class PlacementNeed:
    """Model or adapter that requests wait for or that has too few replicas."""

    model: str
    gain: float
    adapter: str = ""
    # Version of the engine that must hold it, empty for any.
    software_version: str = ""
    # Existing replicas, and the utilisation of the busiest of their engines.
    replicas: int = 0
    max_utilisation: float = 0.0
    # Utilisation that the new replica adds to its engine.
    added_utilisation: float = 0.0
    # Whether it is needed since engines are slow. It may then go to an engine
    # of any utilisation.
    is_for_slow_engines: bool = False

    def remaining_gain(self, delay_s: float) -> float:
        """Return the gain of a replica that is usable after a delay."""
        return self.gain * math.exp(-delay_s / DEMAND_LIFETIME_S)


class ReplicaDemand:
    """Rank first and additional replicas in a single order.

    Many rare models may have no replica while requests for busy models queue
    at full engines. An idle engine goes to the model with the greater gain.
    Where engines become slow for a while, a model with a single replica is
    late whenever its engine is slow, however little it is used.
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
            self._first_replica(
                wanted,
                max(count, waiting.get(wanted.at_any_version, 0)),
                trackers_by_model,
            )
            for wanted, count in waiting.items()
        ]
        found += self._additional_replicas(trackers, trackers_by_model)
        # A replica at a version that streams need serves the others too.
        return sorted(
            found,
            key=lambda need: (need.gain, bool(need.software_version)),
            reverse=True,
        )

    def is_rare(self, model: str) -> bool:
        """Return whether a model is requested less than RARE_RATE_PER_S."""
        return self._demand.rate(model) < RARE_RATE_PER_S

    def _first_replica(
        self,
        wanted: residency_waits.WantedModel,
        count: int,
        trackers_by_model: dict[str, list[engine_tracker.EngineTracker]],
    ) -> PlacementNeed:
        holders = trackers_by_model.get(wanted.model, [])
        usable = [
            tracker
            for tracker in holders
            if wanted.allows(tracker.record.software_version)
        ]
        gain = min(MAX_WAITING_REQUESTS_GAIN, float(max(1, count)))
        if not wanted.software_version or not holders:
            # Some requests wait already, so that the model is not idle now.
            gain += self._demand.rate(wanted.model) * DEMAND_LIFETIME_S
        waited_ms = max(
            self._demand.waited_ms(wanted),
            self._demand.waited_ms(wanted.at_any_version),
        )
        gain += min(MAX_WAITING_TIME_GAIN, waited_ms / 1_000)
        return PlacementNeed(
            wanted.model,
            gain,
            wanted.adapter,
            wanted.software_version,
            len(usable),
        )

    def _additional_replicas(
        self,
        trackers: list[engine_tracker.EngineTracker],
        trackers_by_model: dict[str, list[engine_tracker.EngineTracker]],
    ) -> list[PlacementNeed]:
        utilisation = self._engine_utilisation(trackers, trackers_by_model)
        slow_share = _slow_share(trackers)
        found = []
        for model, model_trackers in trackers_by_model.items():
            count = len(model_trackers)
            used = [
                utilisation[tracker.record.server_id]
                for tracker in model_trackers
            ]
            capacity = _capacity(model_trackers)
            saved_per_s = self._avoided_late_per_s(
                model, model_trackers, slow_share
            )
            is_for_slow_engines = saved_per_s > 0
            if sum(used) / count >= SCALE_OUT_UTILISATION:
                saved_per_s += self._delay_change(
                    model, model_trackers, utilisation, capacity + 1
                )
            if not saved_per_s:
                continue
            added = self._required_engines(model, model_trackers[0])
            found.append(
                PlacementNeed(
                    model,
                    saved_per_s * DEMAND_LIFETIME_S,
                    replicas=count,
                    max_utilisation=max(used),
                    added_utilisation=added / (capacity + 1),
                    is_for_slow_engines=is_for_slow_engines,
                )
            )
        return found

    def _avoided_late_per_s(
        self,
        model: str,
        trackers: list[engine_tracker.EngineTracker],
        slow_share: float,
    ) -> float:
        """Return the late requests a second that a further replica avoids.

        All requests are late while all replicas are at slow engines. Any
        engine may become slow, so that a single replica is late for the share
        of the engines that are slow.
        """
        if all(tracker.is_slow for tracker in trackers):
            return self._demand.rate(model)
        if len(trackers) == 1:
            return self._demand.rate(model) * slow_share
        return 0.0

    def eviction_losses(
        self, trackers: list[engine_tracker.EngineTracker]
    ) -> dict[tuple[str, str], float]:
        """Return the gain that is lost with a replica, by server and model.

        Without its last replica, all requests for a model are delayed.
        """
        trackers_by_model = _trackers_by_model(trackers)
        utilisation = self._engine_utilisation(trackers, trackers_by_model)
        slow_share = _slow_share(trackers)
        losses = {}
        for model, model_trackers in trackers_by_model.items():
            saved_per_s = self._avoided_late_per_s(
                model, model_trackers, slow_share
            )
            capacity = _capacity(model_trackers)
            for tracker in model_trackers:
                others = [item for item in model_trackers if item != tracker]
                if others:
                    lost_per_s = self._delay_change(
                        model,
                        model_trackers,
                        utilisation,
                        capacity - tracker.capacity,
                    )
                    lost_per_s += self._avoided_late_per_s(
                        model, others, slow_share
                    )
                    loss = (lost_per_s - saved_per_s) * DEMAND_LIFETIME_S
                else:
                    loss = self._absence_loss(model)
                losses[tracker.record.server_id, model] = loss
        return losses

    def _absence_loss(self, model: str) -> float:
        """Return the requests that are delayed while a model is absent."""
        absent_s = RARE_TURN_S if self.is_rare(model) else DEMAND_LIFETIME_S
        return self._demand.rate(model) * absent_s

    def _delay_change(
        self,
        model: str,
        model_trackers: list[engine_tracker.EngineTracker],
        utilisation: dict[str, float],
        new_capacity: float,
    ) -> float:
        """Return by how many delayed requests a second the capacities differ.

        A capacity is the number of engines without a limit that the replicas
        are worth.
        """
        count = len(model_trackers)
        capacity = _capacity(model_trackers)
        work = self._required_engines(model, model_trackers[0])
        used = sum(
            utilisation[tracker.record.server_id] for tracker in model_trackers
        )
        before = used / count
        after = before - work / capacity + work / new_capacity
        change = abs(_relative_delay(after) - _relative_delay(before))
        # No more requests can be delayed than arrive.
        return self._demand.rate(model) * min(1.0, change) * BUSY_DELAY_WEIGHT

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
            share = self._required_engines(model, model_trackers[0])
            share /= _capacity(model_trackers)
            for tracker in model_trackers:
                utilisation[tracker.record.server_id] += share
        return utilisation


def _relative_delay(utilisation: float) -> float:
    """Return the delay at a utilisation, 1.0 when every request is delayed.

    It grows beyond 1.0, up to MAX_RELATIVE_DELAY, as a replica saves more
    when the backlog is larger.
    """
    return min(
        MAX_RELATIVE_DELAY,
        (utilisation / FULL_DELAY_UTILISATION) ** DELAY_EXPONENT,
    )


def _capacity(trackers: list[engine_tracker.EngineTracker]) -> float:
    """Return how many engines without a limit some engines are worth."""
    return sum(tracker.capacity for tracker in trackers)


def _slow_share(trackers: list[engine_tracker.EngineTracker]) -> float:
    """Return the share of the engines that are slow now."""
    slow = sum(1 for tracker in trackers if tracker.is_slow)
    return slow / max(1, len(trackers))


def _trackers_by_model(
    trackers: list[engine_tracker.EngineTracker],
) -> dict[str, list[engine_tracker.EngineTracker]]:
    found: dict[str, list[engine_tracker.EngineTracker]] = {}
    for tracker in trackers:
        for model in tracker.expected_models():
            found.setdefault(model, []).append(tracker)
    return found
