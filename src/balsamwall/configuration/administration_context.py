"""Dependencies of the administration API handlers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.configuration import drain_intents
from balsamwall.configuration import rollout_progress

if TYPE_CHECKING:
    from balsamwall.configuration import administration_types
    from balsamwall.configuration import configuration_replica
    from balsamwall.configuration import configuration_store
    from balsamwall.timing import clock as timing_clock


class AdministrationContext:
    """Configuration, fleet, drains and roll-outs of one entry."""

    __slots__ = ("clock", "drains", "fleet", "replica", "store", "tracker")

    def __init__(
        self,
        clock: timing_clock.Clock,
        store: configuration_store.ConfigurationStore,
        replica: configuration_replica.ConfigurationReplica,
        fleet: administration_types.FleetState,
    ) -> None:
        self.clock = clock
        self.store = store
        self.replica = replica
        self.fleet = fleet
        self.drains = drain_intents.DrainIntents(clock, fleet.mark_leaving)
        self.tracker = rollout_progress.RolloutTracker(
            clock, replica, self.rollout_view
        )

    def rollout_view(self, tenant: str) -> rollout_progress.RolloutView:
        """Return the residents and revisions of a tenant's live VMs."""
        live = [vm for vm in self.fleet.vms(tenant) if vm.state != "down"]
        return rollout_progress.RolloutView(
            {vm.vm: vm.residents for vm in live if vm.role == "agent"},
            {vm.vm: vm.config_revision for vm in live},
        )
