"""Stand-ins for backend servers that record the requests they run."""

from __future__ import annotations

import json
import random
import time
from typing import Any

from twisted.internet import reactor
from twisted.web import resource
from twisted.web import server

from soak import backoff as backoff_module
from soak import entry as entry_module
from soak import leaving as leaving_module
from soak import ledger as ledger_module
from soak import order_record
from soak import poison_part as poison_part_module
from soak import proxy as proxy_module
from soak import refusals as refusals_module
from soak import server_limit
from soak import software_versions
from soak import store as store_module
from soak import work_time as work_time_module
from soak import workspaces as workspaces_module

EVENT_INTERVAL_S = 0.03
WORK_S = 0.02
SLOTS = 16
RESTART_S = 0.8
LOAD_S = 0.25
REGISTRATION_TTL_MS = 2_000
HEARTBEAT_S = 0.5
WEIGHTS_MB = 100.0
MODEL_MB = 40.0
ERROR_SHARE = 0.03
REJECT_SHARE = 0.03
TRUNCATED_SHARE = 0.02
# Share of the responses that end with their connection.
UNFRAMED_SHARE = 0.25
USUAL_VERSION = "v1"
MODELS = ("m1", "m2", "m3", "m4")
_Arrival = ledger_module.Arrival


class BackendServer:
    """One backend server behind a proxy."""

    def __init__(
        self,
        server_id: str,
        service: str,
        zone: str,
        data: store_module.StoreData,
        ledger: ledger_module.Ledger,
        random_source: random.Random,
        truncated_share: float,
        poison_part: poison_part_module.PoisonPart,
        workspaces: workspaces_module.Workspaces | None,
        work_time: work_time_module.WorkTime | None,
        versions: software_versions.SoftwareVersions | None = None,
        version: str = USUAL_VERSION,
    ) -> None:
        self._versions = versions
        self.version = version
        self._starts = 0
        self.instance_id = server_id
        self.service_times: list[software_versions.ServiceTime] = []
        self.workspaces = workspaces
        self._work_time = work_time
        self.poison_part = poison_part
        self.truncated_share = truncated_share
        self.server_id = server_id
        self.service = service
        self.zone = zone
        self._data = data
        self.ledger = ledger
        self.random = random_source
        self.models: set[str] = set()
        self.order_count = 0
        self.busy_until_s = 0.0
        self.holders_by_token: dict[int, str] = {}
        self.checks_tokens = True
        # One record for each start of the engine.
        self.order_records: list[order_record.OrderRecord] = []
        self.violations: list[str] = []
        self.state = "ready"
        self.draining_since_ms: int | None = None
        self.leaving = leaving_module.AnnouncedLeaving()
        self.started_ms = 0
        self._lease = 0
        self._lease_era = data.era
        self._open_requests: dict[server.Request, _Run] = {}
        self._listener: Any = None
        self._heartbeat: Any = None
        self.is_up = False
        self._port = 0
        self.proxy: proxy_module.Proxy | None = None
        self._address = ""
        self.limit = server_limit.AnnouncedLimit()
        self.backoff = backoff_module.AnnouncedBackoff()
        self.refusals: refusals_module.Refusals | None = None
        # Times in which the link to this server was harmed.
        self.harmed_ms: list[tuple[int, int]] = []

    @property
    def is_engine(self) -> bool:
        """Tell whether this server holds models."""
        return self.service == "models"

    def start(self) -> None:
        """Listen on the same port as before a crash, and register."""
        site = server.Site(_BackendSite(self))
        self._listener = reactor.listenTCP(
            self._port, site, interface="127.0.0.1"
        )
        self._port = self._listener.getHost().port
        if self.proxy is None:
            self.proxy = proxy_module.Proxy("127.0.0.1", self._port)
            self._address = f"127.0.0.1:{self.proxy.listen()}"
        self.started_ms = int(time.time() * 1_000)
        self._begin_service()
        self.models = set()
        self.order_count = 0
        self.busy_until_s = 0.0
        self.holders_by_token = {}
        self.order_records.append(
            order_record.OrderRecord(entry_module.LEASE_MS)
        )
        self.is_up = True
        self._send_heartbeat()

    def _begin_service(self) -> None:
        """Choose id and version of this start, if versions may change."""
        if self._versions is not None:
            self._starts += 1
            self.instance_id = f"{self.server_id}.{self._starts}"
            self.version = self._versions.draw()
            # Entries don't know a limit of a process under another id.
            self.limit.end()
        self.service_times.append(
            software_versions.ServiceTime(self.version, ledger_module.now_ms())
        )

    def is_disturbed(self, begin_ms: int, end_ms: int) -> bool:
        """Tell whether the link was harmed, or requests turned away."""
        is_refusing = self.limit.is_announced(
            begin_ms, end_ms
        ) or self.backoff.is_binding(begin_ms, end_ms)
        return is_refusing or any(
            since_ms <= end_ms and begin_ms <= until_ms
            for since_ms, until_ms in self.harmed_ms
        )

    def _send_heartbeat(self) -> None:
        if not self.is_up:
            return
        # Lease ids are given out again after the store was restored.
        is_restored = self._lease_era != self._data.era
        if is_restored or self._data.renew(self._lease) is None:
            self._lease_era = self._data.era
            self._lease = self._data.grant(REGISTRATION_TTL_MS)
            self.register()
        self._heartbeat = reactor.callLater(HEARTBEAT_S, self._send_heartbeat)

    def unregister(self) -> None:
        """Remove the record and go on serving, as before a quiet exit."""
        self._heartbeat.cancel()
        self._end_registration()

    def _end_registration(self) -> None:
        if self._lease_era == self._data.era:
            self._data.end_lease(self._lease)

    def register(self) -> None:
        """Write the record of this server to the store."""
        rows: dict[str, Any] = {
            "service": self.service,
            "address": self._address,
            "zone": self.zone,
            "version": self.version,
            "slots": SLOTS,
            "state": self.state,
            "cold_remaining_ms": 0,
            "seq": self.order_count,
            "born": self.started_ms,
        }
        if self.is_engine:
            rows["models"] = self._model_rows()
        key = f"servers/{self.instance_id}"
        self._data.put(key, json.dumps(rows).encode(), self._lease)

    def _model_rows(self) -> list[dict[str, Any]]:
        return [
            {"name": name, "version": 1, "adapters": []}
            for name in sorted(self.models)
        ]

    def drain(self) -> None:
        """Announce that the server accepts no new requests."""
        self.state = "draining"
        self.register()
        self.draining_since_ms = ledger_module.now_ms()

    def undrain(self) -> None:
        """Restart as a new process in the ready state."""
        self.crash()
        self.state = "ready"
        self.draining_since_ms = None

    def crash(self, is_clean: bool = False) -> None:
        """End all connections and restart without models after RESTART_S.

        A clean end inside an event looks like the end of a response.
        """
        if not self.is_up:
            return
        self.is_up = False
        self.leaving.on_process_end()
        self.backoff.on_process_end()
        self.ledger.crashes.append(
            ledger_module.Crash(
                self.server_id, ledger_module.now_ms(), is_clean
            )
        )
        self.service_times[-1].until_ms = ledger_module.now_ms()
        self._heartbeat.cancel()
        self._listener.stopListening()
        for request in list(self._open_requests):
            if is_clean:
                self._open_requests[request].break_off()
            else:
                request.channel.forceAbortClient()
        self._open_requests.clear()
        self._end_registration()
        reactor.callLater(RESTART_S, self._restart)

    def _restart(self) -> None:
        if not self.is_up:
            self.start()

    def stop(self) -> None:
        """Stop without a restart."""
        self.is_up = False
        if self._heartbeat is not None and self._heartbeat.active():
            self._heartbeat.cancel()
        if self._listener is not None:
            self._listener.stopListening()

    def leave(self) -> None:
        """Stop, end all connections and remove the record."""
        self.stop()
        for request in list(self._open_requests):
            request.channel.forceAbortClient()
        self._end_registration()

    @property
    def writer(self) -> str:
        """Return what the events of this server process contain."""
        return f"{self.instance_id}/{self.version}"

    @property
    def load(self) -> str | None:
        """Return the load to report, if work takes a varying time."""
        if self._work_time is None:
            return None
        running = len(self._open_requests)
        return f"{running},0,{SLOTS},{self._work_time.percent()}"

    def scaled_s(self, usual_s: float) -> float:
        """Return how long work takes now that usually takes a given time."""
        if self._work_time is None:
            return usual_s
        return usual_s * self._work_time.percent() / 100

    def track_request(self, request: server.Request, run: _Run) -> None:
        """Keep a request among the open ones until it ends."""
        self._open_requests[request] = run
        request.notifyFinish().addBoth(
            lambda result: self.forget_request(request)
        )

    def forget_request(self, request: server.Request) -> None:
        """Remove a request that has ended or was broken off."""
        self._open_requests.pop(request, None)

    # Orders

    def apply_order(self, body: dict[str, Any]) -> int:
        """Execute an order and return the HTTP status."""
        holder, token = body["holder"], body["fencing_token"]
        self.order_records[-1].add(holder, token)
        if self.holders_by_token.setdefault(token, holder) != holder:
            self.violations.append(
                f"two order holders share fencing token {token}"
            )
        if self.checks_tokens and token < max(self.holders_by_token):
            return 412
        is_busy = time.monotonic() < self.busy_until_s
        if is_busy or body.get("precondition") != self.order_count:
            return 409
        name, is_load = body["model"], body["op"] == "load"
        if (name in self.models) is is_load:
            return 200
        self.order_count += 1
        if not is_load:
            self.models.discard(name)
        elif (len(self.models) + 1) * MODEL_MB > WEIGHTS_MB:
            self.violations.append(
                f"{self.server_id}: load exceeds the weight memory"
            )
        else:
            self.busy_until_s = time.monotonic() + LOAD_S
            reactor.callLater(LOAD_S, self._on_loaded, name, self.started_ms)
        return 202

    def _on_loaded(self, name: str, started_ms: int) -> None:
        if self.is_up and self.started_ms == started_ms:
            self.models.add(name)
            self.register()

    def report(self) -> dict[str, Any]:
        """Return the state that the sender of orders reads."""
        return {
            "stage": self.state,
            "models": self._model_rows(),
            "busy": time.monotonic() < self.busy_until_s,
            "seq": self.order_count,
            "queued": 0,
            "active": len(self._open_requests),
            "kv_used": 0,
            "kv_total": 1_000,
            "coming": [],
            "born": self.started_ms,
        }


class _BackendSite(resource.Resource):  # type: ignore[misc]
    """HTTP interface of a backend server."""

    isLeaf = True

    def __init__(self, backend: BackendServer) -> None:
        super().__init__()
        self._backend = backend

    def render(self, request: server.Request) -> Any:
        """Serve a report, an order or a caller's request."""
        backend = self._backend
        if backend.leaving.is_active:
            request.setHeader("Server-Leaving", "1")
        expected = request.getHeader("balsamwall-expect-instance")
        if expected not in (None, backend.instance_id):
            return self._reject_unexecuted(request, 421)
        if request.path == b"/report":
            return json.dumps(backend.report()).encode()
        if request.path == b"/order":
            request.setResponseCode(
                backend.apply_order(json.loads(request.content.read()))
            )
            return b"{}"
        arrival = self._record_arrival(request)
        if self._on_arrival(request):
            return self._reject_unexecuted(request, 503)
        refusals = backend.refusals
        if refusals is not None and refusals.refuse(request, arrival):
            return server.NOT_DONE_YET
        model = request.getHeader("balsamwall-model")
        if backend.is_engine and model not in backend.models:
            return self._reject_unexecuted(request, 421)
        if backend.random.random() < REJECT_SHARE:
            return self._reject_unexecuted(request, 503)
        _Run(backend, request, arrival)
        return server.NOT_DONE_YET

    def _record_arrival(self, request: server.Request) -> _Arrival:
        backend = self._backend
        arrival = _Arrival(
            request.getHeader("balsamwall-request-id") or "",
            backend.server_id,
            ledger_module.now_ms(),
        )
        backend.ledger.add_arrival(arrival)
        if backend.refusals is not None:
            backend.refusals.connection(request).on_arrival(request, arrival)
        return arrival

    def _on_arrival(self, request: server.Request) -> bool:
        """Record a caller's request; add what the server says of itself.

        Return whether the server turns the request away with a back-off.
        """
        backend = self._backend
        request_id = request.getHeader("balsamwall-request-id") or ""
        known = backend.ledger.requests.get(request_id)
        backend.leaving.on_request(known)
        limit = backend.limit.on_request(known.entry if known else "")
        if limit is not None:
            request.setHeader("Server-Limit", limit)
        if backend.load is not None:
            request.setHeader("Balsamwall-Server-Load", backend.load)
        if backend.workspaces is not None:
            backend.workspaces.on_arrival(request, known)
        retry_after = backend.backoff.on_request(known.entry if known else "")
        if retry_after is not None:
            request.setHeader("Retry-After", retry_after)
        return retry_after is not None

    @staticmethod
    def _reject_unexecuted(request: server.Request, status: int) -> bytes:
        request.setResponseCode(status)
        request.setHeader("Balsamwall-Not-Executed", "1")
        request_id = request.getHeader("balsamwall-request-id")
        if request_id:
            request.setHeader("Balsamwall-Request-Id", request_id)
        return b"not run"


class _Run:
    """One execution of a request."""

    def __init__(
        self,
        backend: BackendServer,
        request: server.Request,
        arrival: _Arrival,
    ) -> None:
        self._arrival = arrival
        arrival.has_run = True
        self._request = request
        self._backend = backend
        self._is_finished = False
        self._id = request.getHeader("balsamwall-request-id") or ""
        last = request.getHeader("last-event-id")
        self._next_event = int(last) + 1 if last else 1
        backend.track_request(request, self)
        request.notifyFinish().addBoth(lambda result: self._end())
        self._run = ledger_module.Run(
            backend.server_id,
            ledger_module.now_ms(),
            backend.writer,
            self._next_event,
        )
        backend.ledger.on_run(self._id, self._run)
        request.setHeader("Balsamwall-Request-Id", self._id)
        request.setHeader(
            "Balsamwall-Response-Signature", f"{backend.server_id}.{self._id}"
        )
        self._is_unframed = backend.random.random() < UNFRAMED_SHARE
        if self._is_unframed:
            # Without chunks; the connection is closed at the end.
            request.clientproto = b"HTTP/1.0"
        known = backend.ledger.requests.get(self._id)
        self._is_poison = backend.poison_part.on_arrival(
            request.getHeader("balsamwall-prompt-prefix") or "",
            known.entry if known else "",
        )
        self._event_count = int(request.getHeader("x-events") or 0)
        delay_s = backend.scaled_s(WORK_S)
        refusals, self._failure = backend.refusals, None
        if refusals is not None and not self._is_poison:
            self._failure = refusals.failure()
            if self._failure is refusals_module.Failure.AT_DEADLINE:
                delay_s = refusals.delay_s(request, delay_s)
        reactor.callLater(delay_s, self._begin_response)

    def _end(self) -> None:
        self._is_finished = True

    def _begin_response(self) -> None:
        if self._is_finished:
            return
        refusals, failure = self._backend.refusals, self._failure
        if refusals is not None:
            refusals.connection(self._request).write_kept_copy()
            if failure is not None and not refusals.fail(
                failure, self._request, self._arrival
            ):
                return
        if self._event_count:
            self._send_event()
        else:
            self._respond()

    def _respond(self) -> None:
        body = ledger_module.expected_body(self._id)
        if self._is_unframed:
            self._request.write(body)
            self._finish()
            return
        if self._backend.random.random() < ERROR_SHARE:
            self._request.setResponseCode(500)
        elif self._backend.random.random() < self._backend.truncated_share:
            self._request.setHeader("Content-Length", str(len(body)))
            self._request.write(body[: len(body) // 2])
            self._request.channel.loseConnection()
            return
        self._request.setHeader("Content-Length", str(len(body)))
        self._request.write(body)
        self._request.finish()

    def _finish(self) -> None:
        channel = self._request.channel
        self._request.finish()
        if self._is_unframed:
            channel.loseConnection()

    def break_off(self) -> None:
        """Close the connection in good order, inside the next event."""
        if self._is_finished:
            return
        self._is_finished = True
        if self._next_event <= self._event_count:
            self._request.write(b"id: ")
        self._request.channel.loseConnection()

    def _crash(self) -> None:
        """Crash with the head sent; connections close in good order."""
        self._request.setHeader("Content-Type", "text/event-stream")
        self._backend.poison_part.on_crash()
        reactor.callLater(0.0, self._backend.crash, is_clean=True)

    def _send_event(self) -> None:
        if self._is_finished:
            return
        if self._is_poison:
            self._crash()
            return
        if self._next_event > self._event_count:
            self._finish()
            return
        if not self._run.event_count:
            self._request.setHeader("Content-Type", "text/event-stream")
        data = ledger_module.event(
            self._id, self._next_event, self._run.writer
        )
        if self._backend.random.random() < self._backend.truncated_share / 10:
            self._request.write(data[: len(data) // 2])
            self._backend.forget_request(self._request)
            self._request.channel.loseConnection()
            return
        self._request.write(data)
        self._run.event_count += 1
        self._next_event += 1
        delay_s = self._backend.scaled_s(EVENT_INTERVAL_S)
        reactor.callLater(delay_s, self._send_event)
