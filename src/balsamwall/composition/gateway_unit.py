"""Wiring of an entry that forwards requests directly to backend servers."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import eliot

import balsamwall
from balsamwall.composition import order_parts
from balsamwall.composition import origin_parts
from balsamwall.composition import quota_parts
from balsamwall.composition import version_parts
from balsamwall.coordination import coordinator as coordinator_module
from balsamwall.coordination import fleet_client
from balsamwall.coordination import fleet_dialer
from balsamwall.coordination import fleet_server
from balsamwall.coordination import fleet_stream
from balsamwall.coordination import held_configuration
from balsamwall.coordination import limited_engine_control
from balsamwall.coordination import local_link
from balsamwall.coordination import origin_log
from balsamwall.coordination import permit_issuer
from balsamwall.coordination import store_relay
from balsamwall.coordination import workspace_use
from balsamwall.gateway import backend_directory
from balsamwall.gateway import configuration_freshness
from balsamwall.gateway import configuration_holder
from balsamwall.gateway import connection_pool
from balsamwall.gateway import gateway as gateway_module
from balsamwall.gateway import gateway_metrics
from balsamwall.gateway import listeners
from balsamwall.gateway import release_pacing
from balsamwall.gateway import request_dependencies
from balsamwall.gateway import residency_waits
from balsamwall.gateway import server_backoff
from balsamwall.gateway import server_choice
from balsamwall.gateway import server_feed
from balsamwall.gateway import server_health
from balsamwall.gateway import server_limits
from balsamwall.gateway import speed_metrics
from balsamwall.limits import fleet_size
from balsamwall.logs import decision_log
from balsamwall.settings import address as address_module

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from balsamwall.composition import gateway_dependencies
    from balsamwall.coordination import messages_fleet
    from balsamwall.gateway import gateway_settings
    from balsamwall.infrastructure import key_value_service
    from balsamwall.timing import clock as clock_module

# Number of entries that share the retry budget until the fleet reports it.
ASSUMED_ENTRIES = 8
# Number of entries that share the limits of servers until the fleet reports
# it. A lower number than the true one would exceed a limit.
ASSUMED_ENTRIES_OF_LIMITS = 100


class GatewayUnit:
    """Components of one entry and their wiring."""

    def __init__(
        self,
        settings: gateway_settings.GatewaySettings,
        reactor: Any,
        clock: clock_module.Clock,
        random_source: random.Random,
        dependencies: gateway_dependencies.GatewayDependencies,
    ) -> None:
        self._settings = settings
        self._reactor = reactor
        self._clock = clock
        self._random = random_source
        self._dependencies = dependencies
        self._log = decision_log.DecisionLog(self._clock)
        self._metrics = gateway_metrics.GatewayMetrics()
        self._configuration = configuration_holder.ConfigurationHolder()
        self._directory = backend_directory.BackendDirectory(
            self._clock.now_ms
        )
        self._fleet_size = fleet_size.FleetSize(
            self._clock, ASSUMED_ENTRIES_OF_LIMITS
        )
        self._version_parts = version_parts.VersionParts(
            self._clock,
            random_source,
            self._configuration,
            self._directory,
            dependencies.store,
            lambda: self._coordinator.is_active,
            lambda: self._election.is_store_available,
            lambda: self._fleet_size.count,
            self._log,
        )
        self._metrics.watch_speeds(
            speed_metrics.SpeedCollector(self._clock, self._directory.speeds)
        )
        self._pool = connection_pool.ConnectionPool(
            reactor,
            self._clock,
            dependencies.codec.echo_field,
            self._max_idle_connections,
            self._log,
            self._metrics.count_opened,
        )
        self._waits = residency_waits.ResidencyWaits(
            self._clock,
            self._request_load,
            release_pacing.ReleasePacing(random_source),
        )
        self._limits = server_limits.ServerLimits(
            self._clock,
            random_source,
            self._fleet_size,
            self._log,
            self._metrics,
        )
        self._build_quotas()
        self._build_requests()
        self._server_feed = server_feed.ServerFeed(
            self._clock, self._directory, dependencies.read_server, self._log
        )
        self._directory.add_listener(
            self._waits.on_server_changed, self._on_server_gone
        )
        self._origin_parts = origin_parts.OriginParts(
            self._clock,
            random_source,
            dependencies.store,
            settings.vm,
            self._version_parts.versions,
            self._version_parts.origins,
            lambda: self._fleet_size.count,
            lambda vm, item: self._fleet_server.send(vm, item),
            lambda: self._coordinator.is_active,
            self._log,
            self._metrics,
        )
        self._build_fleet_client()
        self._build_coordinator()

    def _build_quotas(self) -> None:
        self._dialer = fleet_dialer.FleetDialer(self._reactor, self._clock)
        self._quota_parts = quota_parts.QuotaParts(
            self._clock,
            self._random,
            self._configuration,
            self._dependencies.store,
            self._settings,
            self._dialer,
            ASSUMED_ENTRIES_OF_LIMITS,
            lambda: self._coordinator.is_active,
            self._log,
            self._metrics.workspaces,
        )

    def _build_requests(self) -> None:
        settings, dependencies = self._settings, self._dependencies
        health = server_health.ServerHealth(self._clock)
        self._backoff = server_backoff.ServerBackoff(
            self._clock, self._log, self._metrics
        )
        self._request_dependencies = request_dependencies.RequestDependencies(
            clock=self._clock,
            zone=settings.availability_zone,
            configuration=self._configuration,
            choice=server_choice.ServerChoice(
                self._clock,
                self._random,
                self._directory,
                health,
                self._limits,
                self._backoff,
            ),
            health=health,
            pool=self._pool,
            codec=dependencies.codec,
            waits=self._waits,
            log=self._log,
            metrics=self._metrics,
            retry_settings=request_dependencies.RetryBudgetSettings(
                settings.retry_share,
                settings.retry_extra,
                settings.retry_window_ms,
            ),
            entries=ASSUMED_ENTRIES,
            directory=self._directory,
            limits=self._limits,
            backoff=self._backoff,
            quotas=self._quota_parts.quotas,
            request_load=self._request_load,
            random_source=self._random,
            versions=self._version_parts.versions,
            origins=self._version_parts.origins,
            proof=self._version_parts.proof,
            freshness=configuration_freshness.ConfigurationFreshness(
                self._clock,
                dependencies.connection.confirmation,
                settings.max_unconfirmed_ms
                if settings.refuses_unconfirmed_keys
                else None,
                self._log,
            ),
        )
        self._request_dependencies.choice.prefer_idle(self._pool.has_idle)
        self._gateway = gateway_module.Gateway(
            self._request_dependencies, self._configuration, self._random
        )

    def _build_fleet_client(self) -> None:
        settings = self._settings
        self._own_address = str(
            address_module.Address(settings.ip, settings.fleet_port)
        )
        self._dialer = fleet_dialer.FleetDialer(self._reactor, self._clock)
        self._fleet_client = fleet_client.FleetClient(
            self._clock,
            settings.vm,
            settings.availability_zone,
            self._own_address,
            self._request_dependencies.assignments,
            self._limits,
            self._quota_parts.quotas,
            self._quota_parts.standby_link,
            workspace_use.UseReport(
                self._clock,
                self._configuration,
                self._request_dependencies.room,
                self._metrics.workspaces,
                self._log,
            ),
            self._directory,
            self._gateway.count_running,
            self._gateway.take_arrivals,
            self._gateway.count_queued,
            self._connect_to_coordinator,
            self._on_entries,
            self._waits,
            self._request_dependencies.forecast,
            self._request_dependencies.suspects,
            self._origin_parts.exchange,
            self._on_store_changes,
            self._dependencies.connection.stop_relay,
            held_configuration.HeldConfigurationReader(
                self._clock, self._configuration, self._apply_document
            ),
            self._log,
        )
        self._fleet_server = fleet_server.FleetServer(
            settings.vm, self._fleet_client.on_message
        )

    def _build_coordinator(self) -> None:
        parts = order_parts.OrderParts(
            self._clock,
            self._random,
            self._dependencies,
            self._settings,
            self._own_address,
            self._fleet_client.on_coordinator_changed,
            lambda: self._fleet_server.count,
            self._log,
        )
        self._election = parts.election
        self._dependencies.engines.set_backoff(self._backoff)
        permits = permit_issuer.PermitIssuer(
            self._clock, self._limits, self._fleet_size
        )
        self._coordinator = coordinator_module.Coordinator(
            self._clock,
            self._configuration,
            self._directory,
            parts.authority,
            limited_engine_control.LimitedEngineControl(
                self._clock,
                self._dependencies.engines,
                self._limits,
                permits,
                self._directory,
                self._backoff,
            ),
            self._fleet_server,
            self._log,
            self._limits,
            permits,
            self._quota_parts.issuer,
            self._fleet_size,
            self._origin_parts.merger,
        )
        self._fleet_server.set_coordinator(self._coordinator)
        self._fleet_server.set_standby(self._quota_parts.standby)
        self._relay = store_relay.StoreRelay(
            self._dependencies.servers_prefix,
            self._dependencies.read_server,
            self._fleet_server.broadcast,
        )

    def watch_log(self, count_dropped: Callable[[], int]) -> None:
        """Export the number of log lines dropped because of a slow reader."""
        self._metrics.watch_log(count_dropped)

    def start(self) -> None:
        """Watch the store and listen on all ports."""
        settings = self._settings
        self._log.start()
        self._pool.start()
        self._follow_store()
        self._election.start()
        self._coordinator.start()
        self._fleet_client.start()
        self._listen()
        eliot.log_message(
            "daemon_started",
            version=balsamwall.__version__,
            vm=settings.vm,
            availability_zone=settings.availability_zone,
            callers=str(settings.callers),
        )

    def _follow_store(self) -> None:
        dependencies = self._dependencies
        dependencies.connection.add_state_listener(
            self._server_feed.on_store_state
        )
        dependencies.connection.add_update_listener(self._on_store_update)
        dependencies.connection.add_restore_listener(
            self._version_parts.proof.on_restored
        )
        dependencies.store.watch(
            dependencies.configuration_key, self._on_configuration
        )
        dependencies.store.watch(
            dependencies.servers_prefix, self._on_server, is_prefix=True
        )
        self._election.follow()
        dependencies.connection.keep_no_items(origin_log.PREFIX)
        self._origin_parts.start()
        self._quota_parts.entry_count.start()
        self._version_parts.start()
        dependencies.connection.start()

    def _listen(self) -> None:
        settings = self._settings
        self._reactor.listenTCP(
            settings.fleet_port,
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
            settings.metrics_port,
            listeners.text_site({"metrics": self._metrics_page}),
            interface=settings.ip,
        )

    def stop(self) -> None:
        """Drain requests for up to the grace time, then stop the reactor."""
        self._election.stop()
        eliot.log_message(
            "daemon_stopping", requests=self._gateway.active_requests
        )
        self._gateway.begin_drain(self._settings.grace_ms, self._on_drained)

    def _on_drained(self) -> None:
        eliot.log_message(
            "daemon_stopped", requests=self._gateway.active_requests
        )
        self._dependencies.connection.stop()
        self._reactor.stop()

    def _ready_page(self) -> tuple[int, bytes]:
        return (200, b"ready\n") if self._gateway.is_ready else (503, b"\n")

    def _metrics_page(self) -> tuple[int, bytes]:
        return 200, self._metrics.render()

    def _on_configuration(self, item: key_value_service.KeyValue) -> None:
        if item.value is not None:
            version = self._apply_document(item.value, item.revision)
            if version is not None:
                self._configuration.on_stored(version)

    def _apply_document(
        self, document: bytes, revision: int | None = None
    ) -> int | None:
        """Apply a configuration from the store, or from the coordinator.

        Return its version, None if it is unreadable. The revision is None for
        one that the coordinator holds and the store has lost.
        """
        try:
            configuration = self._dependencies.read_configuration(document)
        except ValueError as error:
            eliot.log_message(
                "configuration_unreadable",
                revision=revision,
                reason=str(error)[:200],
            )
            return None
        if self._configuration.offer(configuration, document):
            eliot.log_message(
                "configuration_in_force",
                version=configuration.version,
                revision=revision,
            )
            self._version_parts.versions.on_configuration()
            self._gateway.on_configuration()
        return configuration.version

    def _on_server(self, item: key_value_service.KeyValue) -> None:
        server_id = item.key.removeprefix(self._dependencies.servers_prefix)
        self._server_feed.on_record(
            server_id, item.value, is_restored=item.is_restored
        )

    def _max_idle_connections(
        self, record: backend_directory.ServerRecord
    ) -> int:
        current = self._configuration.current
        spec = current.services.get(record.service) if current else None
        if spec is None:
            return 1
        return connection_pool.max_idle(
            spec.max_connections, record.slots, self._fleet_size.count
        )

    def _on_server_gone(self, server: backend_directory.BackendServer) -> None:
        self._pool.close_idle(server.server_id)
        self._request_dependencies.suspects.on_server_lost(server.record)

    def _on_entries(self, count: int) -> None:
        """Update the number of entries that share the fleet-wide limits."""
        self._fleet_size.observe(count)
        self._quota_parts.fleet_size.observe(count)
        current = self._configuration.current
        has_workspaces = current is not None and current.workspaces is not None
        if has_workspaces and self._coordinator.is_active:
            self._quota_parts.entry_count.update(
                self._quota_parts.fleet_size.count
            )
        self._request_dependencies.set_entries(self._fleet_size.count)
        # The coordinator reads for all entries.
        readers = 1 if self._coordinator.is_active else count
        self._dependencies.connection.set_readers(readers)

    def _on_store_update(self, update: key_value_service.StoreUpdate) -> None:
        """Relay what the coordinator has read to the other entries."""
        if self._coordinator.is_active:
            self._relay.on_update(update)
        else:
            self._relay.reset()

    def _on_store_changes(self, changes: messages_fleet.StoreChanges) -> None:
        """Apply what the coordinator relays, unless it is this process."""
        if self._coordinator.is_active:
            return
        try:
            update = store_relay.decode_changes(changes)
        except ValueError as error:
            eliot.log_message(
                "store_changes_unreadable", reason=str(error)[:200]
            )
            return
        self._dependencies.connection.apply_update(update)

    # Coordinator

    def _request_load(self, wanted: residency_waits.WantedModel) -> None:
        self._log.write(
            "load_wanted",
            service=wanted.service,
            model=wanted.model,
            adapter=wanted.adapter,
        )
        self._fleet_client.request_load(wanted)

    def _connect_to_coordinator(
        self, address: str
    ) -> fleet_client.Link | None:
        """Connect to the coordinator; return a link if it is this process."""
        if address == self._own_address:
            return local_link.LocalLink(self._fleet_server)
        self._dialer.connect(
            address, self._fleet_client, self._fleet_client.on_connect_failed
        )
        return None
