"""Components of an agent that manages a plain service."""

from __future__ import annotations

import functools
from typing import Any
from typing import TYPE_CHECKING

from balsamwall.agent import agent_parts
from balsamwall.composition import agent_unit
from balsamwall.composition import backend_monitor
from balsamwall.composition import home_gate
from balsamwall.composition import home_map_store
from balsamwall.composition import run_meter
from balsamwall.composition import unlimited_memory
from balsamwall.execution import executor
from balsamwall.idempotency import home_membership
from balsamwall.idempotency import key_home
from balsamwall.residency import memory_ledger

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.backend import service_client
    from balsamwall.composition import vm_feed
    from balsamwall.configuration import tenant_configuration
    from balsamwall.infrastructure import key_value_service
    from balsamwall.metrics import metrics as metrics_module
    from balsamwall.protocol import message
    from balsamwall.protocol import messages_session
    from balsamwall.protocol import peer_table
    from balsamwall.protocol import session
    from balsamwall.settings import daemon_settings
    from balsamwall.timing import clock as clock_module


class ServiceUnit(agent_unit.AgentUnit):
    """Executor, key homes and monitoring of a plain service."""

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
                feed.directory.is_removed,
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
            is_served=lambda kind, target: target in self._services,
            max_running=backend.max_concurrent,
            observer=run_meter.RunMeter(metrics),
        )
        self._health = backend_monitor.HealthMonitor(
            clock, client, self.executor
        )
        self._load = backend_monitor.LoadMonitor(
            clock, self.executor, memory, None
        )
        feed.directory.subscribe(on_removed=self._on_gone)

    @property
    def load_source(self) -> backend_monitor.LoadMonitor:
        """Return the monitor that supplies the load counts."""
        return self._load

    @property
    def memory(self) -> memory_ledger.MemoryLedger | None:
        """Return None, because a plain service has no ledger."""
        return None

    @property
    def is_ready(self) -> bool:
        """Return whether a configuration has been applied."""
        return self._configuration is not None

    @property
    def is_down(self) -> bool:
        """Return whether the service fails its health checks."""
        return self.executor.state == "down"

    def resident_names(self) -> agent_parts.ResidentNames:
        """Return the names of the services; they never change."""
        return agent_parts.ResidentNames(services=self._services)

    def on_message(self, peer: str, item: message.Message) -> None:
        """Pass a message to the first key home that accepts it."""
        for membership in self._memberships.values():
            if membership.on_message(peer, item):
                return

    def on_peer_up(self, peer: str, hello: messages_session.Hello) -> None:
        """Notify the key homes of a reachable peer."""
        super().on_peer_up(peer, hello)
        for membership in self._memberships.values():
            membership.on_peer_up(peer)

    def on_peer_down(self, peer: str) -> None:
        """Notify the key homes of a lost peer."""
        super().on_peer_down(peer)
        for membership in self._memberships.values():
            membership.on_peer_down(peer)

    def on_configuration(
        self, configuration: tenant_configuration.TenantConfiguration
    ) -> None:
        """Apply the longest resend window of the workspaces to all homes.

        Only workspaces that use one of the services count. Opaque keys are
        allowed if one of these workspaces allows them.
        """
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
        """Return the components that the agent core drives."""
        return agent_parts.AgentParts(
            executor=self.executor,
            key_homes=self,
            quarantine=self.executor,
            load_source=self._load,
            resident_source=self,
            configuration_readers=[self],
            drain_steps=[self.executor.start_drain],
            transfer_steps=[self._leave_homes],
        )

    def start(self) -> None:
        """Join the key homes and start the health checks."""
        for membership in self._memberships.values():
            membership.start()
        self._health.start()

    def _leave_homes(self, on_done: Callable[[], None]) -> None:
        pending = set(self._memberships)
        if not pending:
            on_done()

        def on_left(name: str) -> None:
            pending.discard(name)
            if not pending:
                on_done()

        for name, membership in self._memberships.items():
            membership.leave(functools.partial(on_left, name))

    def _on_gone(self, vm: str) -> None:
        for membership in self._memberships.values():
            membership.on_vm_gone(vm)
