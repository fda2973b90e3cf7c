"""Composition root of an entry on the platform."""

from __future__ import annotations

import argparse
import os
import random
import signal
import sys
from typing import Any

import eliot

import balsamwall
from balsamwall.coordination import coordinator as coordinator_module
from balsamwall.coordination import fleet_client
from balsamwall.coordination import fleet_server
from balsamwall.coordination import fleet_stream
from balsamwall.gateway import backend_directory
from balsamwall.gateway import configuration_holder
from balsamwall.gateway import connection_pool
from balsamwall.gateway import gateway as gateway_module
from balsamwall.gateway import gateway_metrics
from balsamwall.gateway import listeners
from balsamwall.gateway import request_parts
from balsamwall.gateway import residency_waits
from balsamwall.gateway import server_choice
from balsamwall.gateway import server_feed
from balsamwall.gateway import server_health
from balsamwall.infrastructure import http_client
from balsamwall.infrastructure import key_value_service
from balsamwall.logs import decision_log
from balsamwall.logs import line_writer
from balsamwall.placement import lease_keeper
from balsamwall.platform import documents
from balsamwall.platform import engine_calls
from balsamwall.platform import header_codec
from balsamwall.platform import node_settings
from balsamwall.platform import store_client
from balsamwall.protocol import message
from balsamwall.settings import address as address_module
from balsamwall.timing import reactor_clock

EXIT_OK = 0
EXIT_SETTINGS_INVALID = 4
# Entries that share the retry budget before their number is known.
ASSUMED_ENTRIES = 8
# Key of the lease under which one entry gives orders to the engines.
HOLDER_KEY = "balsamwall/order-holder"
LEASE_RENEW_MS = 700
# The holder stops this long before the store may give the lease away.
LEASE_MARGIN_MS = 500
HOLDER_CONNECT_TIMEOUT_MS = 500


class EntryDaemon:
    """Parts of one entry and their wiring."""

    def __init__(
        self, settings: node_settings.NodeSettings, reactor: Any
    ) -> None:
        self._settings = settings
        self._reactor = reactor
        self._clock = reactor_clock.ReactorClock(reactor)
        self._random = random.Random()
        self._is_stopping = False
        self._log = decision_log.DecisionLog(self._clock)
        self._metrics = gateway_metrics.GatewayMetrics()
        self._configuration = configuration_holder.ConfigurationHolder()
        self._directory = backend_directory.BackendDirectory(
            self._clock.now_ms
        )
        http = http_client.HttpClient(reactor, self._clock)
        self._store = store_client.StoreClient(
            self._clock, self._random, http, str(settings.store)
        )
        codec = header_codec.HeaderCodec()
        self._pool = connection_pool.ConnectionPool(
            reactor, self._clock, codec.echo_field
        )
        self._waits = residency_waits.ResidencyWaits(self._want)
        health = server_health.ServerHealth(self._clock)
        self._parts = request_parts.RequestParts(
            clock=self._clock,
            zone=settings.availability_zone,
            configuration=self._configuration,
            choice=server_choice.ServerChoice(
                self._clock, self._random, self._directory, health
            ),
            health=health,
            pool=self._pool,
            codec=codec,
            waits=self._waits,
            log=self._log,
            metrics=self._metrics,
            retry_terms=request_parts.RetryTerms(
                settings.retry_share,
                settings.retry_extra,
                settings.retry_window_ms,
            ),
            entries=ASSUMED_ENTRIES,
            directory=self._directory,
            want=self._want,
            report_crash=self._report_crash,
        )
        self._gateway = gateway_module.Gateway(
            self._parts, self._configuration, self._random
        )
        self._servers = server_feed.ServerFeed(
            self._clock, self._directory, documents.decode_server, self._log
        )
        self._directory.add_listener(
            self._waits.on_server_changed, self._on_server_gone
        )
        self._build_coordination(http)

    def _build_coordination(self, http: http_client.HttpClient) -> None:
        settings = self._settings
        self._own_address = str(
            address_module.Address(settings.ip, settings.first_internal_port)
        )
        self._holder_seen = ""
        self._fleet_client = fleet_client.FleetClient(
            self._clock,
            settings.vm,
            self._directory,
            self._gateway.count_running,
            self._gateway.take_arrivals,
            self._gateway.count_queued,
            self._dial_holder,
            self._parts.set_entries,
            self._parts.suspects.quarantine,
            self._log,
        )
        self._fleet_client.set_waits(self._waits)
        self._fleet_server = fleet_server.FleetServer(
            settings.vm, self._fleet_client.on_message
        )
        self._lease = lease_keeper.LeaseKeeper(
            self._clock,
            self._store,
            HOLDER_KEY,
            self._own_address,
            self._is_candidate,
            lease_keeper.LeaseTimes(
                max(settings.lease_ms, settings.min_lease_ms),
                LEASE_RENEW_MS,
                LEASE_MARGIN_MS,
            ),
        )
        self._coordinator = coordinator_module.Coordinator(
            self._clock,
            self._configuration,
            self._directory,
            self._lease,
            engine_calls.EngineCalls(http, settings.vm),
            self._fleet_server,
            self._log,
            lambda: self._store.feed.is_connected,
        )
        self._fleet_server.set_coordinator(self._coordinator)

    def start(self) -> None:
        """Open the ports and follow the store."""
        settings = self._settings
        self._log.start()
        self._pool.start()
        self._store.feed.add_state_listener(self._servers.on_store_state)
        self._store.watch(documents.CONFIGURATION_KEY, self._on_configuration)
        self._store.watch(
            documents.SERVERS_PREFIX, self._on_server, is_prefix=True
        )
        self._store.watch(HOLDER_KEY, self._on_holder)
        self._store.feed.start()
        self._lease.start()
        self._coordinator.start()
        self._fleet_client.start()
        self._reactor.listenTCP(
            settings.first_internal_port,
            fleet_stream.FleetStreamFactory(self._fleet_server, self._clock),
            interface=settings.ip,
        )
        self._reactor.listenTCP(
            settings.callers.port,
            listeners.CallerFactory(self._gateway),
            backlog=listeners.CALLER_BACKLOG,
            interface=settings.callers.host,
        )
        self._reactor.listenTCP(
            settings.probes.port,
            listeners.text_site({"ready": self._ready_page}),
            backlog=listeners.PROBE_BACKLOG,
            interface=settings.probes.host,
        )
        self._reactor.listenTCP(
            settings.last_internal_port,
            listeners.text_site({"metrics": self._metrics_page}),
            interface=settings.ip,
        )
        eliot.log_message(
            "daemon_started",
            version=balsamwall.__version__,
            vm=settings.vm,
            availability_zone=settings.availability_zone,
            callers=str(settings.callers),
        )

    def stop(self) -> None:
        """Finish the open requests, then end the process."""
        self._is_stopping = True
        eliot.log_message(
            "daemon_stopping", requests=self._gateway.active_runs
        )
        self._gateway.begin_drain(self._settings.grace_ms, self._on_drained)

    def _on_drained(self) -> None:
        eliot.log_message("daemon_stopped", requests=self._gateway.active_runs)
        self._store.feed.stop()
        self._reactor.stop()

    def _ready_page(self) -> tuple[int, bytes]:
        return (200, b"ready\n") if self._gateway.is_ready else (503, b"\n")

    def _metrics_page(self) -> tuple[int, bytes]:
        return 200, self._metrics.render()

    def _on_configuration(self, item: key_value_service.KeyValue) -> None:
        if item.value is None:
            return
        try:
            configuration = documents.decode_configuration(item.value)
        except documents.DocumentError as error:
            eliot.log_message(
                "configuration_unreadable",
                revision=item.revision,
                reason=str(error)[:200],
            )
            return
        if self._configuration.offer(configuration):
            eliot.log_message(
                "configuration_in_force",
                version=configuration.version,
                revision=item.revision,
            )

    def _on_server(self, item: key_value_service.KeyValue) -> None:
        server_id = item.key.removeprefix(documents.SERVERS_PREFIX)
        self._servers.on_record(server_id, item.value)

    def _on_server_gone(self, server: backend_directory.BackendServer) -> None:
        self._pool.forget(server.server_id)
        self._parts.suspects.on_server_lost(server.server_id)

    def _report_crash(self, content: bytes) -> None:
        self._fleet_client.report_crash(content)

    # Holder of the orders

    def _want(self, wanted: residency_waits.Wanted) -> None:
        self._log.write(
            "load_wanted",
            service=wanted.service,
            model=wanted.model,
            adapter=wanted.adapter,
        )
        self._fleet_client.want(wanted)

    def _is_candidate(self) -> bool:
        """Tell whether this entry may hold the orders."""
        if self._is_stopping or not self._store.feed.is_synced:
            return False
        return self._lease.is_held or not self._holder_seen

    def _on_holder(self, item: key_value_service.KeyValue) -> None:
        self._holder_seen = (item.value or b"").decode("utf-8", "replace")
        self._fleet_client.on_holder(self._holder_seen)

    def _dial_holder(self, address: str) -> fleet_client.Link | None:
        """Connect to the holder; return a link if it is in this process."""
        if address == self._own_address:
            return _LocalLink(self._fleet_server)
        found = address_module.parse(address)
        factory = fleet_stream.FleetStreamFactory(
            self._fleet_client, self._clock, self._fleet_client.on_dial_failed
        )
        self._reactor.connectTCP(
            found.host,
            found.port,
            factory,
            timeout=HOLDER_CONNECT_TIMEOUT_MS / 1_000,
        )
        return None


class _LocalLink:
    """Link to the holder in the same process."""

    __slots__ = ("_server",)

    def __init__(self, server: fleet_server.FleetServer) -> None:
        self._server = server

    def send(self, item: message.Message) -> None:
        """Hand a message over."""
        self._server.send_local(item)

    def close(self) -> None:
        """Do nothing: there is no connection."""


def main(arguments: list[str] | None = None) -> int:
    """Run the entry until it is stopped; return the exit code."""
    parser = argparse.ArgumentParser(
        prog="balsamwall-entry",
        description="Run an entry on the users' platform.",
    )
    parser.add_argument(
        "--settings",
        default=os.environ.get(
            node_settings.PATH_VARIABLE, node_settings.DEFAULT_PATH
        ),
        help="path of the platform's settings file",
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    parser.add_argument(
        "--version", action="version", version=balsamwall.__version__
    )
    options = parser.parse_args(arguments)
    try:
        settings = node_settings.load(options.settings)
    except node_settings.NodeSettingsError as error:
        print(f"balsamwall-entry: {error}", file=sys.stderr)
        return EXIT_SETTINGS_INVALID
    if options.check:
        print(f"{options.settings}: valid")
        return EXIT_OK
    return _run(settings, options.settings)


def _run(settings: node_settings.NodeSettings, path: str) -> int:
    from twisted.internet import reactor

    reactor_clock.use_steady_time(reactor)
    os.set_blocking(sys.stdout.fileno(), False)
    eliot.to_file(line_writer.LineWriter(sys.stdout.fileno()))
    _log_failures()
    daemon = EntryDaemon(settings, reactor)
    daemon.start()
    reload = _Reload(path, settings)

    def on_stop(number: int, frame: object) -> None:
        reactor.callFromThread(daemon.stop)

    def on_reload(number: int, frame: object) -> None:
        reactor.callFromThread(reload.run)

    signal.signal(signal.SIGTERM, on_stop)
    signal.signal(signal.SIGINT, on_stop)
    signal.signal(signal.SIGHUP, on_reload)
    reactor.run(installSignalHandlers=False)
    return EXIT_OK


class _Reload:
    """Check of a changed settings file.

    Ports and identity can't change within one process; the check tells the
    operator whether the next start would accept the file.
    """

    def __init__(
        self, path: str, settings: node_settings.NodeSettings
    ) -> None:
        self._path = path
        self._settings = settings

    def run(self) -> None:
        """Read the file and log what would change."""
        try:
            found = node_settings.load(self._path)
        except node_settings.NodeSettingsError as error:
            eliot.log_message("settings_invalid", reason=str(error)[:200])
            return
        eliot.log_message("settings_read", is_changed=found != self._settings)


def _log_failures() -> None:
    from twisted import logger

    def observe(event: dict[str, Any]) -> None:
        failure = event.get("log_failure")
        if failure is not None:
            eliot.log_message(
                "twisted_failure", traceback=failure.getTraceback()[-4_096:]
            )

    # Until an observer is set, Twisted keeps up to 65,536 events in memory.
    logger.globalLogBeginner.beginLoggingTo(
        [observe], redirectStandardIO=False
    )
