"""Merge what the entries report for each other, in the coordinator."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.coordination import leaving_exchange
from balsamwall.coordination import messages_fleet
from balsamwall.coordination import speed_exchange
from balsamwall.coordination import workspace_use

if TYPE_CHECKING:
    from balsamwall.coordination import entry_features
    from balsamwall.coordination import fleet_links
    from balsamwall.coordination import origin_exchange
    from balsamwall.gateway import backend_directory
    from balsamwall.gateway import configuration_holder
    from balsamwall.logs import decision_log
    from balsamwall.protocol import message
    from balsamwall.timing import clock as clock_module


class EntryReports:
    """Merge speeds of servers, use of workspaces and origins of streams."""

    __slots__ = ("_features", "_leaving", "_use", "origins", "speeds")

    def __init__(
        self,
        clock: clock_module.Clock,
        configuration: configuration_holder.ConfigurationHolder,
        directory: backend_directory.BackendDirectory,
        features: entry_features.FeatureTable,
        origins: origin_exchange.OriginMerger,
        log: decision_log.DecisionLog,
    ) -> None:
        self._features = features
        self.speeds = speed_exchange.SpeedMerger(clock, directory, log)
        self._use = workspace_use.UseMerger(configuration, log)
        self.origins = origins
        self._leaving = leaving_exchange.LeavingMerger(directory, log)

    def restart(self) -> None:
        """Discard the reports at the start of a term."""
        self.speeds.restart()
        self._use.restart()
        self.origins.restart()
        self._leaving.restart()

    def remove_entry(self, vm: str) -> None:
        """Discard what belongs to an entry that has disconnected."""
        self.speeds.remove_entry(vm)
        self._use.remove_entry(vm)
        self.origins.remove_entry(vm)
        self._leaving.remove_entry(vm)

    def on_message(self, vm: str, item: message.Message) -> bool:
        """Record a report; return whether the message was one."""
        if isinstance(item, messages_fleet.ServerSpeeds):
            self.speeds.on_report(vm, item)
        elif isinstance(item, messages_fleet.WorkspaceUse):
            self._use.on_report(vm, item)
        elif isinstance(item, messages_fleet.StreamOriginReport):
            self.origins.on_report(vm, item)
        elif isinstance(item, messages_fleet.ServerLeavingReport):
            self._leaving.on_report(vm, item)
        else:
            return False
        return True

    def with_acceptance(
        self, loads: dict[str, int], has_workspaces: bool
    ) -> dict[str, int]:
        """Return fleet loads that state which messages are accepted."""
        loads = self.speeds.with_acceptance(loads, has_workspaces)
        loads = self._leaving.with_acceptance(loads)
        return self.origins.with_acceptance(loads)

    def share(self, links: fleet_links.FleetLinks) -> None:
        """Send the merged reports to the entries that accept them."""
        self.speeds.share(links.send)
        self._leaving.share(links.send)
        self._use.share(self._features.vms, links.send)
