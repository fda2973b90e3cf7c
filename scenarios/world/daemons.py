"""Agent and entry processes, composed as in the real daemons."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from balsamwall.agent import agent_core
from balsamwall.composition import engine_unit
from balsamwall.composition import entry_unit
from balsamwall.composition import fleet_state
from balsamwall.composition import service_unit
from balsamwall.composition import tenant_switch
from balsamwall.composition import vm_feed
from balsamwall.configuration import administration
from balsamwall.configuration import administration_types
from balsamwall.configuration import configuration_replica
from balsamwall.configuration import configuration_store
from balsamwall.configuration import configuration_watcher
from balsamwall.entry import entry_core
from balsamwall.entry import entry_parts
from balsamwall.entry import request_checker
from balsamwall.protocol import session
from balsamwall.settings import address
from balsamwall.settings import daemon_settings
from scenarios.world import backends
from scenarios.world import process

if TYPE_CHECKING:
    from scenarios.world import fleet as fleet_module

REJECTED_KEYS_PER_SECOND = 100


class Daemon(process.Process):
    """Base of the agent and entry processes."""

    def __init__(self, fleet: fleet_module.Fleet, vm, role, zone, tenant):
        super().__init__(fleet.clock, fleet.trace, vm, role, zone, tenant)
        self._fleet = fleet
        self.is_leaving = False
        self.leaving_ms: int | None = None
        self.replica: configuration_replica.ConfigurationReplica | None = None
        self.table = None
        self.feed = None

    def _prepare(self, clock, tenants):
        fleet = self._fleet
        self.is_leaving = False
        self.leaving_ms = None
        seed = f"{fleet.seed}/{self.vm}/{self.generation}"
        self.random = random.Random(seed)
        identity = session.Identity(
            self.vm, self.role, self.zone, self.tenant, self.incarnation
        )
        self.table, connector = fleet.network.join(
            self, identity, clock, self.random, self._count
        )
        self.feed = vm_feed.VmFeed(self._count)
        key_value = backends.KeyValuePort(self, fleet.key_value)
        self.store = configuration_store.ConfigurationStore(key_value, clock)
        self.replica = configuration_replica.ConfigurationReplica(
            clock, self.table, self.random, tenants
        )
        self.replica.add_listener(self._on_configuration)
        fleet.invariants.on_start(self)
        return identity, connector, key_value

    def _count(self, event: str) -> None:
        if event == "message_fault":
            self.trace.record_violation(
                "no unhandled error", f"{self.vm}: {self._fleet.last_error}"
            )

    def _on_configuration(self, new, old) -> None:
        self._fleet.invariants.on_revision(self, new, old)

    def _record_drain(self) -> None:
        if self.leaving_ms is None:
            self.is_leaving = True
            self.leaving_ms = self.clock.now_ms()
            self._fleet.invariants.on_drain(self)

    def _on_drained(self) -> None:
        self._fleet.invariants.on_drained(self)
        self.stop("has drained and exits")


class AgentDaemon(Daemon):
    """Agent with one backend server."""

    def __init__(self, fleet, vm, zone, tenant, backend, services):
        super().__init__(fleet, vm, "agent", zone, tenant)
        self.backend = backend
        self._services = services
        self.unit = None
        self.core = None

    def build(self, clock) -> None:
        identity, connector, key_value = self._prepare(clock, (self.tenant,))
        backend_address = address.Address("10.0.0.1", 9000)
        settings = daemon_settings.BackendSettings(
            "backend",
            "service" if self._services else "engine",
            backend_address,
            self.vm,
            backend_address,
            self._services,
            self._fleet.max_order_delay_ms,
            32,
        )
        port = backends.BackendPort(self.clock, self, self.backend)
        arguments = (
            clock,
            self.random,
            self.table,
            identity,
            self.feed,
            settings,
            port,
        )
        if self._services:
            self.unit = service_unit.ServiceUnit(*arguments, key_value)
        else:
            self.unit = engine_unit.EngineUnit(*arguments)
        parts = self.unit.parts()
        parts.configuration = self.replica
        self.core = agent_core.AgentCore(
            clock, identity, self.table, parts, self._count
        )
        watcher = configuration_watcher.ConfigurationWatcher(
            clock,
            self.store,
            self.replica,
            self.random,
            self.tenant,
            self.vm,
            self.zone,
        )
        core = self.core
        self.replica.add_listener(lambda new, old: core.on_configuration(new))
        self.feed.add_table(self.table)

        def on_vms(directory) -> None:
            watcher.on_members(self.feed.members(self.tenant))
            record = directory.records.get(self.vm)
            if record is not None and record.state == "leaving":
                self.drain("vm_list")

        self.feed.add_listener(on_vms)
        self.table.attach(connector, core)
        core.start()
        self.unit.start()
        self.replica.start()
        clock.call_later(100, self._poll_operator_drain, clock)
        self._fleet.send_vm_list(self)

    def drain(self, source: str) -> None:
        """Begin a drain and record it."""
        self.core.begin_drain(source, self._on_drained)
        self._record_drain()

    def _poll_operator_drain(self, clock) -> None:
        # An operator's drain arrives as a message to the core; the daemon
        # has to drain as well.
        if self.core.is_leaving and self.leaving_ms is None:
            self.drain("operator")
        clock.call_later(100, self._poll_operator_drain, clock)


class EntryDaemon(Daemon):
    """Entry for the tenants of the fleet."""

    def __init__(self, fleet, vm, zone, tenants):
        super().__init__(fleet, vm, "entry", zone, " ".join(tenants))
        self._tenants = tenants
        self.core = None
        self.checker = None
        self.switch = None
        self.administration = None

    def build(self, clock) -> None:
        _, connector, key_value = self._prepare(clock, self._tenants)
        self.feed.add_table(self.table)
        units = {
            tenant: entry_unit.EntryUnit(
                clock,
                self.random,
                self.table,
                key_value,
                self.store,
                self.replica,
                self.feed,
                tenant,
                self.vm,
                self.zone,
            )
            for tenant in self._tenants
        }
        self.switch = tenant_switch.TenantSwitch(units)
        state = fleet_state.UnitFleetState(clock, self.feed, units)
        self.core = entry_core.EntryCore(
            clock,
            entry_parts.EntryParts(
                dispatcher=self.switch,
                fleet_view=self.switch,
                quarantine=self.switch,
                configuration=self.replica,
                key_homes=self.switch,
                permits=self.switch,
                membership=state,
                configuration_readers=[self.switch],
            ),
            self._count,
            REJECTED_KEYS_PER_SECOND,
        )
        core = self.core
        self.replica.add_listener(lambda new, old: core.on_configuration(new))
        self.table.attach(connector, core)
        self.replica.start()
        self.checker = request_checker.RequestChecker(
            clock, self.random, self.switch
        )
        self.administration = administration.Administration(
            clock, self.store, self.replica, state
        )
        self._fleet.send_vm_list(self)

    def drain(self, source: str) -> None:
        """Begin a drain and record it."""
        self.core.begin_drain(self._on_drained)
        self._record_drain()

    def administer(self, tenant, method, path, body, author, respond) -> None:
        """Call the administration API."""
        request = administration_types.AdministrationRequest(
            method,
            f"/v1/tenants/{tenant}/{path}",
            {},
            body,
            administration_types.AdministrationScope(tenant, True, author),
        )
        self.run(self.generation, self.administration.handle, request, respond)
