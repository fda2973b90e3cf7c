"""Components of an entry for one tenant."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from balsamwall.composition import demand_listener
from balsamwall.composition import demand_meter
from balsamwall.composition import ensure_choice
from balsamwall.composition import permit_owners
from balsamwall.configuration import configuration_watcher
from balsamwall.dispatch import caller_request
from balsamwall.dispatch import dispatcher
from balsamwall.entry import entry_parts
from balsamwall.execution import crash_attribution
from balsamwall.idempotency import home_directory
from balsamwall.limits import request_limits
from balsamwall.membership import leaving_marks
from balsamwall.membership import peer_subset
from balsamwall.placement import fleet_view
from balsamwall.placement import lease_keeper
from balsamwall.placement import permit_task
from balsamwall.placement import placement_task
from balsamwall.placement import planner
from balsamwall.protocol import message_hub
from balsamwall.protocol import messages_home
from balsamwall.protocol import messages_request
from balsamwall.protocol import messages_residency
from balsamwall.protocol import messages_state
from balsamwall.results import result_code
from balsamwall.routing import router

if TYPE_CHECKING:
    from balsamwall.composition import vm_feed
    from balsamwall.configuration import configuration_replica
    from balsamwall.configuration import configuration_store
    from balsamwall.configuration import tenant_configuration
    from balsamwall.infrastructure import key_value_service
    from balsamwall.membership import vm_directory
    from balsamwall.protocol import message
    from balsamwall.protocol import messages_session
    from balsamwall.protocol import peer_table
    from balsamwall.timing import clock as clock_module

# Minimum time between two requests to load the same name.
ENSURE_INTERVAL_MS = 1_000
# Fraction of memory reserved for the KV cache, used while the configuration
# has no fleet section.
DEFAULT_KV_RESERVE = 0.3

_REFUSED_BEFORE_DISPATCH = frozenset(
    (
        result_code.ResultCode.DEADLINE_UNREACHABLE,
        result_code.ResultCode.NO_REPLICA,
        result_code.ResultCode.QUEUE_FULL,
    )
)


class EntryUnit:
    """Routing, dispatch, limits, quarantine and leased tasks of a tenant."""

    __slots__ = (
        "_clock",
        "_collector",
        "_configuration",
        "_ensure_choice",
        "_last_ensured_ms",
        "_feed",
        "_hub",
        "_key_value",
        "_limits",
        "_leaving_marks",
        "_permits",
        "_placement",
        "_table",
        "_vm",
        "_watcher",
        "crash",
        "directory",
        "dispatcher",
        "reports",
        "residents",
        "router",
        "tenant",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        random_source: Any,
        table: peer_table.PeerTable,
        key_value: key_value_service.KeyValueService,
        store: configuration_store.ConfigurationStore,
        replica: configuration_replica.ConfigurationReplica,
        feed: vm_feed.VmFeed,
        tenant: str,
        vm: str,
        availability_zone: str,
    ) -> None:
        self._clock = clock
        self._table = table
        self._key_value = key_value
        self._feed = feed
        self._vm = vm
        self.tenant = tenant
        self._configuration: (
            tenant_configuration.TenantConfiguration | None
        ) = None
        self._last_ensured_ms: dict[str, int] = {}
        self._ensure_choice = ensure_choice.EnsureChoice()
        self.reports: dict[str, messages_state.AgentReport] = {}
        self.residents: dict[str, messages_state.Residents] = {}
        self._leaving_marks = leaving_marks.LeavingMarks()
        self.router = router.Router(clock, random_source, availability_zone)
        self._limits = request_limits.RequestLimits(clock)
        self.crash = crash_attribution.CrashAttribution(
            clock, vm, self._broadcast_verdict
        )
        self.directory = home_directory.HomeDirectory(
            clock, table, random_source
        )
        self.dispatcher = dispatcher.Dispatcher(
            clock,
            table,
            self.router,
            self._limits,
            random_source,
            self.directory.home_of,
            self.crash.is_quarantined,
            self._ensure_resident,
            table.dial,
        )
        self._collector = demand_meter.DemandCollector(clock)
        self._placement = placement_task.PlacementTask(
            clock,
            table,
            self._start_lease("placement"),
            planner.Planner(),
            self.fleet_view,
            self._collector.forecast,
        )
        self._permits: permit_task.PermitTask | None = None
        self._watcher = configuration_watcher.ConfigurationWatcher(
            clock, store, replica, random_source, tenant, vm, availability_zone
        )
        self._hub = message_hub.MessageHub(lambda event: None)
        self._register_receivers()
        self._placement.start()
        feed.add_listener(self._on_vms)
        feed.directory.subscribe(on_removed=self._on_gone)

    @property
    def configuration(
        self,
    ) -> tenant_configuration.TenantConfiguration | None:
        """Return the active configuration, None before the first one."""
        return self._configuration

    def submit(
        self,
        request: caller_request.CallerRequest,
        listener: caller_request.AnswerListener,
    ) -> None:
        """Dispatch a request; count its demand if it names a model."""
        if request.kind == "model":
            listener = demand_listener.DemandListener(self, request, listener)
        self.dispatcher.submit(request, listener)

    def on_message(self, peer: str, item: message.Message) -> None:
        """Pass a message to the component that handles its type."""
        if isinstance(item, messages_state.Leaving) and item.vm != peer:
            # Only the VM itself and the VM list may mark a VM as leaving.
            return
        self._hub.on_message(peer, item)

    def on_peer_up(self, peer: str, hello: messages_session.Hello) -> None:
        """Add an agent to the routing view and reattach its requests."""
        self.router.on_peer_up(
            peer, hello.incarnation, hello.availability_zone
        )
        self.dispatcher.on_peer_up(peer, hello.incarnation)
        for item in self.crash.current_verdicts():
            self._table.send(peer, item)
        for mark in self._leaving_marks.marks:
            if mark.vm == peer:
                self._table.send(peer, mark)

    def on_peer_down(self, peer: str) -> None:
        """Remove an agent from the routing view and drop its reports."""
        self.router.on_peer_down(peer)
        self.dispatcher.on_peer_down(peer)
        self.reports.pop(peer, None)
        self.residents.pop(peer, None)

    def on_configuration(
        self, configuration: tenant_configuration.TenantConfiguration
    ) -> None:
        """Apply a configuration; restart the permit task if limits changed."""
        old, self._configuration = self._configuration, configuration
        self._limits.apply(configuration)
        is_limit_changed = (
            old is None or old.weight_store != configuration.weight_store
        )
        if is_limit_changed:
            self._replace_permits(configuration)

    def on_refused(
        self,
        request: caller_request.CallerRequest,
        code: result_code.ResultCode,
    ) -> None:
        """Count the demand of a request refused before dispatch."""
        if code in _REFUSED_BEFORE_DISPATCH:
            tokens = request.max_output_tokens // 4
            cost_ms = demand_meter.estimate_engine_ms(
                request.prompt_tokens, tokens
            )
            entries = len(self._feed.entries(self.tenant))
            self._collector.on_refused(
                request.target, request.is_urgent, cost_ms, entries
            )

    def mark_leaving(self, vm: str, source: str) -> bool:
        """Mark a VM as leaving; return False if its agent is unreachable."""
        hello = self._table.hello_of(vm)
        if hello is None:
            return False
        self._leaving_marks.mark(vm, hello.incarnation, source)
        self.router.view.mark_leaving(vm, hello.incarnation)
        item = messages_state.Leaving(vm, hello.incarnation, source)
        self._table.send(vm, item)
        return True

    def clear_quarantine(self, fingerprint: bytes) -> bool:
        """Clear a quarantine on all peers; return False if it is unknown."""
        return self.crash.clear(fingerprint, "cleared by an operator")

    def new_key(self, workspace: str, service: str) -> str:
        """Return a new idempotency key, with a reachable home if any."""
        connected_peers = set(self._table.connected_peers)
        return self.directory.generate_key(
            service, workspace, connected_peers.__contains__
        )

    def names_without_replica(self) -> list[str]:
        """Return the configured names without a ready replica, sorted."""
        configuration = self._configuration
        if configuration is None:
            return []
        return sorted(
            name
            for name in configuration.configured_names()
            if not len(self.router.view.ready_replicas(name))
        )

    def fleet_view(self) -> fleet_view.FleetView:
        """Return the ready and leaving engines as the planner sees them."""
        configuration = self._configuration
        configurations = {}
        if configuration is not None:
            configurations[self.tenant] = configuration
        workers = []
        for peer, report in self.reports.items():
            residents = self.residents.get(peer)
            replica = self.router.view.get(peer)
            if (
                residents is None
                or replica is None
                or not report.capacity_bytes
            ):
                continue
            if report.state not in ("ready", "leaving"):
                continue
            weight_limit_bytes = report.capacity_bytes * (
                1 - self._kv_reserve()
            )
            workers.append(
                fleet_view.WorkerView(
                    peer,
                    replica.zone,
                    self.tenant,
                    int(weight_limit_bytes),
                    frozenset(residents.models + residents.adapters),
                    frozenset(residents.loading),
                    replica.is_leaving,
                )
            )
        workers.sort(key=lambda worker: worker.vm)
        return fleet_view.FleetView(tuple(workers), configurations)

    def _register_receivers(self) -> None:
        hub = self._hub
        hub.add(self.dispatcher, entry_parts.MESSAGE_TYPES["dispatcher"])
        hub.add(
            self.router,
            (
                messages_state.AgentReport,
                messages_state.Residents,
                messages_state.CacheDigest,
                messages_state.Leaving,
            ),
        )
        hub.add(self._collector, (messages_state.DemandReport,))
        hub.add(
            _UnitReceiver(self),
            (
                messages_state.AgentReport,
                messages_state.Residents,
                messages_state.Verdict,
                messages_home.HomeMapChanged,
                messages_request.Refused,
                messages_residency.PermitRequest,
                messages_residency.PermitInUse,
                messages_residency.PermitReturned,
            ),
        )

    def on_unit_message(self, peer: str, item: message.Message) -> None:
        """Handle a message of a type that the unit itself receives."""
        if isinstance(item, messages_state.AgentReport):
            self.reports[peer] = item
        elif isinstance(item, messages_state.Residents):
            self.residents[peer] = item
        elif isinstance(item, messages_state.Verdict):
            self.crash.on_verdict(item)
        elif isinstance(item, messages_home.HomeMapChanged):
            self.directory.on_map_changed(item)
        elif isinstance(item, messages_request.Refused):
            if item.code == result_code.ResultCode.NOT_HOME.number:
                for service in self.directory.maps:
                    self.directory.on_not_home(peer, service)
        elif self._permits is not None:
            self._permits.on_message(peer, item)

    def _broadcast_verdict(self, item: messages_state.Verdict) -> None:
        for peer in self.reports:
            self._table.send(peer, item)

    def _ensure_resident(self, name: str, is_urgent: bool) -> None:
        now_ms = self._clock.now_ms()
        last_ms = self._last_ensured_ms.get(name)
        if last_ms is not None and now_ms - last_ms < ENSURE_INTERVAL_MS:
            return
        self._last_ensured_ms[name] = now_ms
        vm = self._ensure_choice.choose(
            name, self.fleet_view().workers, self._configuration, now_ms
        )
        if vm is not None:
            item = messages_residency.EnsureResident(name, is_urgent)
            self._table.send(vm, item)

    def _kv_reserve(self) -> float:
        configuration = self._configuration
        if configuration is None or configuration.fleet is None:
            return DEFAULT_KV_RESERVE
        return configuration.fleet.kv_reserve

    def _start_lease(self, name: str) -> lease_keeper.LeaseKeeper:
        lease = lease_keeper.LeaseKeeper(
            self._clock,
            self._key_value,
            f"balsamwall/leases/{self.tenant}/{name}",
            self._vm,
            lambda: self._is_lease_candidate(name),
        )
        lease.start()
        return lease

    def _is_lease_candidate(self, name: str) -> bool:
        return self._vm == permit_owners.lease_candidate(
            self._feed, self.tenant, name
        )

    def _replace_permits(
        self, configuration: tenant_configuration.TenantConfiguration
    ) -> None:
        rate, concurrency = permit_owners.weight_store_limits(configuration)
        if self._permits is not None:
            self._permits.stop()
        self._permits = permit_task.PermitTask(
            self._clock,
            self._table,
            self._start_lease("permits"),
            rate,
            concurrency,
            self._owns_share,
        )
        self._permits.start()

    def _owns_share(self, index: int) -> bool:
        owners = permit_owners.share_owners(self._feed, self.tenant, index + 1)
        return len(owners) > index and owners[index] == self._vm

    def _on_vms(self, directory: vm_directory.VmDirectory) -> None:
        agents = self._feed.agents(self.tenant)
        live = [record for record in agents if record.state == "live"]
        subset = peer_subset.choose_subset(
            self._vm, self._availability_zone(), live
        )
        # Leaving agents keep their streams until their requests finish.
        subset.update(record.vm for record in agents if record.state != "live")
        self._table.keep_connected(subset, self.tenant)
        self._watcher.on_members(self._feed.members(self.tenant))
        for record in agents:
            if record.state == "leaving":
                self.mark_leaving(record.vm, "vm_list")

    def _availability_zone(self) -> str:
        record = self._feed.directory.records.get(self._vm)
        return record.availability_zone if record is not None else ""

    def _on_gone(self, vm: str) -> None:
        self.router.forget(vm)


class _UnitReceiver:
    """Receiver of the messages that the unit handles itself."""

    __slots__ = ("_unit",)

    def __init__(self, unit: EntryUnit) -> None:
        self._unit = unit

    def on_message(self, peer: str, item: message.Message) -> None:
        """Pass the message to the unit."""
        self._unit.on_unit_message(peer, item)
