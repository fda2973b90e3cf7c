"""Composition root: constructs and connects the objects of a daemon."""

from __future__ import annotations

import functools
import random
from typing import Any
from typing import TYPE_CHECKING

from balsamwall.agent import agent_core
from balsamwall.backend import engine_client
from balsamwall.backend import service_client
from balsamwall.composition import endpoint_bridge
from balsamwall.composition import engine_unit
from balsamwall.composition import entry_unit
from balsamwall.composition import fleet_state
from balsamwall.composition import platform_clients
from balsamwall.composition import service_unit
from balsamwall.composition import tenant_switch
from balsamwall.composition import unit_gauges
from balsamwall.composition import vm_feed
from balsamwall.configuration import configuration_replica
from balsamwall.configuration import configuration_watcher
from balsamwall.entry import administration
from balsamwall.entry import administration_endpoints
from balsamwall.entry import administration_resource
from balsamwall.entry import caller_resource
from balsamwall.entry import entry_core
from balsamwall.entry import entry_parts
from balsamwall.entry import http_site
from balsamwall.entry import key_table
from balsamwall.entry import request_checker
from balsamwall.metrics import metrics as metrics_module
from balsamwall.metrics import status_resource
from balsamwall.protocol import key_ring
from balsamwall.protocol import peer_table
from balsamwall.protocol import session
from balsamwall.protocol import stream
from balsamwall.settings import address
from balsamwall.timing import reactor_clock

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.settings import daemon_settings

# Modules that register endpoints of the administration API when imported.
ENDPOINT_MODULES = (administration_endpoints,)
STATUS_BODY_BYTES = 1_024
STATUS_CONNECTIONS = 64
ADMINISTRATION_BODY_BYTES = 1024 * 1024
ADMINISTRATION_CONNECTIONS = 64


class Daemon:
    """Listening ports, cores, peer tables and replicas of one process."""

    __slots__ = (
        "agents",
        "clock",
        "entry",
        "metrics",
        "ports",
        "random",
        "reactor",
        "replicas",
        "settings",
        "tables",
    )

    entry: entry_core.EntryCore | None

    def __init__(
        self, settings: daemon_settings.DaemonSettings, reactor: Any
    ) -> None:
        self.settings = settings
        self.reactor = reactor
        self.clock = reactor_clock.ReactorClock(reactor)
        self.random = random.SystemRandom()
        self.metrics = metrics_module.Metrics()
        self.ports: dict[str, Any] = {}
        self.tables: list[peer_table.PeerTable] = []
        self.replicas: list[configuration_replica.ConfigurationReplica] = []
        self.agents: list[agent_core.AgentCore] = []
        self.entry = None

    def not_ready_reason(self) -> str:
        """Return why the process accepts no requests; empty if it does."""
        if self.entry is not None:
            return self.entry.not_ready_reason
        reasons = [core.not_ready_reason for core in self.agents]
        return ", ".join(sorted({reason for reason in reasons if reason}))

    def begin_drain(self, source: str, on_drained: Callable[[], None]) -> None:
        """Refuse new requests; call back once when the active ones finish."""
        if self.entry is not None:
            self.entry.begin_drain(on_drained)
            return
        pending = {index for index, _ in enumerate(self.agents)}

        def end(index: int) -> None:
            pending.discard(index)
            if not pending:
                on_drained()

        for index, core in enumerate(self.agents):
            core.begin_drain(source, functools.partial(end, index))

    def stop(self) -> None:
        """Close all peer streams and stop listening."""
        for table in self.tables:
            table.stop()
        for port in self.ports.values():
            port.stopListening()


def build(settings: daemon_settings.DaemonSettings, reactor: Any) -> Daemon:
    """Build and start a daemon; raise CannotListenError if a port is taken."""
    daemon = Daemon(settings, reactor)
    if settings.role == "agent":
        _build_agent(daemon)
    else:
        _build_entry(daemon)
    daemon.metrics.add_gauge(
        "peers_up",
        "Peers that can be reached",
        lambda: sum(len(table.connected_peers) for table in daemon.tables),
    )
    daemon.metrics.add_labelled_gauge(
        "configuration_revision",
        "Revision in force, the lowest of all backend servers",
        "tenant",
        {
            tenant: functools.partial(_lowest_revision, daemon, tenant)
            for tenant in settings.tenant.split()
        },
    )
    status = status_resource.StatusResource(
        daemon.metrics, daemon.not_ready_reason
    )
    _listen_http(
        daemon,
        "metrics",
        settings.listen_metrics,
        http_site.LimitedSite(status, STATUS_BODY_BYTES, STATUS_CONNECTIONS),
    )
    return daemon


def _lowest_revision(daemon: Daemon, tenant: str) -> int:
    return min(replica.revision(tenant) for replica in daemon.replicas)


def _build_agent(daemon: Daemon) -> None:
    # All internal ports are bound first: a second agent for the same backend
    # server must fail here, before it can send an order to the server.
    units = []
    platform = platform_clients.PlatformClients(
        daemon.reactor, daemon.clock, daemon.settings, daemon.metrics.count
    )
    for backend in daemon.settings.backends:
        identity = _identity(daemon, backend.peer)
        table, streams = _build_streams(daemon, identity)
        daemon.ports[f"internal {backend.name}"] = streams.listen(
            backend.listen
        )
        units.append((backend, identity, table, streams))
    built = {
        identity.vm: _build_unit(
            daemon, platform, table, streams, identity, backend
        )
        for backend, identity, table, streams in units
    }
    unit_gauges.watch_agents(daemon.metrics, built)
    platform.vm_list.start(platform.feed.on_listing)


def _build_unit(
    daemon: Daemon,
    platform: platform_clients.PlatformClients,
    table: peer_table.PeerTable,
    streams: stream.StreamTransport,
    identity: session.Identity,
    backend: daemon_settings.BackendSettings,
) -> engine_unit.EngineUnit | service_unit.ServiceUnit:
    tenant = identity.tenant
    replica, watcher = _build_configuration(
        daemon, platform, table, tenant, identity.vm
    )
    url = f"http://{backend.server.host}:{backend.server.port}"
    unit: engine_unit.EngineUnit | service_unit.ServiceUnit
    if backend.kind == "engine":
        unit = engine_unit.EngineUnit(
            daemon.clock,
            daemon.random,
            table,
            identity,
            platform.feed,
            backend,
            engine_client.EngineClient(daemon.reactor, daemon.clock, url),
            daemon.metrics,
        )
    else:
        unit = service_unit.ServiceUnit(
            daemon.clock,
            daemon.random,
            table,
            identity,
            platform.feed,
            backend,
            service_client.ServiceClient(daemon.reactor, daemon.clock, url),
            platform.key_value,
            daemon.metrics,
        )
    parts = unit.parts()
    parts.configuration = replica
    core = agent_core.AgentCore(
        daemon.clock, identity, table, parts, daemon.metrics.count
    )
    replica.add_listener(lambda new, old: core.on_configuration(new))
    platform.feed.add_table(table)
    platform.feed.add_listener(
        lambda directory: _on_vm_list(platform.feed, tenant, watcher, core)
    )
    table.attach(streams, core)
    daemon.agents.append(core)
    core.start()
    unit.start()
    replica.start()
    return unit


def _on_vm_list(
    feed: vm_feed.VmFeed,
    tenant: str,
    watcher: configuration_watcher.ConfigurationWatcher,
    core: agent_core.AgentCore,
) -> None:
    watcher.on_members(feed.members(tenant))
    record = feed.directory.records.get(core.vm)
    if record is not None and record.state == "leaving":
        core.begin_drain("vm_list")


def _build_configuration(
    daemon: Daemon,
    platform: platform_clients.PlatformClients,
    table: peer_table.PeerTable,
    tenant: str,
    vm: str,
) -> tuple[
    configuration_replica.ConfigurationReplica,
    configuration_watcher.ConfigurationWatcher,
]:
    replica = configuration_replica.ConfigurationReplica(
        daemon.clock, table, daemon.random, (tenant,)
    )
    daemon.replicas.append(replica)
    watcher = configuration_watcher.ConfigurationWatcher(
        daemon.clock,
        platform.store,
        replica,
        daemon.random,
        tenant,
        vm,
        daemon.settings.availability_zone,
    )
    return replica, watcher


def _build_entry(daemon: Daemon) -> None:
    settings = daemon.settings
    table, streams = _build_streams(daemon, _identity(daemon, settings.vm))
    platform = platform_clients.PlatformClients(
        daemon.reactor, daemon.clock, daemon.settings, daemon.metrics.count
    )
    platform.feed.add_table(table)
    tenants = settings.tenant.split()
    replica = configuration_replica.ConfigurationReplica(
        daemon.clock, table, daemon.random, tenants
    )
    daemon.replicas.append(replica)
    units = {
        tenant: entry_unit.EntryUnit(
            daemon.clock,
            daemon.random,
            table,
            platform.key_value,
            platform.store,
            replica,
            platform.feed,
            tenant,
            settings.vm,
            settings.availability_zone,
        )
        for tenant in tenants
    }
    unit_gauges.watch_entry(daemon.metrics, units)
    switch = tenant_switch.TenantSwitch(units)
    fleet = fleet_state.UnitFleetState(daemon.clock, platform.feed, units)
    core = entry_core.EntryCore(
        daemon.clock,
        entry_parts.EntryParts(
            dispatcher=switch,
            fleet_view=switch,
            quarantine=switch,
            configuration=replica,
            key_homes=switch,
            permits=switch,
            membership=fleet,
            configuration_readers=[switch],
        ),
        daemon.metrics.count,
        settings.limits.rejected_keys_per_second,
    )
    replica.add_listener(lambda new, old: core.on_configuration(new))
    daemon.entry = core
    table.attach(streams, core)
    replica.start()
    platform.vm_list.start(platform.feed.on_listing)
    checker = request_checker.RequestChecker(
        daemon.clock, daemon.random, switch
    )
    callers = caller_resource.CallerResource(
        daemon.clock, core, checker, daemon.metrics, settings.limits
    )
    site = http_site.LimitedSite(
        callers,
        settings.limits.body_bytes,
        settings.limits.caller_connections,
        settings.limits.total_body_bytes,
    )
    daemon.metrics.add_gauge(
        "caller_connections",
        "Open connections of callers",
        lambda: site.connections,
    )
    daemon.metrics.add_gauge(
        "open_requests", "Requests in progress", lambda: core.open_requests
    )
    assert settings.listen_callers is not None
    _listen_http(daemon, "callers", settings.listen_callers, site)
    if settings.listen_administration is not None:
        bridge = endpoint_bridge.EndpointBridge(
            daemon.clock, platform.store, replica, fleet
        )
        _build_administration(
            daemon, core, bridge, settings.listen_administration
        )


def _build_administration(
    daemon: Daemon,
    core: entry_core.EntryCore,
    bridge: endpoint_bridge.EndpointBridge,
    listen_address: address.Address,
) -> None:
    settings = daemon.settings
    limiter = key_table.RejectionLimiter(
        daemon.clock, settings.limits.rejected_keys_per_second
    )
    api = administration.AdministrationApi(
        core,
        settings.administration_keys,
        limiter,
        bridge,
    )
    resource = administration_resource.AdministrationResource(
        daemon.clock, api, daemon.metrics
    )
    site = http_site.LimitedSite(
        resource, ADMINISTRATION_BODY_BYTES, ADMINISTRATION_CONNECTIONS
    )
    _listen_http(daemon, "administration", listen_address, site)


def _identity(daemon: Daemon, peer: str) -> session.Identity:
    # The start time in milliseconds of wall time orders the incarnations of
    # one VM name: a process takes longer than 1 ms to restart.
    return session.Identity(
        peer,
        daemon.settings.role,
        daemon.settings.availability_zone,
        daemon.settings.tenant,
        daemon.clock.wall_ms(),
    )


def _build_streams(
    daemon: Daemon, identity: session.Identity
) -> tuple[peer_table.PeerTable, stream.StreamTransport]:
    settings = daemon.settings
    table = peer_table.PeerTable(
        daemon.clock,
        daemon.random,
        daemon.metrics.count,
        settings.limits.peer_connections,
    )
    streams = stream.StreamTransport(
        daemon.reactor,
        daemon.clock,
        identity,
        key_ring.KeyRing(settings.internal_keys, settings.current_key_id),
        table,
        settings.limits,
        settings.tls,
    )
    daemon.tables.append(table)
    return table, streams


def _listen_http(
    daemon: Daemon, name: str, listen_address: address.Address, site: Any
) -> None:
    daemon.ports[name] = daemon.reactor.listenTCP(
        listen_address.port, site, interface=listen_address.host
    )
