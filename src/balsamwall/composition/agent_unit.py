"""Decision objects of an agent for one backend server."""

from __future__ import annotations

import functools
from typing import Any
from typing import TYPE_CHECKING

from balsamwall.agent import agent_parts
from balsamwall.composition import backend_monitor
from balsamwall.composition import demand_meter
from balsamwall.composition import entry_unit
from balsamwall.composition import home_gate
from balsamwall.composition import home_map_store
from balsamwall.composition import peer_residents
from balsamwall.composition import run_meter
from balsamwall.composition import unlimited_memory
from balsamwall.execution import crash_attribution
from balsamwall.execution import executor
from balsamwall.idempotency import home_membership
from balsamwall.idempotency import key_home
from balsamwall.residency import memory_ledger
from balsamwall.residency import permit_client
from balsamwall.residency import residency_hooks
from balsamwall.residency import residency_manager

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.backend import engine_client
    from balsamwall.backend import service_client
    from balsamwall.composition import vm_feed
    from balsamwall.configuration import tenant_configuration
    from balsamwall.membership import vm_directory
    from balsamwall.metrics import metrics as metrics_module
    from balsamwall.platform import key_value_service
    from balsamwall.protocol import message
    from balsamwall.protocol import messages_session
    from balsamwall.protocol import messages_state
    from balsamwall.protocol import peer_table
    from balsamwall.protocol import session
    from balsamwall.settings import daemon_settings
    from balsamwall.timing import clock as clock_module

MAX_PERMIT_SHARES = 8
# An agent keeps streams to all agents of a small tenant.
MAX_KEPT_AGENTS = 64


class AgentUnit:
    """Parts that engines and plain services have in common."""

    __slots__ = (
        "_clock",
        "_configuration",
        "_entries",
        "_feed",
        "_identity",
        "_peers",
        "_table",
        "crash",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        table: peer_table.PeerTable,
        identity: session.Identity,
        feed: vm_feed.VmFeed,
    ) -> None:
        self._clock = clock
        self._table = table
        self._identity = identity
        self._feed = feed
        self._entries: set[str] = set()
        self._peers: set[str] = set()
        self._configuration: (
            tenant_configuration.TenantConfiguration | None
        ) = None
        self.crash = crash_attribution.CrashAttribution(
            clock, identity.vm, self._spread_verdict
        )
        feed.add_listener(self._on_vms)

    def on_message(self, peer: str, item: message.Message) -> None:
        """Take a verdict."""
        self.crash.on_verdict(item)  # type: ignore[arg-type]

    def on_peer_up(self, peer: str, hello: messages_session.Hello) -> None:
        """Give the verdicts in force to a new peer."""
        self._peers.add(peer)
        if hello.role == "entry":
            self._entries.add(peer)
        for item in self.crash.current_verdicts():
            self._table.send(peer, item)

    def on_peer_down(self, peer: str) -> None:
        """Forget a peer."""
        self._peers.discard(peer)
        self._entries.discard(peer)

    def entries(self) -> set[str]:
        """Return the entries that can be reached."""
        return self._entries

    def on_configuration(
        self, configuration: tenant_configuration.TenantConfiguration
    ) -> None:
        """Take the configuration in force."""
        self._configuration = configuration

    def _spread_verdict(self, item: messages_state.Verdict) -> None:
        for peer in sorted(self._peers):
            self._table.send(peer, item)

    def _on_vms(self, directory: vm_directory.VmDirectory) -> None:
        agents = self._feed.agents(self._identity.tenant)
        if len(agents) > MAX_KEPT_AGENTS:
            return
        # The agent with the lower name dials, so a pair has one stream.
        self._table.keep(
            row.vm for row in agents if row.vm > self._identity.vm
        )


class EngineUnit(AgentUnit):
    """Executor and residency of a model engine."""

    __slots__ = (
        "_cache",
        "_demand",
        "_health",
        "_load",
        "_residents",
        "executor",
        "ledger",
        "residency",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        random_source: Any,
        table: peer_table.PeerTable,
        identity: session.Identity,
        feed: vm_feed.VmFeed,
        backend: daemon_settings.BackendSettings,
        client: engine_client.EngineClient,
        metrics: metrics_module.Metrics | None = None,
    ) -> None:
        super().__init__(clock, table, identity, feed)
        self.ledger = memory_ledger.MemoryLedger()
        self._residents = peer_residents.PeerResidents(identity.vm)
        self._demand = demand_meter.DemandMeter(clock, table, self.entries)
        tenant = identity.tenant
        permits = permit_client.PermitClient(
            clock,
            table,
            random_source,
            lambda: entry_unit.lease_candidate(feed, tenant, "permits"),
            self._share_targets,
        )
        self.residency = residency_manager.ResidencyManager(
            clock,
            table,
            client,
            self.ledger,
            identity.vm,
            identity.incarnation,
            random_source,
            residency_hooks.ResidencyHooks(
                is_in_use=self._is_in_use,
                oldest_running_ms=self._oldest_running_ms,
                holders=self._residents.holders,
                load_targets=self._residents.load_targets,
                demand=self._demand.rate,
            ),
            permits,
            backend.max_order_delay_ms,
        )
        self.executor = executor.Executor(
            clock,
            table,
            client,
            self.ledger,
            home_gate.HomeGate({}),
            identity.incarnation,
            self.crash,
            self._kv_bytes,
            lambda kind, target: self.residency.is_served(target),
            backend.max_concurrent,
            run_meter.RunMeter(metrics, self._demand),
        )
        self.residency.add_listener(lambda names: self.executor.pump())
        self._health = backend_monitor.HealthMonitor(
            clock, client, self.executor
        )
        self._load = backend_monitor.LoadMonitor(
            clock, self.executor, self.ledger, client
        )
        self._cache = backend_monitor.CacheMonitor(
            clock, table, client, identity.incarnation, self.entries
        )

    @property
    def load_source(self) -> backend_monitor.LoadMonitor:
        """Return the source of load counts."""
        return self._load

    @property
    def memory(self) -> memory_ledger.MemoryLedger | None:
        """Return the ledger of the engine's memory."""
        return self.ledger

    @property
    def is_ready(self) -> bool:
        """Tell whether the state was rebuilt since the start."""
        return self.residency.is_listed and self._configuration is not None

    @property
    def is_down(self) -> bool:
        """Tell whether the engine does not answer."""
        return self.executor.state == "down"

    def resident_names(self) -> agent_parts.ResidentNames:
        """Return the names now."""
        names = self.residency.residents
        return agent_parts.ResidentNames(
            names.models,
            names.adapters,
            names.loading,
            (),
            self.residency.ready_versions,
        )

    def on_configuration(
        self, configuration: tenant_configuration.TenantConfiguration
    ) -> None:
        """Take the configuration in force."""
        super().on_configuration(configuration)
        self.residency.set_configuration(configuration)

    def parts(self) -> agent_parts.AgentParts:
        """Return the decision objects for the core."""
        return agent_parts.AgentParts(
            demand=self._demand,
            executor=self.executor,
            residency=self.residency,
            quarantine=self.executor,
            membership=_PeerObserver(self),
            fleet_view=self._residents,
            memory=self.ledger,
            load_source=self._load,
            resident_source=self,
            configuration_readers=[self],
            drain_steps=[self.executor.start_drain, self._hand_over],
        )

    def start(self) -> None:
        """Read the engine and begin to work."""
        self.residency.start_recovery()
        self._health.start()
        self._load.start()
        self._cache.start()
        self._demand.start()

    def _hand_over(self, on_done: Callable[[], None]) -> None:
        self.residency.start_handover(on_done)

    def _share_targets(self) -> list[str]:
        return entry_unit.share_owners(
            self._feed, self._identity.tenant, MAX_PERMIT_SHARES
        )

    def _is_in_use(self, name: str) -> bool:
        return self.executor.active_requests(name) > 0

    def _oldest_running_ms(self, name: str) -> int | None:
        return self.executor.oldest_start_ms(name)

    def _kv_bytes(self, target: str, tokens: int) -> int:
        configuration = self._configuration
        if configuration is None:
            return 0
        spec = configuration.models.get(configuration.base_of(target))
        return spec.kv_bytes_per_token * tokens if spec is not None else 0


class ServiceUnit(AgentUnit):
    """Executor and key homes of a plain service."""

    __slots__ = (
        "_health",
        "_homes",
        "_key_value",
        "_load",
        "_memberships",
        "_random",
        "_services",
        "executor",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        random_source: Any,
        table: peer_table.PeerTable,
        identity: session.Identity,
        feed: vm_feed.VmFeed,
        backend: daemon_settings.BackendSettings,
        client: service_client.ServiceClient,
        key_value: key_value_service.KeyValueService,
        metrics: metrics_module.Metrics | None = None,
    ) -> None:
        super().__init__(clock, table, identity, feed)
        self._random = random_source
        self._key_value = key_value
        self._services = backend.services
        self._homes = {
            name: key_home.KeyHome(clock, identity.vm, name)
            for name in backend.services
        }
        store = home_map_store.HomeMapStore(key_value, identity.tenant)
        self._memberships = {
            name: home_membership.HomeMembership(
                clock,
                table,
                random_source,
                home,
                store,
                identity.vm,
                identity.incarnation,
                feed.directory.is_gone,
            )
            for name, home in self._homes.items()
        }
        memory = unlimited_memory.UnlimitedMemory()
        self.executor = executor.Executor(
            clock,
            table,
            client,
            memory,
            home_gate.HomeGate(self._homes),
            identity.incarnation,
            self.crash,
            is_held=lambda kind, target: target in self._services,
            max_running=backend.max_concurrent,
            observer=run_meter.RunMeter(metrics),
        )
        self._health = backend_monitor.HealthMonitor(
            clock, client, self.executor
        )
        self._load = backend_monitor.LoadMonitor(
            clock, self.executor, memory, None
        )
        feed.directory.subscribe(on_gone=self._on_gone)

    @property
    def load_source(self) -> backend_monitor.LoadMonitor:
        """Return the source of load counts."""
        return self._load

    @property
    def memory(self) -> memory_ledger.MemoryLedger | None:
        """Return None, because a plain service has no ledger."""
        return None

    @property
    def is_ready(self) -> bool:
        """Tell whether the configuration is known."""
        return self._configuration is not None

    @property
    def is_down(self) -> bool:
        """Tell whether the service does not answer."""
        return self.executor.state == "down"

    def resident_names(self) -> agent_parts.ResidentNames:
        """Return the names now."""
        return agent_parts.ResidentNames(services=self._services)

    def on_message(self, peer: str, item: message.Message) -> None:
        """Take a message of the key homes."""
        for membership in self._memberships.values():
            if membership.on_message(peer, item):
                return

    def on_peer_up(self, peer: str, hello: messages_session.Hello) -> None:
        """Tell the key homes about a peer."""
        super().on_peer_up(peer, hello)
        for membership in self._memberships.values():
            membership.on_peer_up(peer)

    def on_peer_down(self, peer: str) -> None:
        """Tell the key homes about the loss of a peer."""
        super().on_peer_down(peer)
        for membership in self._memberships.values():
            membership.on_peer_down(peer)

    def on_configuration(
        self, configuration: tenant_configuration.TenantConfiguration
    ) -> None:
        """Take the configuration in force."""
        super().on_configuration(configuration)
        workspaces = [
            item
            for item in configuration.workspaces.values()
            if set(item.services) & set(self._services)
        ]
        if not workspaces:
            return
        window_ms = max(item.resend_window_ms for item in workspaces)
        is_allowed = any(item.are_opaque_keys_allowed for item in workspaces)
        for home in self._homes.values():
            home.set_limits(window_ms, is_allowed)

    def parts(self) -> agent_parts.AgentParts:
        """Return the decision objects for the core."""
        return agent_parts.AgentParts(
            executor=self.executor,
            key_homes=self,
            quarantine=self.executor,
            load_source=self._load,
            resident_source=self,
            configuration_readers=[self],
            drain_steps=[self.executor.start_drain, self._leave_homes],
        )

    def start(self) -> None:
        """Enter the key homes and begin to work."""
        for membership in self._memberships.values():
            membership.start()
        self._health.start()

    def _leave_homes(self, on_done: Callable[[], None]) -> None:
        left = set(self._memberships)
        if not left:
            on_done()

        def on_left(name: str) -> None:
            left.discard(name)
            if not left:
                on_done()

        for name, membership in self._memberships.items():
            membership.leave(functools.partial(on_left, name))

    def _on_gone(self, vm: str) -> None:
        for membership in self._memberships.values():
            membership.on_vm_gone(vm)


class _PeerObserver:
    """Adapter that tells an engine unit about peers."""

    __slots__ = ("_unit",)

    def __init__(self, unit: AgentUnit) -> None:
        self._unit = unit

    def on_message(self, peer: str, item: message.Message) -> None:
        """Ignore messages."""

    def on_peer_up(self, peer: str, hello: messages_session.Hello) -> None:
        """Tell the unit."""
        self._unit.on_peer_up(peer, hello)

    def on_peer_down(self, peer: str) -> None:
        """Tell the unit."""
        self._unit.on_peer_down(peer)
