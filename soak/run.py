"""Run of one soak: a seed, its faults and the violated guarantees."""

from __future__ import annotations

import dataclasses
import json
import pathlib
import random

from twisted.internet import reactor
from twisted.web import server

from soak import announcements as announcements_module
from soak import backend_server
from soak import caller as caller_module
from soak import checks
from soak import configuration
from soak import entry as entry_module
from soak import faults
from soak import features as features_module
from soak import ledger as ledger_module
from soak import participants
from soak import poison_part
from soak import proxy as proxy_module
from soak import refusal_checks
from soak import report as report_module
from soak import resumption_checks
from soak import route_probe as route_probe_module
from soak import store as store_module
from soak import version_faults
from soak import workspaces as workspaces_module

# Record of all requests, beside the logs of the entries.
REQUESTS_FILE = "requests.json"
ENTRIES = 3
START_DELAY_S = 2.5
START_DELAY_OF_ENTRY_S = 0.2
RECOVERY_S = 5.0
# Requests sent after the recovery show whether service is fully restored.
PROBE_S = 2.0
MIN_SERVED_SHARE = 0.85
MAX_FAULT_S = 2.5
MAX_PAUSE_S = 1.2
POLL_S = 0.05
# A poll that is delayed by more than this shows that the VM is too loaded
# for the time limits that a soak checks.
STALL_MS = 400
# Long enough for a draining server to finish the requests it has accepted.
DRAIN_S = 4.5
# Every fifth seed has planned operations only, which must not interrupt any
# request.
PLANNED_ONLY_PERIOD = 5
# Share of the seeds that begin with a part of prompts that crashes engines.
POISON_SHARE = 0.5
# Keys stay as they are from this time before the probe, so that each valid
# key is in force during the probe.
KEY_REST_S = 3.5


@dataclasses.dataclass(slots=True, frozen=True)
class Options:
    """Choices of the command line beside the seed and the duration."""

    entries: int = ENTRIES
    # Faults and features of the run, all that the seed has if empty.
    only: frozenset[str] = frozenset()
    # Checkout whose entries run.
    source: pathlib.Path = entry_module.ROOT


class Soak:
    """Store, backend servers, entries and callers of one seed."""

    def __init__(
        self,
        seed: int,
        duration_s: float,
        folder: pathlib.Path,
        options: Options,
    ) -> None:
        self.random = random.Random(seed)
        self._only = options.only
        self._seed = seed
        self._duration_s = duration_s
        self.ledger = ledger_module.Ledger()
        self.data = store_module.StoreData()
        self.site = store_module.StoreSite(self.data)
        self.poison_part = poison_part.PoisonPart()
        is_planned_only = seed % PLANNED_ONLY_PERIOD == 0 and not self._only
        self._is_planned_only = is_planned_only
        self._features = features_module.Features(
            seed, is_planned_only, self._only
        )
        self._version = 0
        self._have_faults_ended = False
        self._are_keys_final = False
        self._faults: list[str] = []
        self._fault_windows: list[tuple[int, int]] = []
        self._violations: list[str] = []
        self._resumed: list[resumption_checks.Resumed] = []
        self._joined: list[str] = []
        self._refusals = refusal_checks.RefusalChecks(self.ledger)
        # Intervals in which this process itself was not scheduled.
        self._stalls: list[tuple[int, int]] = []
        self._last_poll_ms = ledger_module.now_ms()
        self._listener = reactor.listenTCP(
            0, server.Site(self.site), interface="127.0.0.1"
        )
        store_port = self._listener.getHost().port
        self.store_proxies: dict[str, proxy_module.Proxy] = {}
        self.entries = []
        for number in range(options.entries):
            name = f"front-{number}"
            proxy = proxy_module.Proxy("127.0.0.1", store_port)
            self.store_proxies[name] = proxy
            zone = participants.ZONES[number % len(participants.ZONES)]
            self.entries.append(
                entry_module.Entry(
                    name,
                    zone,
                    proxy.listen(),
                    folder,
                    self._features.engines_check_tokens,
                    options.source,
                )
            )
        parts = participants.Participants(
            seed, self._features, self.data, self.ledger, self.poison_part
        )
        truncated_share = (
            0.0 if self._is_planned_only else backend_server.TRUNCATED_SHARE
        )
        self.backends = parts.backends(truncated_share)
        # Not in the list of other faults, so that a seed keeps these.
        self._all_backends = self.backends + parts.added_engines(
            truncated_share
        )
        for backend in self._all_backends:
            backend.refusals = self._features.refusals
        self._engines = [item for item in self._all_backends if item.is_engine]
        for engine in self._engines:
            engine.checks_tokens = self._features.engines_check_tokens
        self._version_faults = self._new_version_faults()
        self._announcements = announcements_module.Announcements(
            random.Random(f"{seed}/announcements"), self, self._is_planned_only
        )
        self._route_probe = route_probe_module.RouteProbe()
        self._added_routes: list[str] = []
        self._callers = parts.callers(self.entries)

    def _new_version_faults(self) -> version_faults.VersionFaults | None:
        if self._features.versions is None or self._is_planned_only:
            return None
        return version_faults.VersionFaults(
            random.Random(f"{self._seed}/version faults"),
            self._features.versions,
            self.entries,
            self._engines,
            self,
        )

    def start(self) -> None:
        """Start the servers and entries, then the callers and the faults."""
        self.write_configuration()
        for backend in self._all_backends:
            backend.start()
        for entry in self.entries:
            self.start_entry(entry)
        self._poll_processes()
        # The processes of a large run compete for the processors.
        delay_s = START_DELAY_S + START_DELAY_OF_ENTRY_S * len(self.entries)
        reactor.callLater(delay_s, self._start_traffic)

    def _start_traffic(self) -> None:
        for caller in self._callers:
            caller.start()
        if self._features.workspaces is not None:
            self._replace_key(self._features.workspaces)
        if not self._only:
            self._start_other_faults()
        self._next_fault()
        reactor.callLater(self._duration_s, self._end_faults)

    def _start_other_faults(self) -> None:
        """Begin the faults that are not drawn one after the other."""
        # The limit binds only after some seconds, so that one begins early.
        self._faults.append(faults.limit_server.__name__)
        faults.limit_server(self, MAX_FAULT_S)
        if not self._is_planned_only and self.random.random() < POISON_SHARE:
            self._faults.append(faults.send_poison_part.__name__)
            faults.send_poison_part(self, MAX_FAULT_S)
        if self._version_faults is not None:
            self._version_faults.start(self._duration_s)
        self._announcements.start(self._duration_s)

    def _next_fault(self) -> None:
        if self._have_faults_ended:
            return
        drawn = faults.draw(self.random, self._is_planned_only, self._only)
        if drawn is None:
            return
        name, function = drawn
        length_s = self.random.uniform(0.2, MAX_FAULT_S)
        self.record_fault(name, length_s)
        function(self, length_s)
        reactor.callLater(
            self.random.uniform(0.0, MAX_PAUSE_S), self._next_fault
        )

    def record_fault(self, name: str, length_s: float) -> None:
        """Add a fault that begins now to the report."""
        self._faults.append(name)
        now_ms = ledger_module.now_ms()
        self._fault_windows.append((now_ms, now_ms + int(length_s * 1_000)))

    def _end_faults(self) -> None:
        self._have_faults_ended = True
        if self._version_faults is not None:
            self._version_faults.end()
        if self._features.refusals is not None:
            self._features.refusals.end()
        for backend in self.backends:
            backend.limit.end()
            backend.backoff.end()
        probe_delay_s = MAX_FAULT_S + RECOVERY_S
        reactor.callLater(probe_delay_s - KEY_REST_S, self._end_key_changes)
        reactor.callLater(probe_delay_s, self._begin_probe)

    def _end_key_changes(self) -> None:
        self._are_keys_final = True
        self.add_route()

    def _begin_probe(self) -> None:
        self._probe_start_ms = ledger_module.now_ms()
        self._route_probe.send(self._added_routes[-1], self.entries)
        reactor.callLater(PROBE_S, self._stop_callers)

    def _stop_callers(self) -> None:
        for caller in self._callers:
            caller.stop()
        reactor.callLater(caller_module.REQUEST_TIMEOUT_S, self._finish)

    def _finish(self) -> None:
        for entry in self.entries:
            entry.check_exit()
            self._violations += entry.unexpected_exits
            entry.kill()
        self._check_promises()
        for backend in self._all_backends:
            backend.stop()
        self.data.stop()
        reactor.stop()

    def end_poison_part(self, name: str) -> None:
        """Check a part that crashes engines, and use it no longer."""
        disturbed = self._disturbed_entries()
        disturbed[""] = self._fault_windows
        self.poison_part.end(disturbed, name)

    def _disturbed_entries(self) -> dict[str, list[tuple[int, int]]]:
        return {entry.name: entry.disturbed_ms for entry in self.entries}

    def _check_promises(self) -> None:
        self.end_poison_part(self.poison_part.name)
        self._violations += self.poison_part.violations(self.ledger)
        self._violations += checks.violations(self.ledger, self._all_backends)
        self._refusals = refusal_checks.RefusalChecks(self.ledger)
        self._violations += self._refusals.refused + self._refusals.twice
        for backend in self.backends:
            disturbed = self._disturbed_entries()
            disturbed[""] = backend.harmed_ms
            self._violations += backend.limit.violations(
                backend.server_id, disturbed
            )
            self._violations += backend.backoff.violations(
                backend.server_id, disturbed
            )
        self._violations += self._order_violations()
        self._violations += self._workspace_violations()
        self._violations += self._resumption_violations()
        self._violations += self._route_probe.violations
        if self._is_planned_only:
            self._violations += checks.truncation_violations(
                self.ledger, self._stalls
            )
        requests = [
            request
            for request in self.ledger.requests.values()
            if request.sent_ms >= self._probe_start_ms
            and self._expects_service(request)
            and not request.is_abandoned
            and not request.resumes
        ]
        served = sum(1 for request in requests if _is_served(request))
        if served < MIN_SERVED_SHARE * len(requests) or not requests:
            self._violations.append(
                f"{served} of {len(requests)} requests served after the faults"
            )

    def _expects_service(self, request: ledger_module.Request) -> bool:
        if self._features.workspaces is None:
            return True
        return self._features.workspaces.expects_service(request)

    def _order_violations(self) -> list[str]:
        """Return the orders that engines without checks have executed."""
        if self._features.engines_check_tokens:
            return []
        found = []
        for engine in self._engines:
            disturbed = {item.name: item.frozen_ms for item in self.entries}
            disturbed[""] = engine.harmed_ms
            for record in engine.order_records:
                found += [
                    f"{engine.server_id}: {text}"
                    for text in record.violations(disturbed)
                ]
        return found

    def _workspace_violations(self) -> list[str]:
        if self._features.workspaces is None:
            return []
        disturbed = {"": self._stalls}
        for entry in self.entries:
            disturbed[entry.name] = entry.disturbed_ms + entry.without_store_ms
        for backend in self.backends:
            disturbed[backend.server_id] = backend.harmed_ms
        found = self._features.workspaces.violations(self.ledger, disturbed)
        return found + [
            f"{entry.name}: a key in the log"
            for entry in self.entries
            if entry.has_logged(workspaces_module.KEY_MARK)
        ]

    def _resumption_violations(self) -> list[str]:
        found = resumption_checks.ResumptionChecks(self.ledger)
        self._resumed = found.resumed
        self._joined = found.joined()
        if faults.kill_all_entries.__name__ in self._faults:
            return self._joined
        disturbed = {
            entry.name: entry.disturbed_ms + entry.without_store_ms
            for entry in self.entries
        }
        return self._joined + found.share_violations(
            self._engines, disturbed, self._expects_service
        )

    def report(self) -> report_module.Report:
        """Return the outcome, counted over all requests of the soak."""
        requests = self.ledger.requests.values()
        served = sum(1 for request in requests if _is_served(request))
        return report_module.Report(
            self._seed,
            self._faults,
            len(requests),
            served,
            self._violations,
            len(self._stalls),
            self._features.names,
            len(self._resumed),
            sum(item.goes_on for item in self._resumed),
            len(self._joined),
            len(self._refusals.refused),
            len(self._refusals.twice),
            self._refusals.outcomes(),
            self.ledger.send_counts() if self._features.refusals else {},
        )

    # Operations used by the fault functions

    def start_entry(self, entry: entry_module.Entry) -> None:
        """Start an entry unless it is running."""
        if not entry.is_running:
            entry.start()

    def restart_when_exited(self, entry: entry_module.Entry) -> None:
        """Restart an entry once its process has exited."""
        if entry.is_running:
            reactor.callLater(POLL_S, self.restart_when_exited, entry)
            return
        entry.check_exit()
        self.start_entry(entry)

    def schedule_drain_end(
        self, backend: backend_server.BackendServer
    ) -> None:
        """Check the drain after DRAIN_S, then restart the server."""
        reactor.callLater(DRAIN_S, self._end_drain, backend)

    def _end_drain(self, backend: backend_server.BackendServer) -> None:
        fault_windows = [] if self._is_planned_only else self._fault_windows
        self._violations += checks.drain_violations(
            self.ledger, backend, fault_windows
        )
        backend.undrain()

    def write_configuration(self) -> None:
        """Write the next version of the configuration."""
        self._put_configuration(self.random.randint(1, 3))

    def _replace_key(self, workspaces: workspaces_module.Workspaces) -> None:
        """Write a version with a key replaced, and schedule the next one."""
        if self._are_keys_final:
            return
        workspaces.replace_key()
        self._put_configuration(1)
        reactor.callLater(
            workspaces.interval_s(), self._replace_key, workspaces
        )

    def rewrite_configuration(self) -> None:
        """Write the newest version of the configuration again."""
        self._put_configuration(0)

    def add_route(self) -> str:
        """Write a version with one more route; return its name."""
        self._added_routes.append(f"added{len(self._added_routes)}")
        self._put_configuration(1)
        return self._added_routes[-1]

    def probe_route(self, name: str, since_ms: int) -> None:
        """Ask the entries for a route, unless disturbed since a time."""
        self._route_probe.send(
            name,
            [
                entry
                for entry in self.entries
                if not entry.is_disturbed_since(since_ms)
            ],
        )

    def end_leaving(self, backend: backend_server.BackendServer) -> None:
        """Check that the leaving was obeyed, and restart the server."""
        is_same_process = backend.leaving.is_active
        self._violations += backend.leaving.end(self._disturbed_entries())
        if is_same_process:
            backend.undrain()

    def _put_configuration(self, step: int) -> None:
        self._version += step
        rows = configuration.rows(self._version, self._added_routes)
        if self._features.workspaces is not None:
            rows["tenants"] = self._features.workspaces.rows()
        self.data.put("op/config", json.dumps(rows).encode())

    def _poll_processes(self) -> None:
        now_ms = ledger_module.now_ms()
        if now_ms - self._last_poll_ms > STALL_MS:
            self._stalls.append((self._last_poll_ms, now_ms))
        self._last_poll_ms = now_ms
        for entry in self.entries:
            entry.check_exit()
        reactor.callLater(POLL_S, self._poll_processes)


def _is_served(request: ledger_module.Request) -> bool:
    response = request.response
    if response is None or not response.is_complete:
        return False
    # A signed failure is the backend server's own response.
    return response.status == 200 or bool(response.signature)


def run(
    seed: int, duration_s: float, folder: pathlib.Path, options: Options
) -> report_module.Report:
    """Run one soak; the reactor allows only one per process."""
    soak = Soak(seed, duration_s, folder, options)
    reactor.callWhenRunning(soak.start)
    try:
        reactor.run()
    finally:
        # Leaves no entry process behind if the soak is interrupted.
        for entry in soak.entries:
            entry.kill()
    rows = json.dumps(soak.ledger.rows())
    (folder / REQUESTS_FILE).write_text(rows)
    return soak.report()
