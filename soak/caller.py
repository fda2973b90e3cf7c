"""Callers that reuse their connections."""

from __future__ import annotations

import random
from typing import Any

import h11
from twisted.internet import endpoints
from twisted.internet import error
from twisted.internet import protocol
from twisted.internet import reactor

from soak import backend_server
from soak import entry as entry_module
from soak import ledger as ledger_module
from soak import poison_part as poison_part_module
from soak import resumption
from soak import workspaces as workspaces_module

Kind = ledger_module.Kind
HOST = "soak.example"
DEADLINE_MS = 2_000
REQUEST_TIMEOUT_S = 2.5
MAX_PAUSE_S = 0.08
MAX_EVENTS = 30
RETRY_PAUSE_S = 0.05
ABANDON_SHARE = 0.04
# Share of the streams that hold a part that crashes engines, while one is
# in use.
POISON_SHARE = 0.15
METHODS = {Kind.IDEMPOTENT: b"GET"}


class Caller:
    """Sends requests one at a time and reuses the connection if possible."""

    def __init__(
        self,
        number: int,
        entries: list[entry_module.Entry],
        ledger: ledger_module.Ledger,
        random_source: random.Random,
        poison_part: poison_part_module.PoisonPart,
        workspaces: workspaces_module.Workspaces | None,
        resumptions: resumption.Resumptions | None,
    ) -> None:
        self._resumptions = resumptions
        self._workspaces = workspaces
        self._poison_part = poison_part
        self._number = number
        self._entries = entries
        self._ledger = ledger
        self._random = random_source
        self._count = 0
        self._is_stopped = False
        self._connection: _Connection | None = None
        self._entry: entry_module.Entry | None = None

    def start(self) -> None:
        """Send the first request after a random delay."""
        self._schedule_next(self._random.random() * MAX_PAUSE_S)

    def stop(self) -> None:
        """Send no further request; an open one may finish."""
        self._is_stopped = True

    def _schedule_next(self, delay_s: float) -> None:
        reactor.callLater(delay_s, self._send_next)

    def _send_next(self) -> None:
        if self._is_stopped:
            self.close()
            return
        if self._connection is not None and self._connection.is_usable:
            self._send(self._connection)
            return
        self._entry = self._random.choice(self._entries)
        endpoint = endpoints.TCP4ClientEndpoint(
            reactor, "127.0.0.1", self._entry.callers_port, timeout=1
        )
        connecting = endpoints.connectProtocol(endpoint, _Connection(self))
        connecting.addCallbacks(
            self._send, lambda failure: self._schedule_next(RETRY_PAUSE_S)
        )

    def _send(self, connection: _Connection) -> None:
        self._connection = connection
        request = self._resumed_request() or self._new_request()
        self._ledger.add_request(request)
        connection.send(request, self._headers(request))
        if self._random.random() < ABANDON_SHARE:
            reactor.callLater(
                self._random.random() * 0.3, connection.abandon, request
            )
        if self._resumptions is not None:
            delay_s = self._resumptions.cut_delay_s(request)
            if delay_s is not None:
                reactor.callLater(delay_s, connection.abandon, request)

    def _request(self, kind: Kind, events: int) -> ledger_module.Request:
        self._count += 1
        return ledger_module.Request(
            f"{self._number:04x}{self._count:08x}",
            kind,
            self._entry.name if self._entry else "",
            ledger_module.now_ms(),
            events,
            deadline_ms=DEADLINE_MS,
        )

    def _new_request(self) -> ledger_module.Request:
        kind = self._random.choice(list(Kind))
        events = 0
        if kind in ledger_module.STREAMS:
            events = self._random.randint(1, MAX_EVENTS)
        request = self._request(kind, events)
        request.is_poison = bool(
            events
            and self._poison_part.name
            and self._random.random() < POISON_SHARE
        )
        return request

    def _resumed_request(self) -> ledger_module.Request | None:
        """Return a request for the rest of a broken stream, if one is due."""
        if self._resumptions is None:
            return None
        broken = self._resumptions.take()
        if broken is None:
            return None
        request = self._request(broken.last.kind, broken.last.events)
        request.first_event = broken.next_event
        request.resumes = broken.resumes
        request.follows = broken.last.request_id
        request.tries = broken.tries
        request.prompt = broken.last.prompt
        request.model = broken.last.model
        return request

    def _headers(
        self, request: ledger_module.Request
    ) -> list[tuple[str, str]]:
        if request.events and not request.prompt:
            request.prompt = self._prompt(request)
        headers = [
            ("Host", HOST),
            ("Balsamwall-Request-Id", request.request_id),
            ("Balsamwall-Deadline-Ms", str(DEADLINE_MS)),
        ]
        usage = (100, 20)
        if self._workspaces is not None:
            headers += self._workspaces.fields(request, self._number)
            if self._workspaces.is_limited(request):
                usage = workspaces_module.STREAM_USAGE
        if request.events:
            if not request.model:
                request.model = self._random.choice(backend_server.MODELS)
            headers += [
                ("Balsamwall-Model", request.model),
                ("Balsamwall-Token-Usage", f"{usage[0]},{usage[1]}"),
                ("X-Events", str(request.events)),
                ("Balsamwall-Prompt-Prefix", request.prompt),
            ]
        if request.resumes:
            headers += [
                ("Last-Event-Id", str(request.first_event - 1)),
                ("Resumes", request.resumes),
            ]
        return headers

    def _prompt(self, request: ledger_module.Request) -> str:
        """Return the parts of a prompt; the last one is the request's own."""
        parts = [f"first{self._random.randrange(2)}:40"]
        if request.is_poison:
            parts.append(f"{self._poison_part.name}:20")
        parts.append(f"second{self._random.randrange(8)}:20")
        return ",".join([*parts, f"{request.request_id}:20"])

    def on_stray_data(self) -> None:
        """Record that bytes arrived without an open request."""
        self._ledger.stray_responses.append(
            self._entry.name if self._entry else ""
        )

    def on_request_finished(self, request: ledger_module.Request) -> None:
        """Schedule the next request."""
        if self._resumptions is not None:
            self._resumptions.on_finished(request)
        self._schedule_next(self._random.random() * MAX_PAUSE_S)

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self._connection is not None:
            self._connection.close()


class _Connection(protocol.Protocol):  # type: ignore[misc]
    """Connection to an entry, with one request at a time."""

    def __init__(self, caller: Caller) -> None:
        self._caller = caller
        self._http = h11.Connection(h11.CLIENT)
        self._request: ledger_module.Request | None = None
        self._response = ledger_module.Response()
        self._timer: Any = None
        self._is_lost = False

    @property
    def is_usable(self) -> bool:
        """Tell whether the connection can take the next request."""
        if self._is_lost or self._request is not None:
            return False
        return self._http.our_state is h11.IDLE

    def send(
        self, request: ledger_module.Request, headers: list[tuple[str, str]]
    ) -> None:
        """Send a request and start its timeout."""
        self._request = request
        self._response = request.response = ledger_module.Response()
        self._timer = reactor.callLater(
            REQUEST_TIMEOUT_S, self._on_timeout, request
        )
        head = h11.Request(
            method=METHODS.get(request.kind, b"POST"),
            target=f"/{request.kind.value}/x",
            headers=[*headers, ("Content-Length", "0")],
        )
        data = (self._http.send(head) or b"") + (
            self._http.send(h11.EndOfMessage()) or b""
        )
        self.transport.write(data)

    def _on_timeout(self, request: ledger_module.Request) -> None:
        if self._request is request:
            request.has_timed_out = True
        self.abandon(request)

    def abandon(self, request: ledger_module.Request) -> None:
        """Abort the connection before the response is complete."""
        if self._request is request:
            request.is_abandoned = True
            self.transport.abortConnection()
            self._finish()

    def dataReceived(self, data: bytes) -> None:
        """Parse a part of a response."""
        if self._request is None:
            self._caller.on_stray_data()
            self.transport.abortConnection()
            return
        self._http.receive_data(data)
        self._read()

    def _read(self) -> None:
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError:
                self.transport.abortConnection()
                self._finish()
                return
            if isinstance(event, h11.Response):
                self._response.status = event.status_code
                found = {
                    name.decode(): value.decode()
                    for name, value in event.headers
                }
                self._response.signature = found.get(
                    "balsamwall-response-signature", ""
                )
                self._response.request_id = found.get(
                    "balsamwall-request-id", ""
                )
                self._response.retry_after_s = float(
                    found.get("retry-after", 0)
                )
            elif isinstance(event, h11.Data):
                self._response.body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._response.is_complete = True
                self._end_cycle()
                return
            else:
                return

    def _end_cycle(self) -> None:
        if self._http.our_state is h11.DONE and (
            self._http.their_state is h11.DONE
        ):
            self._http.start_next_cycle()
        else:
            self.close()
        self._finish()

    def _finish(self) -> None:
        request, self._request = self._request, None
        if request is None:
            return
        request.finished_ms = ledger_module.now_ms()
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._caller.on_request_finished(request)

    def connectionLost(self, reason: Any = None) -> None:
        """Finish the request that was in flight.

        A close in good order ends a response without any other end.
        """
        self._is_lost = True
        if self._request is not None and reason.check(error.ConnectionDone):
            self._http.receive_data(b"")
            self._read()
        self._finish()

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self.transport is not None and not self._is_lost:
            self.transport.loseConnection()
