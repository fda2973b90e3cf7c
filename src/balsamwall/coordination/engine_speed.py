"""Update the capacity of an engine from its limit and its speed."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.coordination import engine_tracker
    from balsamwall.gateway import server_speed

# Weight of the current value in the moving average of the fraction of its
# slots that an engine can use. With one update per tick of the coordinator
# (100 ms) the average follows a change with a time constant of about 1 s.
AVERAGE_WEIGHT = 0.1


def update(
    tracker: engine_tracker.EngineTracker,
    limit_capacity: float,
    speeds: server_speed.SpeedTable,
    gap_target_ms: int,
    now_ms: int,
) -> None:
    """Set the fraction of its slots that an engine can use, and its speed.

    Load pattern: a model on a slow engine needs another replica at a number
    of requests that a usual engine serves. The fraction is that of the
    resident model that leaves the fewest requests within the pause target.
    Only lasting differences count: a slow period mostly ends before a replica
    is loaded, and the replica would replace a model that is requested rarely.
    """
    speed = speeds.get(tracker.record.server_id)
    if speed is None:
        tracker.sustainable_fraction, tracker.relative_work_time = 1.0, 1.0
    else:
        slots = max(1, tracker.spec.slots)
        count = min(
            speed.sustainable_requests(
                model, slots, gap_target_ms, now_ms, is_lasting=True
            )
            for model in tracker.models or ("",)
        )
        change = count / slots - tracker.sustainable_fraction
        tracker.sustainable_fraction += AVERAGE_WEIGHT * change
        tracker.relative_work_time = speed.relative(now_ms)
    tracker.capacity = limit_capacity * tracker.sustainable_fraction
