"""Forecast of when loading and queued models become usable."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.coordination import engine_control

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamwall.coordination import engine_tracker

# An unload waits for running requests; most end within this time.
UNLOAD_ESTIMATE_MS = 800


def expected_loads(
    trackers: Iterable[engine_tracker.EngineTracker], now_ms: int
) -> dict[str, int]:
    """Return the time in ms until each loading or queued model is resident.

    For a model on several engines it is the shortest of the times.
    """
    found: dict[str, int] = {}
    for tracker in trackers:
        for model, due_ms in _engine_loads(tracker, now_ms):
            found[model] = min(due_ms, found.get(model, due_ms))
    return found


def _engine_loads(
    tracker: engine_tracker.EngineTracker, now_ms: int
) -> list[tuple[str, int]]:
    found = []
    due_ms = 0
    if tracker.loading_model:
        due_ms = max(0, tracker.load_due_ms - now_ms)
        found.append((tracker.loading_model, due_ms))
    for order in tracker.queue:
        if order.adapter:
            continue
        if order.kind is engine_control.OrderKind.UNLOAD:
            due_ms += UNLOAD_ESTIMATE_MS
        else:
            due_ms += tracker.load_ms(order.model)
            found.append((order.model, due_ms))
    return found
