"""Callers that keep their connections in use."""

from __future__ import annotations

import random
from typing import Any

import h11
from twisted.internet import endpoints
from twisted.internet import protocol
from twisted.internet import reactor

from soak import backend_server
from soak import entry as entry_module
from soak import ledger as ledger_module

Kind = ledger_module.Kind
HOST = "soak.example"
DEADLINE_MS = 2_000
PATIENCE_S = 2.5
MAX_PAUSE_S = 0.08
MAX_EVENTS = 30
RETRY_PAUSE_S = 0.05
ABANDON_SHARE = 0.04
METHODS = {Kind.READ: b"GET"}


class Caller:
    """Asks one request after the other, on one connection if it lasts."""

    def __init__(
        self,
        number: int,
        entries: list[entry_module.Entry],
        ledger: ledger_module.Ledger,
        random_source: random.Random,
    ) -> None:
        self._number = number
        self._entries = entries
        self._ledger = ledger
        self._random = random_source
        self._count = 0
        self._is_stopped = False
        self._connection: _Connection | None = None
        self._entry: entry_module.Entry | None = None

    def start(self) -> None:
        """Ask the first request."""
        self._pause(self._random.random() * MAX_PAUSE_S)

    def stop(self) -> None:
        """Ask nothing more."""
        self._is_stopped = True

    def _pause(self, delay_s: float) -> None:
        reactor.callLater(delay_s, self._ask)

    def _ask(self) -> None:
        if self._is_stopped:
            self.close()
            return
        if self._connection is not None and self._connection.is_usable:
            self._send(self._connection)
            return
        self._entry = self._random.choice(self._entries)
        point = endpoints.TCP4ClientEndpoint(
            reactor, "127.0.0.1", self._entry.callers_port, timeout=1
        )
        connecting = endpoints.connectProtocol(point, _Connection(self))
        connecting.addCallbacks(
            self._send, lambda failure: self._pause(RETRY_PAUSE_S)
        )

    def _send(self, connection: _Connection) -> None:
        self._connection = connection
        self._count += 1
        kind = self._random.choice(list(Kind))
        events = 0
        if kind in ledger_module.STREAMS:
            events = self._random.randint(1, MAX_EVENTS)
        ask = ledger_module.Ask(
            f"{self._number:04x}{self._count:08x}",
            kind,
            self._entry.name if self._entry else "",
            ledger_module.now_ms(),
            events,
            deadline_ms=DEADLINE_MS,
        )
        self._ledger.begin(ask)
        connection.send(ask, self._fields(ask))
        if self._random.random() < ABANDON_SHARE:
            reactor.callLater(
                self._random.random() * 0.3, connection.abandon, ask
            )

    def _fields(self, ask: ledger_module.Ask) -> list[tuple[str, str]]:
        fields = [
            ("Host", HOST),
            ("Balsamwall-Request-Id", ask.request_id),
            ("Balsamwall-Deadline-Ms", str(DEADLINE_MS)),
        ]
        if ask.events:
            model = self._random.choice(backend_server.MODELS)
            fields += [
                ("Balsamwall-Model", model),
                ("Balsamwall-Token-Usage", "100,20"),
                ("X-Events", str(ask.events)),
            ]
        return fields

    def on_stray_answer(self) -> None:
        """Record bytes that belong to no request."""
        self._ledger.stray_answers.append(
            self._entry.name if self._entry else ""
        )

    def on_over(self) -> None:
        """Go on with the next request."""
        self._pause(self._random.random() * MAX_PAUSE_S)

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()


class _Connection(protocol.Protocol):  # type: ignore[misc]
    """Connection to an entry, with one request at a time."""

    def __init__(self, caller: Caller) -> None:
        self._caller = caller
        self._http = h11.Connection(h11.CLIENT)
        self._ask: ledger_module.Ask | None = None
        self._answer = ledger_module.Answer()
        self._timer: Any = None
        self._is_lost = False

    @property
    def is_usable(self) -> bool:
        """Tell whether the next request may be sent here."""
        if self._is_lost or self._ask is not None:
            return False
        return self._http.our_state is h11.IDLE

    def send(
        self, ask: ledger_module.Ask, fields: list[tuple[str, str]]
    ) -> None:
        """Send a request."""
        self._ask = ask
        self._answer = ask.answer = ledger_module.Answer()
        self._timer = reactor.callLater(PATIENCE_S, self._give_up, ask)
        head = h11.Request(
            method=METHODS.get(ask.kind, b"POST"),
            target=f"/{ask.kind.value}/x",
            headers=[*fields, ("Content-Length", "0")],
        )
        data = (self._http.send(head) or b"") + (
            self._http.send(h11.EndOfMessage()) or b""
        )
        self.transport.write(data)

    def _give_up(self, ask: ledger_module.Ask) -> None:
        if self._ask is ask:
            ask.has_no_end = True
        self.abandon(ask)

    def abandon(self, ask: ledger_module.Ask) -> None:
        """Leave without the rest of the answer."""
        if self._ask is ask:
            ask.is_abandoned = True
            self.transport.abortConnection()
            self._over()

    def dataReceived(self, data: bytes) -> None:
        """Read a part of an answer."""
        if self._ask is None:
            self._caller.on_stray_answer()
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
                self._over()
                return
            if isinstance(event, h11.Response):
                self._answer.status = event.status_code
                found = {
                    name.decode(): value.decode()
                    for name, value in event.headers
                }
                self._answer.signature = found.get(
                    "balsamwall-response-signature", ""
                )
                self._answer.request_id = found.get(
                    "balsamwall-request-id", ""
                )
            elif isinstance(event, h11.Data):
                self._answer.body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._answer.is_complete = True
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
        self._over()

    def _over(self) -> None:
        ask, self._ask = self._ask, None
        if ask is None:
            return
        ask.over_ms = ledger_module.now_ms()
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._caller.on_over()

    def connectionLost(self, reason: Any = None) -> None:
        """End the request that was under way."""
        self._is_lost = True
        self._over()

    def close(self) -> None:
        """Close the connection."""
        if self.transport is not None and not self._is_lost:
            self.transport.loseConnection()
