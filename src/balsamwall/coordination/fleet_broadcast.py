"""Broadcast the state of the fleet from the coordinator to the entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.coordination import held_configuration
from balsamwall.coordination import limit_rows
from balsamwall.coordination import load_forecast
from balsamwall.coordination import messages_fleet

if TYPE_CHECKING:
    from balsamwall.coordination import crash_control
    from balsamwall.coordination import demand as demand_module
    from balsamwall.coordination import engine_table
    from balsamwall.coordination import entry_reports
    from balsamwall.coordination import fleet_links
    from balsamwall.coordination import standby_choice
    from balsamwall.gateway import configuration_holder
    from balsamwall.gateway import server_limits
    from balsamwall.timing import clock as clock_module

# Interval of the FleetState messages to the entries.
STATE_INTERVAL_MS = 250


class FleetBroadcast:
    """Send loads, queues, speeds, limits and use to the entries.

    The standby also gets the levels of quotas.
    """

    __slots__ = (
        "_clock",
        "_configuration",
        "_crashes",
        "_demand",
        "_engines",
        "_last_state_ms",
        "_limits",
        "_links",
        "_reports",
        "_standby",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        configuration: configuration_holder.ConfigurationHolder,
        links: fleet_links.FleetLinks,
        demand: demand_module.Demand,
        engines: engine_table.EngineTable,
        reports: entry_reports.EntryReports,
        limits: server_limits.ServerLimits,
        standby: standby_choice.StandbyChoice,
        crashes: crash_control.CrashControl,
    ) -> None:
        self._clock = clock
        self._configuration = configuration
        self._links = links
        self._demand = demand
        self._engines = engines
        self._reports = reports
        self._limits = limits
        self._standby = standby
        self._crashes = crashes
        self._last_state_ms = 0

    def tick(self) -> None:
        """Send the state if STATE_INTERVAL_MS has passed since the last."""
        now_ms = self._clock.now_ms()
        if now_ms - self._last_state_ms < STATE_INTERVAL_MS:
            return
        self._last_state_ms = now_ms
        current = self._configuration.current
        has_workspaces = current is not None and current.workspaces is not None
        loads = self._reports.with_acceptance(
            self._demand.loads(), has_workspaces
        )
        self._links.broadcast(
            messages_fleet.FleetState(
                self._links.count,
                held_configuration.with_version(
                    self._configuration, self._crashes.with_acceptance(loads)
                ),
                self._demand.queued(),
                load_forecast.expected_loads(self._engines.all(), now_ms),
            )
        )
        self._standby.tick()
        self._reports.share(self._links)
        observations = self._limits.book.observations()
        if observations:
            self._links.broadcast(limit_rows.encode(observations, now_ms))
