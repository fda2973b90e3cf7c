"""Client of an entry for the active coordinator."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

from balsamwall.coordination import crash_reports
from balsamwall.coordination import demand_source
from balsamwall.coordination import entry_features
from balsamwall.coordination import leaving_exchange
from balsamwall.coordination import limit_rows
from balsamwall.coordination import messages_fleet
from balsamwall.coordination import speed_exchange

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from balsamwall.coordination import fleet_stream
    from balsamwall.coordination import held_configuration
    from balsamwall.coordination import origin_exchange
    from balsamwall.coordination import standby_link
    from balsamwall.coordination import workspace_use
    from balsamwall.gateway import assignment_client
    from balsamwall.gateway import backend_directory
    from balsamwall.gateway import broken_request
    from balsamwall.gateway import crash_suspects
    from balsamwall.gateway import residency_waits
    from balsamwall.gateway import server_limits
    from balsamwall.gateway import wait_forecast
    from balsamwall.gateway import workspace_quotas
    from balsamwall.limits import limit_book
    from balsamwall.logs import decision_log
    from balsamwall.protocol import message
    from balsamwall.timing import clock as clock_module

# Interval of the demand reports and first delay between connection attempts.
REPORT_INTERVAL_MS = 200
# A former coordinator closes new streams at once. The delay between connection
# attempts doubles up to this value until an active coordinator has responded.
MAX_RECONNECT_MS = 800
# The coordinator sends its state every 250 ms. Without one for this time it is
# taken for lost.
SILENCE_MS = 1_000


class Link(Protocol):
    """Connection to the coordinator, over TCP or within the process."""

    def send(self, item: message.Message) -> None:
        """Send a message; delivery is not confirmed."""

    def close(self) -> None:
        """Close the connection."""


class FleetClient:
    """Report demand, request loads and receive the state of the fleet."""

    __slots__ = (
        "_assignments",
        "_clock",
        "_demand",
        "_open_link",
        "_crashes",
        "_directory",
        "_features",
        "_forecast",
        "_connecting_address",
        "_coordinator_address",
        "_heard_ms",
        "_is_connecting",
        "_configuration_reader",
        "_leaving",
        "_limits",
        "_link",
        "_log",
        "_next_connect_ms",
        "_on_entry_count",
        "_on_link_lost",
        "_on_store_changes",
        "_origins",
        "_quotas",
        "_reconnect_ms",
        "_speeds",
        "_standby",
        "_suspects",
        "_use",
        "_vm",
        "_waits",
        "_zone",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        vm: str,
        zone: str,
        address: str,
        assignments: assignment_client.AssignmentClient,
        limits: server_limits.ServerLimits,
        quotas: workspace_quotas.WorkspaceQuotas,
        standby: standby_link.StandbyLink,
        use: workspace_use.UseReport,
        directory: backend_directory.BackendDirectory,
        count_running: Callable[[], list[list[object]]],
        take_arrivals: Callable[[], dict[str, list[int]]],
        count_queued: Callable[[], dict[str, int]],
        open_link: Callable[[str], Link | None],
        on_entry_count: Callable[[int], None],
        waits: residency_waits.ResidencyWaits,
        forecast: wait_forecast.WaitForecast,
        suspects: crash_suspects.CrashSuspects,
        origins: origin_exchange.OriginExchange,
        on_store_changes: Callable[[messages_fleet.StoreChanges], None],
        on_link_lost: Callable[[], None],
        configuration_reader: held_configuration.HeldConfigurationReader,
        log: decision_log.DecisionLog,
    ) -> None:
        self._clock = clock
        self._vm = vm
        self._zone = zone
        self._crashes = crash_reports.CrashReports()
        self._configuration_reader = configuration_reader
        self._leaving = leaving_exchange.LeavingReports(directory, log)
        self._features = entry_features.FeatureAnnouncement(address)
        self._assignments = assignments
        assignments.set_link(self)
        self._limits = limits
        limits.set_link(self)
        self._quotas = quotas
        quotas.set_link(self)
        self._standby = standby
        self._directory = directory
        self._speeds = speed_exchange.SpeedExchange(clock, directory, log)
        self._use = use
        self._demand = demand_source.DemandSource(
            directory, waits, count_running, take_arrivals, count_queued
        )
        self._open_link = open_link
        self._on_entry_count = on_entry_count
        self._forecast = forecast
        self._suspects = suspects
        suspects.set_link(self)
        self._origins = origins
        origins.set_link(self)
        self._on_store_changes = on_store_changes
        self._on_link_lost = on_link_lost
        self._log = log
        self._waits = waits
        self._coordinator_address = ""
        self._connecting_address = ""
        self._link: Link | None = None
        self._is_connecting = False
        self._reconnect_ms = REPORT_INTERVAL_MS
        self._next_connect_ms = 0
        self._heard_ms = 0

    def start(self) -> None:
        """Connect, then report the demand every REPORT_INTERVAL_MS."""
        self._standby.start()
        self._run()

    def _run(self) -> None:
        self._clock.call_later(REPORT_INTERVAL_MS, self._run)
        if self._link is None:
            self._connect()
        else:
            self._report()

    def on_coordinator_changed(self, address: str) -> None:
        """Connect to a new coordinator; an empty address means none."""
        if address == self._coordinator_address:
            return
        self._log.write("holder_changed", holder=address)
        self._coordinator_address = address
        self._next_connect_ms = 0
        self._standby.on_coordinator_changed(address)
        link, self._link = self._link, None
        if link is not None:
            link.close()
            self._standby.on_coordinator_lost()
            self._origins.on_link_lost()
            self._on_link_lost()
        self._connect()

    def send_query(
        self, number: int, query: assignment_client.PromptQuery
    ) -> bool:
        """Ask for the server of a prompt; return False if not connected."""
        if self._link is None:
            return False
        self._link.send(
            messages_fleet.PromptQuery(
                number,
                query.service,
                query.model,
                query.adapter,
                self._zone,
                query.tokens,
                query.cached_at,
                query.cached_tokens,
            )
        )
        return True

    def send_permit_query(self, number: int, server_id: str) -> bool:
        """Ask for a permit for a server; return False if not connected."""
        if self._link is None:
            return False
        self._link.send(messages_fleet.PermitQuery(number, server_id))
        return True

    def send_quota_query(
        self, number: int, workspace: str, cost: int, reserve: int
    ) -> bool:
        """Ask for tokens of a workspace; return False if not connected.

        The standby is connected until a coordinator has sent a message.
        """
        query = messages_fleet.QuotaQuery(number, workspace, cost, reserve)
        if self._standby.send_query(query):
            return True
        if self._link is None:
            return False
        self._link.send(query)
        return True

    def report_limits(self, found: list[limit_book.LimitObservation]) -> None:
        """Report limits of servers, if connected."""
        if self._link is not None:
            self._link.send(limit_rows.encode(found, self._clock.now_ms()))

    def request_load(self, wanted: residency_waits.WantedModel) -> None:
        """Request the load of a model or adapter, if connected."""
        if wanted.software_version and self._origins.is_accepted:
            self._report_bound()
        elif self._link is not None:
            self._link.send(
                messages_fleet.LoadWanted(
                    wanted.service, wanted.model, wanted.adapter
                )
            )

    @property
    def is_coordinated(self) -> bool:
        """Return whether a coordinator has been heard of just now."""
        silent_ms = self._clock.now_ms() - self._heard_ms
        return self._link is not None and silent_ms <= SILENCE_MS

    def report_broken(self, broken: broken_request.BrokenRequest) -> None:
        """Report a request that broke at a server process, if connected."""
        if self._link is not None:
            now_ms = self._clock.now_ms()
            self._link.send(self._crashes.encode(broken, now_ms))

    def report_lost(self, process: str) -> None:
        """Report the loss of a server process, if connected."""
        if self._link is not None:
            self._link.send(messages_fleet.ProcessLost(process))

    def report_proven(self, fingerprints: Iterable[bytes]) -> None:
        """Report content of a request whose response went on."""
        if self._link is not None:
            self._link.send(messages_fleet.ProofReport(list(fingerprints)))

    def report_origins(self, item: messages_fleet.StreamOriginReport) -> None:
        """Report at which versions streams began, if connected."""
        if self._link is not None:
            self._link.send(item)

    def on_message(self, item: message.Message) -> None:
        """Apply a message from the coordinator."""
        self._standby.on_coordinator_heard()
        self._heard_ms = self._clock.now_ms()
        if isinstance(item, messages_fleet.ServerModels):
            self._waits.set_fleet_counts(item.waiting)
            self._directory.set_models(
                item.server_id,
                item.started_ms,
                {
                    model: frozenset(adapters)
                    for model, adapters in item.models.items()
                },
            )
        elif isinstance(item, messages_fleet.PromptAssignment):
            self._assignments.on_response(item.number, item.server_id)
        elif isinstance(item, messages_fleet.PermitDecision):
            self._limits.on_permit(item.number, item.wait_ms)
        elif isinstance(item, messages_fleet.QuotaGrant):
            self._quotas.on_grant(
                item.number, item.tokens, item.wait_ms, item.is_scarce
            )
        elif isinstance(item, messages_fleet.LimitReport):
            limit_rows.apply(
                item, self._clock.now_ms(), self._limits, self._log
            )
        elif isinstance(item, messages_fleet.ProofQuery):
            since_ms = self._clock.now_ms() - item.within_ms
            self._suspects.watch(item.content, since_ms)
        elif isinstance(item, messages_fleet.QuarantineNotice):
            self._suspects.hold_back(
                frozenset(item.fingerprints), item.remaining_ms
            )
        elif isinstance(item, messages_fleet.ServerSpeeds):
            self._speeds.apply(item)
        elif isinstance(item, messages_fleet.StreamOriginReport):
            self._origins.apply(item)
        elif isinstance(item, messages_fleet.ServerLeavingReport):
            self._leaving.apply(item)
        elif isinstance(item, messages_fleet.HeldConfiguration):
            self._configuration_reader.apply(item)
        elif isinstance(item, messages_fleet.FleetWorkspaceUse):
            self._use.apply(item)
        elif isinstance(item, messages_fleet.StoreChanges):
            self._on_store_changes(item)
        elif isinstance(item, messages_fleet.StandbyNotice):
            self._standby.on_notice(item)
        elif isinstance(item, messages_fleet.QuotaLevels):
            self._standby.on_levels(item)
        elif isinstance(item, messages_fleet.FleetState):
            self._on_fleet_state(item)

    def _on_fleet_state(self, state: messages_fleet.FleetState) -> None:
        """Apply the state of the fleet, which only a coordinator sends."""
        self._reconnect_ms = REPORT_INTERVAL_MS
        self._on_entry_count(state.entries)
        self._forecast.on_state(state.loads_due, state.queued)
        self._use.on_fleet_queued(state.queued)
        self._speeds.on_loads(state.loads)
        self._origins.on_loads(state.loads)
        self._leaving.on_loads(state.loads)
        if self._crashes.on_loads(state.loads):
            self._suspects.repeat_reports()
        features = self._features.on_loads(state.loads)
        if features is not None and self._link is not None:
            self._link.send(features)
        query = self._configuration_reader.on_loads(state.loads)
        if query is not None and self._link is not None:
            self._link.send(query)
        now_ms = self._clock.now_ms()
        for server in self._directory.all_servers():
            load = state.loads.get(server.server_id, 0)
            server.set_fleet_load(load, now_ms)

    # Stream to another process

    def on_stream_opened(self, stream: fleet_stream.FleetStream) -> None:
        """Identify this entry to the coordinator and send a first report.

        Another process may have become coordinator in the meantime. The former
        one, if it is cut off from the store, would go on with this entry.
        """
        self._is_connecting = False
        if self._connecting_address != self._coordinator_address:
            stream.close()
            self._next_connect_ms = 0
            self._connect()
            return
        self._link = stream
        stream.send(messages_fleet.FleetHello(self._vm))
        self._log.write("holder_connected", holder=self._coordinator_address)
        self._introduce()

    def on_stream_message(
        self, stream: fleet_stream.FleetStream, item: message.Message
    ) -> None:
        """Apply a message from the coordinator, not from a former one."""
        if stream is self._link:
            self.on_message(item)

    def on_stream_closed(self, stream: fleet_stream.FleetStream) -> None:
        """Use the models in the server records until a new stream is open.

        The end of a stream that has been replaced has no effect.
        """
        if stream is not self._link:
            return
        self._link = None
        self._log.write("holder_lost", holder=self._coordinator_address)
        self._directory.use_record_models()
        self._origins.on_link_lost()
        self._on_link_lost()
        self._standby.on_coordinator_lost()

    def on_connect_failed(self) -> None:
        """Allow the next connection attempt."""
        self._is_connecting = False

    def _connect(self) -> None:
        now_ms = self._clock.now_ms()
        if not self._coordinator_address or self._is_connecting:
            return
        if now_ms < self._next_connect_ms:
            return
        self._is_connecting = True
        self._connecting_address = self._coordinator_address
        self._next_connect_ms = now_ms + self._reconnect_ms
        self._reconnect_ms = min(MAX_RECONNECT_MS, 2 * self._reconnect_ms)
        link = self._open_link(self._coordinator_address)
        if link is not None:
            # The coordinator is in this process.
            self._is_connecting = False
            self._link = link
            self._introduce()

    def _introduce(self) -> None:
        """Send all that a new coordinator needs to know of this entry."""
        self._heard_ms = self._clock.now_ms()
        self._speeds.restart()
        self._origins.on_connected()
        self._features.restart()
        self._crashes.restart()
        self._leaving.restart()
        observations = self._limits.book.observations()
        if observations:
            self.report_limits(observations)
        # What is held back explains crashes that are reported after it.
        for content, left_ms in self._suspects.quarantine.entries():
            self._send_quarantine(content, left_ms)
        self._suspects.repeat_reports()
        self._report()

    def _send_quarantine(
        self, content: frozenset[bytes], left_ms: int
    ) -> None:
        """Tell a coordinator that may not know it what is held back."""
        if self._link is not None:
            self._link.send(
                messages_fleet.QuarantineNotice(sorted(content), left_ms)
            )

    def _report_bound(self) -> None:
        """Report the streams that wait for a model at a version."""
        if self._link is None or not self._origins.is_accepted:
            return
        bound = self._demand.bound_report()
        if bound is not None:
            self._link.send(bound)

    def _report(self) -> None:
        if self._link is None:
            return
        self._limits.report_changes()
        demand = self._demand.report()
        self._link.send(demand)
        self._report_bound()
        self._use.set_queued(demand.queued)
        use = self._use.take() if self._features.is_accepted else None
        if use is not None:
            self._link.send(use)
        leaving = self._leaving.take()
        if leaving is not None:
            self._link.send(leaving)
        speeds = self._speeds.report()
        if speeds is not None:
            self._link.send(speeds)
