"""Choice of the agent that is asked to load a name without a replica."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.membership import rendezvous

if TYPE_CHECKING:
    from collections.abc import Sequence

    from balsamwall.configuration import tenant_configuration
    from balsamwall.placement import fleet_view

# The next agent is asked if no load has started within this time.
LOAD_START_TIMEOUT_MS = 5_000
# While a name has no replica, a choice is made about every second as requests
# arrive. A longer gap means that the name had a replica in between, so the
# next choice begins a new series.
SERIES_GAP_MS = 10_000


class EnsureChoice:
    """Selection by rendezvous hashing, agents with free memory first.

    All entries have nearly the same view, so they select the same agent
    without coordination. An agent that can't free enough memory does not
    reply, so the next one is selected when no load starts.
    """

    __slots__ = ("_series",)

    def __init__(self) -> None:
        # Times of the first and last choice of the current series by name, in
        # clock milliseconds.
        self._series: dict[str, tuple[int, int]] = {}

    def choose(
        self,
        name: str,
        workers: Sequence[fleet_view.WorkerView],
        configuration: tenant_configuration.TenantConfiguration | None,
        now_ms: int,
    ) -> str | None:
        """Return the VM of the agent to ask now.

        An agent that is already loading the name comes first. The result is
        None if every agent is leaving or there is none.
        """
        first_ms, last_ms = self._series.get(name, (now_ms, now_ms))
        if now_ms - last_ms > SERIES_GAP_MS:
            first_ms = now_ms
        self._series[name] = (first_ms, now_ms)
        eligible = [worker for worker in workers if not worker.is_leaving]
        for worker in eligible:
            if name in worker.loading:
                return worker.vm
        fitting = [w.vm for w in eligible if _has_room(name, w, configuration)]
        others = [worker.vm for worker in eligible if worker.vm not in fitting]
        ranked = rendezvous.top_members(name, fitting, len(fitting))
        ranked += rendezvous.top_members(name, others, len(others))
        if not ranked:
            return None
        return ranked[
            (now_ms - first_ms) // LOAD_START_TIMEOUT_MS % len(ranked)
        ]


def _has_room(
    name: str,
    worker: fleet_view.WorkerView,
    configuration: tenant_configuration.TenantConfiguration | None,
) -> bool:
    if configuration is None:
        return True
    present = worker.residents | worker.loading
    required = present | {name, configuration.base_of(name)}
    models, adapters = configuration.models, configuration.adapters
    used_bytes = 0
    for item in required:
        if item in models:
            used_bytes += models[item].weight_bytes
        elif item in adapters:
            used_bytes += adapters[item].weight_bytes
    return used_bytes <= worker.weight_limit_bytes
