"""Log line with the resident models and the demand of the fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamwall.coordination import demand as demand_module
    from balsamwall.coordination import engine_tracker
    from balsamwall.logs import decision_log

# Number of the most requested models whose rates are logged.
MAX_LOGGED_MODELS = 12


def write(
    log: decision_log.DecisionLog,
    trackers: Iterable[engine_tracker.EngineTracker],
    demand: demand_module.Demand,
) -> None:
    """Write the residents of each engine and the demand.

    Each engine has its number of running requests, its models, the loading
    model after a plus sign, and its number of queued orders. Rates are in
    requests per second.
    """
    loads = demand.loads()
    log.write(
        "residency",
        engines={
            tracker.record.server_id: [
                loads.get(tracker.record.server_id, 0),
                *sorted(tracker.models),
                f"+{tracker.loading_model}" if tracker.loading_model else "",
                len(tracker.queue),
            ]
            for tracker in trackers
        },
        rates={
            model: round(rate, 1)
            for model, rate in demand.top_rates(MAX_LOGGED_MODELS)
        },
        queued=demand.queued(),
        waiting={
            f"{wanted.model}/{wanted.adapter}": count
            for wanted, count in demand.waiting().items()
        },
    )
