"""Administration API of an entry without sockets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.configuration import administration_configuration
from balsamwall.configuration import administration_fleet
from balsamwall.configuration import administration_routes
from balsamwall.configuration import administration_types
from balsamwall.configuration import drain_intents
from balsamwall.configuration import rollout_progress
from balsamwall.results import exceptions
from balsamwall.results import result_code

if TYPE_CHECKING:
    from balsamwall.configuration import configuration_replica
    from balsamwall.configuration import configuration_store
    from balsamwall.timing import clock as timing_clock

_CODE = result_code.ResultCode

# Importing these modules registers their routes.
HANDLER_MODULES = (administration_configuration, administration_fleet)


class Administration:
    """Check scope and path of a request and pass it to its handler."""

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
            replica, self.rollout_view
        )

    def rollout_view(self, tenant: str) -> rollout_progress.RolloutView:
        """Return residents and revisions of the live VMs of a tenant."""
        live = [vm for vm in self.fleet.vms(tenant) if vm.state != "down"]
        return rollout_progress.RolloutView(
            {vm.vm: vm.residents for vm in live if vm.role == "agent"},
            {vm.vm: vm.config_revision for vm in live},
        )

    def handle(
        self,
        request: administration_types.AdministrationRequest,
        respond: administration_types.Respond,
    ) -> None:
        """Answer a request with exactly one call of respond."""
        try:
            self._dispatch(request, respond)
        except exceptions.BalsamwallError as error:
            respond(administration_types.failure(error))

    def _dispatch(
        self,
        request: administration_types.AdministrationRequest,
        respond: administration_types.Respond,
    ) -> None:
        error = administration_types.AdministrationError
        tenant, route, arguments, is_path_known = administration_routes.find(
            request.method, request.path
        )
        if not is_path_known:
            raise error(_CODE.UNKNOWN_PATH, "no such path")
        scope = request.scope
        # The scope comes before the method: a key learns nothing about
        # other tenants.
        if tenant != scope.tenant:
            raise error(_CODE.FORBIDDEN, "the key belongs to another tenant")
        if route is None:
            raise error(
                _CODE.METHOD_NOT_ALLOWED, f"{request.method} is not served"
            )
        if route.needs_write and not scope.may_write:
            raise error(_CODE.FORBIDDEN, "the key may only read")
        route.handler(self, request, respond, **arguments)
