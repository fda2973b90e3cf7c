"""Background task that plans placement while it holds the lease."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from balsamwall.placement import fleet_view
from balsamwall.protocol import messages_residency
from balsamwall.residency import residency_manager

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.placement import demand_forecast
    from balsamwall.placement import lease_keeper
    from balsamwall.placement import planner as planner_module
    from balsamwall.protocol import outbox as outbox_module
    from balsamwall.timing import clock as clock_module

# Interval of the regular rounds, which also add replicas.
PLAN_INTERVAL_MS = 5_000
# Names without a replica cannot be served, so they do not wait for the next
# regular round.
MISSING_PLAN_INTERVAL_MS = 1_000
# Names without a replica are planned only after this time with the lease, as
# agents report at least every 5 s.
MISSING_WARM_UP_MS = 6_000
# For this time, until the reports can show its result, a proposed step is
# applied to the view: its name counts as loading, a victim as unloaded.
STEP_RETENTION_MS = 60_000
# Regular rounds begin this long after the lease is acquired. Reports and
# demand are collected first.
WARM_UP_MS = 20_000


class PlacementTask:
    """Send each planned step to its agent, which validates it."""

    __slots__ = (
        "_clock",
        "_demand",
        "_lease",
        "_outbox",
        "_last_plan_ms",
        "_planner",
        "_recent_steps",
        "_step_number",
        "_steps_sent",
        "_timer",
        "_view",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        outbox: outbox_module.Outbox,
        lease: lease_keeper.LeaseKeeper,
        planner: planner_module.Planner,
        view: Callable[[], fleet_view.FleetView],
        demand: demand_forecast.DemandForecast,
    ) -> None:
        self._clock = clock
        self._outbox = outbox
        self._lease = lease
        self._planner = planner
        self._view = view
        self._demand = demand
        self._recent_steps: list[tuple[int, fleet_view.Step]] = []
        self._last_plan_ms = -PLAN_INTERVAL_MS
        self._step_number = 0
        self._steps_sent = 0
        self._timer: clock_module.Timer | None = None

    @property
    def steps_sent(self) -> int:
        """Return the number of steps sent since the process started."""
        return self._steps_sent

    def start(self) -> None:
        """Plan at regular intervals while the lease is held."""
        self._timer = self._clock.call_later(
            MISSING_PLAN_INTERVAL_MS, self._run_round
        )

    def stop(self) -> None:
        """Stop planning."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _run_round(self) -> None:
        self.start()
        since_ms = self._lease.held_since_ms
        now_ms = self._clock.now_ms()
        if since_ms is None:
            self._recent_steps.clear()
            return
        held_ms = now_ms - since_ms
        if held_ms < MISSING_WARM_UP_MS:
            return
        is_regular = (
            held_ms >= WARM_UP_MS
            and now_ms - self._last_plan_ms >= PLAN_INTERVAL_MS
        )
        self._recent_steps = [
            item
            for item in self._recent_steps
            if now_ms - item[0] < STEP_RETENTION_MS
        ]
        view = self._with_recent_steps(self._view())
        if is_regular:
            self._last_plan_ms = now_ms
            steps = self._planner.plan(view, self._demand, now_ms)
        else:
            steps = self._planner.plan_missing(view, self._demand, now_ms)
        for step in steps:
            self._propose(step, now_ms)

    def _propose(self, step: fleet_view.Step, now_ms: int) -> None:
        self._recent_steps.append((now_ms, step))
        self._steps_sent += 1
        self._step_number = (self._step_number + 1) % (
            residency_manager.STEP_IDS_PER_MS
        )
        step_id = (
            self._clock.wall_ms() * residency_manager.STEP_IDS_PER_MS
            + self._step_number
        )
        item = messages_residency.PlacementStep(
            step_id, step.action, step.name, step.other, step.urgency
        )
        self._outbox.send(step.vm, item)

    def _with_recent_steps(
        self, view: fleet_view.FleetView
    ) -> fleet_view.FleetView:
        """Return the view with recent steps applied, not yet in reports."""
        if not self._recent_steps:
            return view
        steps_by_vm: dict[str, list[fleet_view.Step]] = {}
        for _, step in self._recent_steps:
            steps_by_vm.setdefault(step.vm, []).append(step)
        workers = []
        for worker in view.workers:
            steps = steps_by_vm.get(worker.vm)
            if steps is not None:
                added = {step.name for step in steps} - worker.residents
                dropped = {step.other for step in steps}
                configuration = view.configurations.get(worker.tenant)
                if configuration is not None:
                    # The agent unloads the adapters before their base.
                    dropped |= {
                        name
                        for name in worker.residents
                        if configuration.base_of(name) in dropped
                    }
                worker = dataclasses.replace(
                    worker,
                    residents=worker.residents - dropped,
                    loading=worker.loading | added,
                )
            workers.append(worker)
        return fleet_view.FleetView(tuple(workers), view.configurations)
