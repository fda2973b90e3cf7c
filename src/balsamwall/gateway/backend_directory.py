"""Keep the backend servers that requests may be sent to."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from balsamwall.gateway import server_speed

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

# Requests take a few seconds, so an older report no longer reflects the load.
REPORT_MAX_AGE_MS = 3_000
# The coordinator sends the fleet load several times a second. If it is lost,
# its last report must not make a server look full for longer than this.
FLEET_LOAD_MAX_AGE_MS = 1_000
# Engines prefill a prompt within a few hundred milliseconds, so an older
# report no longer shows how many requests are queued.
WAITING_MAX_AGE_MS = 300
# Requests that wait for a server which refused a connection try it once in
# this time. It has probably crashed, and its record expires soon.
CONNECT_TRIAL_MS = 300
# The record of a crashed server expires within this time, so that requests
# may still be sent to it.
CRASH_NOTICE_MS = 4_000
# Number of removed processes that are remembered.
MAX_DEPARTED_SERVERS = 2_000


@dataclasses.dataclass(slots=True, frozen=True)
class ServerRecord:
    """Hold the record that a backend server publishes about itself."""

    server_id: str
    service: str
    host: str
    port: int
    availability_zone: str
    slots: int
    is_draining: bool
    started_ms: int  # wall clock; a new value means a new process
    models: dict[str, frozenset[str]]  # resident adapters by model
    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()
    remaining_ms: int | None = None  # until the VM is removed at short notice
    software_version: str = ""  # of the server, empty if it states none
    # Number of the record, which grows while the process lives; None if it
    # states none.
    sequence: int | None = None

    def is_of_process(self, other: ServerRecord) -> bool:
        """Return whether another record belongs to the same process."""
        return (
            self.started_ms == other.started_ms
            and self.service == other.service
            and (self.host, self.port) == (other.host, other.port)
            and self.software_version == other.software_version
        )

    def is_older_than(self, other: ServerRecord) -> bool:
        """Return whether the same process has written another one since."""
        if self.sequence is None or other.sequence is None:
            return False
        return self.is_of_process(other) and self.sequence < other.sequence


class BackendServer:
    """Hold a backend server with its load as this entry knows it."""

    __slots__ = (
        "_broken_ms",
        "_fleet_load",
        "_fleet_load_at_ms",
        "_next_trial_ms",
        "failure_share",
        "has_announced_leaving",
        "in_flight",
        "is_leaving",
        "is_version_recorded",
        "has_issuer_models",
        "pending_tokens",
        "reported_waiting",
        "models",
        "ejected_until_ms",
        "record",
        "reported_load",
        "reported_ms",
        "sent_since_report",
        "speed",
    )

    def __init__(
        self,
        record: ServerRecord,
        now_ms: int,
        speed: server_speed.ServerSpeed | None = None,
    ) -> None:
        self.record = record
        self.speed = speed or server_speed.ServerSpeed(
            server_speed.ServiceSpeeds(), now_ms
        )
        self.models: dict[str, frozenset[str]] = record.models
        self.is_leaving = record.is_draining
        # Whether it has announced in a response that it leaves.
        self.has_announced_leaving = False
        # Whether requests may be sent: see SoftwareVersions.
        self.is_version_recorded = True
        # If set, models come from the coordinator, which issues the orders and
        # knows the models before the record does.
        self.has_issuer_models = False
        self._fleet_load = 0
        self._fleet_load_at_ms = now_ms
        self.in_flight = 0
        self.reported_load = 0
        self.reported_ms = 0
        self.sent_since_report = 0
        # Prompt tokens sent by this entry whose responses have not begun.
        self.pending_tokens = 0
        self.reported_waiting = 0
        self.failure_share = 0.0
        self.ejected_until_ms = 0
        # When a response broke off, None after a later response.
        self._broken_ms: int | None = None
        # When a connection may be tried again, None if it is reachable.
        self._next_trial_ms: int | None = None

    @property
    def server_id(self) -> str:
        """Return the instance identifier, which requests carry as expected."""
        return self.record.server_id

    @property
    def is_ready(self) -> bool:
        """Return whether the server accepts new requests."""
        return self.is_version_recorded and not self.is_leaving

    def load(self, now_ms: int) -> float:
        """Return the estimated number of running and waiting requests.

        The last report of the server covers the requests of all entries. The
        requests that this entry has sent or seen end since then are added or
        subtracted, and the weight of the report decreases with its age. The
        result is at least a recent fleet load and at least the requests of
        this entry.
        """
        age_ms = now_ms - self.reported_ms
        weight = max(0.0, 1.0 - age_ms / REPORT_MAX_AGE_MS)
        estimate = self.reported_load * weight + self.sent_since_report
        if now_ms - self._fleet_load_at_ms <= FLEET_LOAD_MAX_AGE_MS:
            estimate = max(estimate, float(self._fleet_load))
        return max(float(self.in_flight), estimate)

    @property
    def fleet_load(self) -> int:
        """Return the open requests of all entries in the last report."""
        return self._fleet_load

    @property
    def fleet_load_at_ms(self) -> int:
        """Return when the coordinator reported the fleet load."""
        return self._fleet_load_at_ms

    def set_fleet_load(self, load: int, now_ms: int) -> None:
        """Set the open requests of all entries, as the coordinator reports."""
        self._fleet_load = load
        self._fleet_load_at_ms = now_ms

    def on_sent(self) -> None:
        """Count a request sent by this entry."""
        self.in_flight += 1
        self.sent_since_report += 1

    def on_ended(self) -> None:
        """Count the end of a request sent by this entry."""
        self.in_flight -= 1
        self.sent_since_report -= 1

    def on_response(self) -> None:
        """Record that the process lives, whatever broke before."""
        self._broken_ms = None
        self._next_trial_ms = None

    def on_broken(self, now_ms: int) -> None:
        """Record that a response of this process broke off."""
        self._broken_ms = now_ms

    def on_not_connected(self, now_ms: int) -> None:
        """Record that no connection to this process was made."""
        self._next_trial_ms = now_ms + CONNECT_TRIAL_MS

    def is_trial_due(self, now_ms: int) -> bool:
        """Return whether one request may find out if it is reachable."""
        return self._next_trial_ms is None or now_ms >= self._next_trial_ms

    def begin_trial(self, now_ms: int) -> None:
        """Let no other request try a server that may be unreachable."""
        if self._next_trial_ms is not None:
            self._next_trial_ms = now_ms + CONNECT_TRIAL_MS

    def had_broken_before(self, sent_ms: int) -> bool:
        """Return whether the process was probably gone before a send."""
        broken_ms = self._broken_ms
        return (
            broken_ms is not None
            and broken_ms <= sent_ms <= broken_ms + CRASH_NOTICE_MS
        )

    def waiting(self, now_ms: int) -> float:
        """Return the reported number of queued requests, weighted by age."""
        age_ms = now_ms - self.reported_ms
        weight = max(0.0, 1.0 - age_ms / WAITING_MAX_AGE_MS)
        return self.reported_waiting * weight

    def on_report(self, running: int, waiting: int, now_ms: int) -> None:
        """Set the load that the server has reported in a response."""
        self.reported_load = running + waiting
        self.reported_waiting = waiting
        self.reported_ms = now_ms
        self.sent_since_report = 0

    def has(self, model: str, adapter: str) -> bool:
        """Return whether a model and, if given, its adapter are resident."""
        adapters = self.models.get(model)
        return adapters is not None and (not adapter or adapter in adapters)


@dataclasses.dataclass(slots=True, frozen=True)
class _DepartedServer:
    """Last state of a process that was removed."""

    record: ServerRecord
    was_leaving: bool


class BackendDirectory:
    """Keep the known backend servers, by identifier and by service."""

    __slots__ = (
        "_by_service",
        "_departed",
        "_now_ms",
        "_on_change_listeners",
        "_on_removed_listeners",
        "_servers",
        "speeds",
    )

    def __init__(self, now_ms: Callable[[], int]) -> None:
        self._now_ms = now_ms
        self._servers: dict[str, BackendServer] = {}
        self._by_service: dict[str, dict[str, BackendServer]] = {}
        self._departed: dict[str, _DepartedServer] = {}
        self.speeds = server_speed.SpeedTable()
        self._on_change_listeners: list[Callable[[BackendServer], None]] = []
        self._on_removed_listeners: list[Callable[[BackendServer], None]] = []

    def add_listener(
        self,
        on_change: Callable[[BackendServer], None],
        on_removed: Callable[[BackendServer], None],
    ) -> None:
        """Register callbacks for changed and for removed servers."""
        self._on_change_listeners.append(on_change)
        self._on_removed_listeners.append(on_removed)

    def get(self, server_id: str) -> BackendServer | None:
        """Return a server, or None if it is unknown."""
        return self._servers.get(server_id)

    def all_servers(self) -> Iterable[BackendServer]:
        """Return all known servers, including those that are draining."""
        return self._servers.values()

    def servers_of(self, service: str) -> Iterable[BackendServer]:
        """Return all known servers of a service, like `all_servers`."""
        return self._by_service.get(service, {}).values()

    def ready_servers(self, service: str) -> list[BackendServer]:
        """Return the servers of a service that accept new requests."""
        known = self._by_service.get(service, {})
        return [server for server in known.values() if server.is_ready]

    def holders(
        self, service: str, model: str, adapter: str
    ) -> list[BackendServer]:
        """Return the ready servers that hold a model and its adapter.

        Without a model, they are all ready servers.
        """
        ready = self.ready_servers(service)
        if not model:
            return ready
        return [server for server in ready if server.has(model, adapter)]

    def put(self, record: ServerRecord) -> None:
        """Add a server or update its record.

        A record of a new process replaces the server with its counters.
        """
        server = self._servers.get(record.server_id)
        if server is not None and not record.is_of_process(server.record):
            self.remove(record.server_id)
            server = None
        if server is None:
            now_ms = self._now_ms()
            departed = self._departed.pop(record.server_id, None)
            speed = self.speeds.add(record.service, record.server_id, now_ms)
            server = BackendServer(record, now_ms, speed)
            self._servers[record.server_id] = server
            servers = self._by_service.setdefault(record.service, {})
            servers[record.server_id] = server
            if departed is not None and record.is_of_process(departed.record):
                server.is_leaving = departed.was_leaving
        if not server.has_issuer_models:
            server.models = record.models
        server.record = record
        # A drain is never reverted for the same process.
        server.is_leaving = server.is_leaving or record.is_draining
        for listener in self._on_change_listeners:
            listener(server)

    def set_models(
        self,
        server_id: str,
        started_ms: int,
        models: dict[str, frozenset[str]],
    ) -> None:
        """Set the resident models that the coordinator reports.

        A report about another process of the server is ignored.
        """
        server = self._servers.get(server_id)
        if server is None or server.record.started_ms != started_ms:
            return
        server.has_issuer_models = True
        if server.models == models:
            return
        server.models = models
        for listener in self._on_change_listeners:
            listener(server)

    def set_version_recorded(
        self, server: BackendServer, is_recorded: bool
    ) -> None:
        """Set whether the software version of a server is recorded."""
        if server.is_version_recorded == is_recorded:
            return
        server.is_version_recorded = is_recorded
        for listener in self._on_change_listeners:
            listener(server)

    def mark_leaving(self, server_id: str, started_ms: int) -> bool:
        """Take a server out that has announced that it leaves.

        It counts for this process of the server, whatever its record says.
        Return whether the announcement is new.
        """
        server = self._servers.get(server_id)
        if server is None:
            return self._mark_departed_leaving(server_id, started_ms)
        if server.record.started_ms != started_ms:
            return False
        if server.has_announced_leaving:
            return False
        server.has_announced_leaving = True
        server.is_leaving = True
        for listener in self._on_change_listeners:
            listener(server)
        return True

    def _mark_departed_leaving(self, server_id: str, started_ms: int) -> bool:
        """Record the leaving of a process that is not listed any more.

        It may still serve what it has begun, and its record may return.
        """
        departed = self._departed.get(server_id)
        if departed is None or departed.record.started_ms != started_ms:
            return False
        if departed.was_leaving:
            return False
        self._departed[server_id] = _DepartedServer(departed.record, True)
        return True

    def announced_leaving(self) -> dict[str, int]:
        """Return the start times of the servers that announced to leave."""
        return {
            server.server_id: server.record.started_ms
            for server in self._servers.values()
            if server.has_announced_leaving
        }

    def drop_model(self, server_id: str, model: str, adapter: str) -> None:
        """Remove a model or adapter that a server turned out not to hold.

        The listeners are not notified.
        """
        server = self._servers.get(server_id)
        if server is None or not server.has(model, adapter):
            return
        models = dict(server.models)
        if adapter:
            models[model] = models[model] - {adapter}
        else:
            del models[model]
        server.models = models

    def use_record_models(self) -> None:
        """Take the models from server records, without a coordinator.

        The models of a server change with its next record.
        """
        for server in self._servers.values():
            server.has_issuer_models = False

    def has_departed(self, record: ServerRecord) -> bool:
        """Return whether the process of a record was removed before."""
        departed = self._departed.get(record.server_id)
        return departed is not None and record.is_of_process(departed.record)

    def _record_departed(self, server: BackendServer) -> None:
        """Remember a removed process, in case that its record returns."""
        self._departed.pop(server.server_id, None)
        self._departed[server.server_id] = _DepartedServer(
            server.record, server.is_leaving
        )
        if len(self._departed) > MAX_DEPARTED_SERVERS:
            del self._departed[next(iter(self._departed))]

    def remove(self, server_id: str) -> None:
        """Remove a server and notify the listeners."""
        server = self._servers.pop(server_id, None)
        if server is None:
            return
        self._record_departed(server)
        server.is_leaving = True
        self._by_service[server.record.service].pop(server_id, None)
        self.speeds.remove(server.record.service, server_id)
        for listener in self._on_removed_listeners:
            listener(server)
