"""Choice of the agent that is asked to load an unreachable name."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.membership import rendezvous

if TYPE_CHECKING:
    from collections.abc import Sequence

    from balsamwall.configuration import tenant_configuration
    from balsamwall.placement import fleet_view

# The next agent is asked if nobody has begun to load within this time.
NEXT_TARGET_MS = 5_000
# Requests for an unreachable name ask again every second; after a longer
# silence the name was reachable in between.
ROW_ENDS_MS = 10_000


class EnsureChoice:
    """Choose by rendezvous hashing, engines with room for the name first.

    All entries have nearly the same view, so they choose the same agent
    without coordination. An agent that can't make room refuses in silence,
    so the choice moves on when no load begins.
    """

    __slots__ = ("_rows",)

    def __init__(self) -> None:
        # First and last time of an uninterrupted row of requests by name.
        self._rows: dict[str, tuple[int, int]] = {}

    def choose(
        self,
        name: str,
        workers: Sequence[fleet_view.WorkerView],
        configuration: tenant_configuration.TenantConfiguration | None,
        now_ms: int,
    ) -> str | None:
        """Return the agent to ask now, None without an engine."""
        first_ms, last_ms = self._rows.get(name, (now_ms, now_ms))
        if now_ms - last_ms > ROW_ENDS_MS:
            first_ms = now_ms
        self._rows[name] = (first_ms, now_ms)
        able = [worker for worker in workers if not worker.is_leaving]
        for worker in able:
            if name in worker.loading:
                return worker.vm
        roomy = [w.vm for w in able if _has_room(name, w, configuration)]
        others = [worker.vm for worker in able if worker.vm not in roomy]
        ranking = rendezvous.top_members(name, roomy, len(roomy))
        ranking += rendezvous.top_members(name, others, len(others))
        if not ranking:
            return None
        return ranking[(now_ms - first_ms) // NEXT_TARGET_MS % len(ranking)]


def _has_room(
    name: str,
    worker: fleet_view.WorkerView,
    configuration: tenant_configuration.TenantConfiguration | None,
) -> bool:
    if configuration is None:
        return True
    held = worker.residents | worker.loading
    wanted = held | {name, configuration.base_of(name)}
    models, adapters = configuration.models, configuration.adapters
    used_bytes = 0
    for item in wanted:
        if item in models:
            used_bytes += models[item].weight_bytes
        elif item in adapters:
            used_bytes += adapters[item].weight_bytes
    return used_bytes <= worker.weight_limit_bytes
