"""Composition root: the only place that constructs the parts of a daemon."""

from __future__ import annotations

import functools
import random
from typing import Any
from typing import TYPE_CHECKING

from balsamwall.agent import agent_core
from balsamwall.agent import agent_parts
from balsamwall.entry import administration
from balsamwall.entry import administration_endpoints
from balsamwall.entry import administration_resource
from balsamwall.entry import caller_resource
from balsamwall.entry import entry_core
from balsamwall.entry import entry_parts
from balsamwall.entry import http_site
from balsamwall.entry import idempotency_keys
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
    """Ports, cores and peers of one process."""

    __slots__ = (
        "agents",
        "clock",
        "entry",
        "metrics",
        "ports",
        "random",
        "reactor",
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
        self.agents: list[agent_core.AgentCore] = []
        self.entry = None

    def not_ready_reason(self) -> str:
        """Return why the process takes no work; empty if it does."""
        if self.entry is not None:
            return self.entry.not_ready_reason
        reasons = [core.not_ready_reason for core in self.agents]
        return ", ".join(sorted({reason for reason in reasons if reason}))

    def begin_drain(self, source: str, on_drained: Callable[[], None]) -> None:
        """Finish the work in progress and call back once."""
        if self.entry is not None:
            self.entry.begin_drain(on_drained)
            return
        left = {index for index, _ in enumerate(self.agents)}

        def end(index: int) -> None:
            left.discard(index)
            if not left:
                on_drained()

        for index, core in enumerate(self.agents):
            core.begin_drain(source, functools.partial(end, index))

    def stop(self) -> None:
        """Close all streams and ports."""
        for table in self.tables:
            table.stop()
        for port in self.ports.values():
            port.stopListening()

    def set_addresses(self, texts: dict[str, str]) -> None:
        """Take the addresses of the VM list as HOST:PORT by peer name."""
        addresses = {}
        for vm, text in texts.items():
            try:
                addresses[vm] = address.parse(text)
            except ValueError:
                self.metrics.count("vm_list_bad_address")
        for table in self.tables:
            table.set_addresses(addresses)


def build(settings: daemon_settings.DaemonSettings, reactor: Any) -> Daemon:
    """Build and start a daemon; raise OSError if a port is taken."""
    daemon = Daemon(settings, reactor)
    if settings.role == "agent":
        _build_agent(daemon)
    else:
        _build_entry(daemon)
    daemon.metrics.watch(
        "peers_up",
        "Peers that can be reached",
        lambda: sum(len(table.up_peers) for table in daemon.tables),
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


def build_entry_parts(
    daemon: Daemon, table: peer_table.PeerTable
) -> entry_parts.EntryParts:
    """Build the decision objects of an entry."""
    return entry_parts.EntryParts()


def build_agent_parts(
    daemon: Daemon,
    table: peer_table.PeerTable,
    identity: session.Identity,
    backend: daemon_settings.BackendSettings,
) -> agent_parts.AgentParts:
    """Build the decision objects of one unit of an agent."""
    return agent_parts.AgentParts()


def _build_agent(daemon: Daemon) -> None:
    # The listening ports come first: a second agent for the same backend
    # server must end here, before it could send an order.
    units = []
    for backend in daemon.settings.backends:
        identity = _identity(daemon, backend.peer)
        table, streams = _build_streams(daemon, identity)
        daemon.ports[f"internal {backend.name}"] = streams.listen(
            backend.listen
        )
        units.append((backend, identity, table, streams))
    for backend, identity, table, streams in units:
        parts = build_agent_parts(daemon, table, identity, backend)
        core = agent_core.AgentCore(
            daemon.clock, identity, table, parts, daemon.metrics.count
        )
        table.attach(streams, core)
        daemon.agents.append(core)
        core.start()


def _build_entry(daemon: Daemon) -> None:
    settings = daemon.settings
    table, streams = _build_streams(daemon, _identity(daemon, settings.vm))
    core = entry_core.EntryCore(
        daemon.clock,
        build_entry_parts(daemon, table),
        daemon.metrics.count,
        settings.limits.rejected_keys_per_second,
    )
    daemon.entry = core
    table.attach(streams, core)
    checker = request_checker.RequestChecker(
        daemon.clock,
        daemon.random,
        idempotency_keys.RandomKeySource(daemon.clock, daemon.random),
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
    daemon.metrics.watch(
        "caller_connections",
        "Open connections of callers",
        lambda: site.connections,
    )
    daemon.metrics.watch(
        "open_requests", "Requests in progress", lambda: core.open_requests
    )
    assert settings.listen_callers is not None
    _listen_http(daemon, "callers", settings.listen_callers, site)
    if settings.listen_administration is not None:
        _build_administration(daemon, core, settings.listen_administration)


def _build_administration(
    daemon: Daemon, core: entry_core.EntryCore, where: address.Address
) -> None:
    settings = daemon.settings
    limiter = key_table.RejectionLimiter(
        daemon.clock, settings.limits.rejected_keys_per_second
    )
    api = administration.AdministrationApi(
        core, settings.administration_keys, limiter
    )
    resource = administration_resource.AdministrationResource(
        daemon.clock, api, daemon.metrics
    )
    site = http_site.LimitedSite(
        resource, ADMINISTRATION_BODY_BYTES, ADMINISTRATION_CONNECTIONS
    )
    _listen_http(daemon, "administration", where, site)


def _identity(daemon: Daemon, peer: str) -> session.Identity:
    # Wall time in milliseconds orders the incarnations of one VM name; the
    # restart of a process takes longer than a millisecond.
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
    daemon: Daemon, name: str, where: address.Address, site: Any
) -> None:
    daemon.ports[name] = daemon.reactor.listenTCP(
        where.port, site, interface=where.host
    )
