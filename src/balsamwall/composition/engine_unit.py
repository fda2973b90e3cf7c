"""Components of an agent that manages a model engine."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from balsamwall.agent import agent_parts
from balsamwall.composition import agent_unit
from balsamwall.composition import backend_monitor
from balsamwall.composition import demand_meter
from balsamwall.composition import home_gate
from balsamwall.composition import peer_residents
from balsamwall.composition import permit_owners
from balsamwall.composition import run_meter
from balsamwall.execution import executor
from balsamwall.residency import memory_ledger
from balsamwall.residency import permit_client
from balsamwall.residency import residency_hooks
from balsamwall.residency import residency_manager

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.backend import engine_client
    from balsamwall.composition import vm_feed
    from balsamwall.configuration import tenant_configuration
    from balsamwall.metrics import metrics as metrics_module
    from balsamwall.protocol import message
    from balsamwall.protocol import messages_session
    from balsamwall.protocol import peer_table
    from balsamwall.protocol import session
    from balsamwall.settings import daemon_settings
    from balsamwall.timing import clock as clock_module

# Number of entries with a fixed permit share that an agent knows at most.
MAX_PERMIT_SHARES = 8


class EngineUnit(agent_unit.AgentUnit):
    """Executor, residency and monitoring of a model engine."""

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
            lambda: permit_owners.lease_candidate(feed, tenant, "permits"),
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
            self._kv_bytes_for,
            lambda kind, target: self.residency.is_served(target),
            backend.max_concurrent,
            run_meter.RunMeter(metrics, self._demand),
        )
        self.residency.add_listener(lambda names: self.executor.reschedule())
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
        """Return the monitor that supplies the load counts."""
        return self._load

    @property
    def memory(self) -> memory_ledger.MemoryLedger | None:
        """Return the ledger of the engine's accelerator memory."""
        return self.ledger

    @property
    def is_ready(self) -> bool:
        """Return whether the engine was listed and a configuration applied."""
        return self.residency.has_listing and self._configuration is not None

    @property
    def is_down(self) -> bool:
        """Return whether the engine fails its health checks."""
        return self.executor.state == "down"

    def resident_names(self) -> agent_parts.ResidentNames:
        """Return the loaded and loading models and adapters."""
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
        """Apply a configuration to the unit and the residency manager."""
        super().on_configuration(configuration)
        self.residency.set_configuration(configuration)

    def parts(self) -> agent_parts.AgentParts:
        """Return the components that the agent core drives."""
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
            drain_steps=[self.executor.start_drain],
            transfer_steps=[self._start_handover],
        )

    def start(self) -> None:
        """Recover the engine state and start the monitors."""
        self.residency.start_recovery()
        self._health.start()
        self._load.start()
        self._cache.start()
        self._demand.start()

    def _start_handover(self, on_done: Callable[[], None]) -> None:
        self.residency.start_handover(on_done)

    def _share_targets(self) -> list[str]:
        return permit_owners.share_owners(
            self._feed, self._identity.tenant, MAX_PERMIT_SHARES
        )

    def _is_in_use(self, name: str) -> bool:
        return self.executor.active_requests(name) > 0

    def _oldest_running_ms(self, name: str) -> int | None:
        return self.executor.oldest_arrival_ms(name)

    def _kv_bytes_for(self, target: str, tokens: int) -> int:
        configuration = self._configuration
        if configuration is None:
            return 0
        spec = configuration.models.get(configuration.base_of(target))
        return spec.kv_bytes_per_token * tokens if spec is not None else 0


class _PeerObserver:
    """Adapter that forwards peer events to an engine unit."""

    __slots__ = ("_unit",)

    def __init__(self, unit: agent_unit.AgentUnit) -> None:
        self._unit = unit

    def on_message(self, peer: str, item: message.Message) -> None:
        """Ignore the message; only peer events are forwarded."""

    def on_peer_up(self, peer: str, hello: messages_session.Hello) -> None:
        """Forward the event to the unit."""
        self._unit.on_peer_up(peer, hello)

    def on_peer_down(self, peer: str) -> None:
        """Forward the event to the unit."""
        self._unit.on_peer_down(peer)
