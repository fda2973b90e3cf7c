"""Backend servers that refuse requests twice, or fail what they have run."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import enum
import random
from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import reactor

from soak import ledger as ledger_module

if TYPE_CHECKING:
    from twisted.web import server

# Shares of the requests that are refused with a certificate, of these that
# are refused twice, and of the runs that fail.
REFUSED_SHARE = 0.25
TWICE_SHARE = 0.6
FAILED_SHARE = 0.33
# Latest time of a second copy that doesn't wait for the next request.
MAX_COPY_DELAY_S = 0.3
# Time before or after the deadline of a request at which a response comes.
DEADLINE_SPREAD_S = 0.02
CERTIFIED_STATUSES = (503, 429, 421)
FAILED_STATUSES = (503, 429, 408, 504, 500)
DEADLINE_STATUSES = (503, 504)
SERVER_BODY = b"failed by the server"
# Fields in which a server speaks of itself, in each response.
SERVER_FIELDS = ("Server-Limit", "Server-Leaving", "Balsamwall-Server-Load")
Intrusion = ledger_module.Intrusion


class Failure(enum.Enum):
    """State what a server does in response to a request that it has run."""

    STATUS = "status"
    AT_DEADLINE = "at_deadline"  # a status, close to the request's deadline
    OTHER_REFUSAL = "other_refusal"  # of another request, then the response
    NAMELESS_REFUSAL = "nameless_refusal"  # without an id, then the response
    HALF_HEAD = "half_head"
    INTERIM = "interim"  # 100 Continue, and nothing else
    CLOSE = "close"
    RESET = "reset"


# Relative frequency; the first is as frequent as all others together.
_WEIGHTS = {item: 1 for item in Failure} | {Failure.STATUS: len(Failure) - 1}
FOLLOWED_BY_RESPONSE = (Failure.OTHER_REFUSAL, Failure.NAMELESS_REFUSAL)


class Connection:
    """Connection of an entry, with the second copy that it still gets."""

    __slots__ = ("_channel", "_copy", "_crossing", "_open", "count")

    def __init__(self, channel: Any) -> None:
        self._channel = channel
        self._copy: tuple[str, bytes] | None = None
        # Id of a copy that was written without an open request. An entry that
        # still sends a request on the connection had not read it.
        self._crossing = ""
        self._open: tuple[server.Request, ledger_module.Arrival] | None = None
        self.count = 0  # requests that have arrived

    def on_arrival(
        self, request: server.Request, arrival: ledger_module.Arrival
    ) -> None:
        """Record a request, and that the connection was used before."""
        arrival.is_reused = self.count > 0
        self.count += 1
        self._open = request, arrival
        if self._crossing:
            _record_copy(arrival, self._crossing)

    def keep_copy(self, request_id: str, data: bytes) -> None:
        """Write a second copy in front of the next response."""
        self._copy = request_id, data

    def write_kept_copy(self) -> None:
        """Write the copy that is to precede the response."""
        if self._copy is not None:
            (request_id, data), self._copy = self._copy, None
            self.write_copy(request_id, data)

    def write_copy(self, request_id: str, data: bytes) -> None:
        """Write a second copy, unless inside a response.

        One that ends with its connection lasts until that is closed.
        """
        transport = self._channel.transport
        if not transport.connected or transport.disconnecting:
            return
        if self._open is None:
            return
        request, arrival = self._open
        if request.finished:
            self._crossing = request_id
        elif request.startedWriting:
            return
        else:
            _record_copy(arrival, request_id)
        transport.write(data)


class Refusals:
    """Choose what servers refuse and fail, and send their raw responses.

    Load pattern: some hundred requests a second at most, on as many
    connections as the entries keep.
    """

    __slots__ = ("_connections", "_is_active", "_random")

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._is_active = True
        self._connections: dict[Any, Connection] = {}  # by channel

    def end(self) -> None:
        """Refuse and fail nothing from now on."""
        self._is_active = False

    def connection(self, request: server.Request) -> Connection:
        """Return the connection that a request has arrived on."""
        channel = request.channel
        if channel not in self._connections:
            self._connections[channel] = Connection(channel)
        return self._connections[channel]

    def refuse(
        self, request: server.Request, arrival: ledger_module.Arrival
    ) -> bool:
        """Refuse a share of the requests; return whether this one is."""
        if not self._is_active or self._random.random() >= REFUSED_SHARE:
            return False
        status = self._random.choice(CERTIFIED_STATUSES)
        arrival.action = f"refused with {status}"
        data = _response(request, status, _certificate(arrival.request_id))
        connection = self.connection(request)
        connection.write_kept_copy()
        _respond(request, data)
        if self._random.random() >= TWICE_SHARE:
            return True
        arrival.action += " twice"
        if self._random.random() < 0.5:
            connection.keep_copy(arrival.request_id, data)
        else:
            reactor.callLater(
                self._random.uniform(0.0, MAX_COPY_DELAY_S),
                connection.write_copy,
                arrival.request_id,
                data,
            )
        return True

    def failure(self) -> Failure | None:
        """Return how the next run fails, if it does."""
        if not self._is_active or self._random.random() >= FAILED_SHARE:
            return None
        weights = _WEIGHTS
        return self._random.choices([*weights], [*weights.values()])[0]

    def delay_s(self, request: server.Request, usual_s: float) -> float:
        """Return when a response comes that is close to the deadline."""
        left_ms = request.getHeader("balsamwall-deadline-ms")
        if left_ms is None:
            return usual_s
        spread_s = self._random.uniform(-DEADLINE_SPREAD_S, DEADLINE_SPREAD_S)
        return max(0.0, int(left_ms) / 1_000 + spread_s)

    def fail(
        self,
        failure: Failure,
        request: server.Request,
        arrival: ledger_module.Arrival,
    ) -> bool:
        """Fail a run; return whether the usual response follows."""
        arrival.action = failure.value
        _FAILURES[failure](_FailedRun(self._random, request, arrival))
        return failure in FOLLOWED_BY_RESPONSE


@dataclasses.dataclass(slots=True, frozen=True)
class _FailedRun:
    """Run that fails, and the source of what varies in it."""

    random: random.Random
    request: server.Request
    arrival: ledger_module.Arrival

    def write(self, data: bytes) -> None:
        """Write bytes that need not be a response."""
        self.request.channel.transport.write(data)

    def send_status(self, statuses: tuple[int, ...]) -> None:
        """Send one of the statuses, signed, with the id only or without."""
        status = self.random.choice(statuses)
        form = self.random.choice(("signed", "unsigned", "bare"))
        self.arrival.action += f" {status} {form}"
        request_id = self.arrival.request_id
        fields = []
        if form != "bare":
            fields.append(f"Balsamwall-Request-Id: {request_id}")
        if form == "signed":
            signature = f"{self.arrival.server_id}.{request_id}"
            fields.append(f"Balsamwall-Response-Signature: {signature}")
        _respond(self.request, _response(self.request, status, fields))


_FAILURES: dict[Failure, Callable[[_FailedRun], None]] = {}


def _on(
    failure: Failure,
) -> Callable[[Callable[[_FailedRun], None]], Callable[[_FailedRun], None]]:
    """Register the function that fails a run in one way."""

    def register(
        function: Callable[[_FailedRun], None],
    ) -> Callable[[_FailedRun], None]:
        _FAILURES[failure] = function
        return function

    return register


@_on(Failure.STATUS)
def _send_status(run: _FailedRun) -> None:
    run.send_status(FAILED_STATUSES)


@_on(Failure.AT_DEADLINE)
def _send_status_at_deadline(run: _FailedRun) -> None:
    run.send_status(DEADLINE_STATUSES)


@_on(Failure.OTHER_REFUSAL)
def _send_other_refusal(run: _FailedRun) -> None:
    _record(run.arrival, Intrusion.OTHER_REFUSAL)
    fields = _certificate(f"other-{run.arrival.request_id}")
    run.write(_response(run.request, 503, fields))


@_on(Failure.NAMELESS_REFUSAL)
def _send_nameless_refusal(run: _FailedRun) -> None:
    _record(run.arrival, Intrusion.NAMELESS_REFUSAL)
    run.write(_response(run.request, 503, _certificate("")))


@_on(Failure.HALF_HEAD)
def _send_half_head(run: _FailedRun) -> None:
    fields = _certificate(run.arrival.request_id)
    data = _response(run.request, 503, fields)
    run.write(data[: data.index(b"\r\n\r\n")])
    run.request.channel.loseConnection()


@_on(Failure.INTERIM)
def _send_interim(run: _FailedRun) -> None:
    run.write(b"HTTP/1.1 100 Continue\r\n\r\n")


@_on(Failure.CLOSE)
def _close(run: _FailedRun) -> None:
    run.request.channel.loseConnection()


@_on(Failure.RESET)
def _reset(run: _FailedRun) -> None:
    run.request.channel.forceAbortClient()


def _record_copy(arrival: ledger_module.Arrival, request_id: str) -> None:
    is_own = request_id == arrival.request_id
    _record(arrival, Intrusion.OWN_COPY if is_own else Intrusion.OTHER_REFUSAL)


def _record(arrival: ledger_module.Arrival, intrusion: Intrusion) -> None:
    """Record what precedes a response; the most misleading one counts."""
    arrival.intrusion = max(arrival.intrusion, intrusion)


def _certificate(request_id: str) -> list[str]:
    """Return the fields of a refusal that certifies it has not run."""
    fields = ["Balsamwall-Not-Executed: 1"]
    if request_id:
        fields.append(f"Balsamwall-Request-Id: {request_id}")
    return fields


def _response(
    request: server.Request, status: int, fields: list[str]
) -> bytes:
    head = [
        f"HTTP/1.1 {status} Failed",
        f"Content-Length: {len(SERVER_BODY)}",
        *fields,
    ]
    for name in SERVER_FIELDS:
        for value in request.responseHeaders.getRawHeaders(name, []):
            head.append(f"{name}: {value}")
    return "\r\n".join([*head, "", ""]).encode() + SERVER_BODY


def _respond(request: server.Request, data: bytes) -> None:
    """Write a whole response past twisted's own head, and end the request."""
    request.channel.transport.write(data)
    request.startedWriting = 1
    request.finish()
