"""HTTP client with streaming, timeouts and cancellation."""

from __future__ import annotations

import dataclasses
from typing import Any
from typing import Protocol
from typing import TYPE_CHECKING

from twisted.internet import defer
from twisted.internet import error
from twisted.internet import protocol
from twisted.web import client
from twisted.web import http_headers
from twisted.web import iweb
from zope import interface

from balsamwall.infrastructure import request_endpoint
from balsamwall.infrastructure import response_bounds

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.python import failure

    from balsamwall.timing import clock as clock_module

# Bounds of the body of one response, and of all unfinished ones of a client.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
MAX_UNFINISHED_BYTES = 2 * MAX_RESPONSE_BYTES
EXCEEDED = "response exceeds the size limit"
# Reason of a refused connection: no process listens on the port. A connect
# timeout is a different reason, as the process may be busy or paused.
CONNECTION_REFUSED = "connection refused"
_NOT_SENT_ERRORS = (
    error.ConnectError,
    error.ConnectingCancelledError,
    error.DNSLookupError,
    error.TimeoutError,
)


class Receiver(Protocol):
    """Receiver of a streamed response; on_close is called exactly once."""

    def on_head(self, status: int, headers: dict[str, str]) -> None:
        """Receive the status and the headers, with lower-case names."""

    def on_data(self, data: bytes) -> None:
        """Receive a chunk of the body."""

    def on_close(self, is_complete: bool, was_sent: bool, reason: str) -> None:
        """Receive the end; was_sent is False if no request data was sent."""


@dataclasses.dataclass(slots=True, frozen=True)
class HttpResponse:
    """Complete response, or status 0 and the reason for its absence.

    `was_sent` is False only if no request data was sent.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    was_sent: bool
    reason: str


@interface.implementer(iweb.IBodyProducer)
class _BytesProducer:
    def __init__(self, body: bytes) -> None:
        self.length = len(body)
        self._body = body

    def startProducing(self, consumer: Any) -> Any:
        consumer.write(self._body)
        return defer.succeed(None)

    def pauseProducing(self) -> None:
        """Do nothing; the body is written in one piece."""

    def resumeProducing(self) -> None:
        """Do nothing; the body is written in one piece."""

    def stopProducing(self) -> None:
        """Do nothing; the body is written in one piece."""


class _BodyReader(protocol.Protocol):  # type: ignore[misc]
    def __init__(self, exchange: HttpExchange) -> None:
        self._exchange = exchange

    def dataReceived(self, data: bytes) -> None:
        self._exchange.on_data(data)

    def connectionLost(self, reason: failure.Failure = None) -> None:
        # PotentialDataLoss means that the response had no length, so that a
        # truncated body would look complete. It counts as incomplete.
        is_complete = bool(reason.check(client.ResponseDone))
        self._exchange.close(is_complete, True, reason.getErrorMessage())


class HttpExchange:
    """One request and its response on a dedicated connection."""

    __slots__ = (
        "_allowance",
        "_deferred",
        "_may_send",
        "_reader",
        "_receiver",
    )

    def __init__(
        self,
        receiver: Receiver,
        max_bytes: int | None = None,
        may_send: Callable[[], bool] = lambda: True,
    ) -> None:
        """Set the bound on the body, None for a stream without one."""
        self._allowance = response_bounds.ResponseAllowance(max_bytes)
        self._may_send = may_send
        self._receiver: Receiver | None = receiver
        self._deferred: Any = None
        self._reader: Any = None

    def start(
        self,
        agent: Any,
        method: str,
        url: str,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        """Send the request; an invalid URL is reported as a connect error."""
        raw_headers = http_headers.Headers(
            {name: [value] for name, value in headers.items()}
        )
        producer = _BytesProducer(body) if body or method == "POST" else None
        try:
            self._deferred = agent.request(
                method.encode("ascii"),
                url.encode("utf-8"),
                raw_headers,
                producer,
            )
        except ValueError as invalid_url:
            self._deferred = defer.fail(error.ConnectError(str(invalid_url)))
        self._deferred.addCallbacks(self._on_response, self._on_failure)

    def abort(self) -> None:
        """Close the connection; the receiver is not called again."""
        self._receiver = None
        if self._reader is not None:
            if self._reader.transport is not None:
                self._reader.transport.loseConnection()
        elif self._deferred is not None:
            self._deferred.cancel()

    @property
    def allowance(self) -> response_bounds.ResponseAllowance:
        """Return the bytes that the response may have."""
        return self._allowance

    @property
    def may_send(self) -> bool:
        """Return whether the request may still be sent."""
        return self._may_send()

    def on_exceeded(self) -> None:
        """Report a response that exceeds its bound; it has been cut."""
        self.close(False, True, EXCEEDED)

    def on_data(self, data: bytes) -> None:
        """Pass a chunk of the body to the receiver."""
        if self._receiver is not None:
            self._receiver.on_data(data)

    def close(self, is_complete: bool, was_sent: bool, reason: str) -> None:
        """Report the end to the receiver; do nothing on later calls."""
        receiver, self._receiver = self._receiver, None
        if receiver is not None:
            receiver.on_close(is_complete, was_sent, reason)

    def _on_response(self, response: Any) -> None:
        self._allowance.on_head()
        self._reader = _BodyReader(self)
        if self._receiver is not None:
            found = {
                name.decode("latin-1").lower(): values[0].decode("latin-1")
                for name, values in response.headers.getAllRawHeaders()
            }
            self._receiver.on_head(response.code, found)
        response.deliverBody(self._reader)
        if self._receiver is None and self._reader.transport is not None:
            self._reader.transport.loseConnection()

    def _on_failure(self, reason: failure.Failure) -> None:
        was_sent = not reason.check(*_NOT_SENT_ERRORS)
        is_refused = reason.check(error.ConnectionRefusedError)
        text = CONNECTION_REFUSED if is_refused else reason.getErrorMessage()
        self.close(False, was_sent, text)


class _ResponseCollector:
    """Receiver that collects a complete response before a timeout."""

    __slots__ = (
        "_body",
        "_callback",
        "_headers",
        "_memory",
        "_status",
        "exchange",
        "timer",
    )

    def __init__(
        self,
        callback: Callable[[HttpResponse], None],
        memory: response_bounds.ResponseMemory[_ResponseCollector],
        max_bytes: int,
        may_send: Callable[[], bool],
    ) -> None:
        self._callback: Callable[[HttpResponse], None] | None = callback
        self._memory = memory
        self._status = 0
        self._headers: dict[str, str] = {}
        self._body = bytearray()
        self.exchange = HttpExchange(self, max_bytes, may_send)
        self.timer: clock_module.Timer | None = None

    def on_head(self, status: int, headers: dict[str, str]) -> None:
        self._status = status
        self._headers = headers

    def on_data(self, data: bytes) -> None:
        self._body += data
        for longest in self._memory.add(self, len(data)):
            longest.cut()

    def cut(self) -> None:
        """Abort a response, as the unfinished ones are too long together."""
        self.exchange.abort()
        self.on_close(False, True, EXCEEDED)

    def on_close(self, is_complete: bool, was_sent: bool, reason: str) -> None:
        callback = self._end()
        if callback is None:
            return
        status = self._status if is_complete else 0
        body = bytes(self._body) if is_complete else b""
        self._body.clear()
        callback(HttpResponse(status, self._headers, body, was_sent, reason))

    def on_timeout(self) -> None:
        self.exchange.abort()
        self.on_close(False, True, "no complete response within the timeout")

    def cancel(self) -> None:
        self._end()
        self.exchange.abort()

    def _end(self) -> Callable[[HttpResponse], None] | None:
        """Release timer and memory; return the callback on the first call."""
        if self.timer is not None:
            self.timer.cancel()
        self._memory.remove(self)
        callback, self._callback = self._callback, None
        return callback


class HttpClient:
    """Client that opens one connection per request.

    A persistent connection may be dead or already closed by the peer; a
    request sent on it would needlessly end with an unknown outcome.
    """

    __slots__ = ("_clock", "_memory", "_pool", "_reactor")

    def __init__(
        self,
        reactor: Any,
        clock: clock_module.Clock,
        max_unfinished_bytes: int = MAX_UNFINISHED_BYTES,
    ) -> None:
        """Set the bound on the bodies of all unfinished responses."""
        self._clock = clock
        self._reactor = reactor
        self._memory: response_bounds.ResponseMemory[_ResponseCollector] = (
            response_bounds.ResponseMemory(max_unfinished_bytes)
        )
        self._pool = client.HTTPConnectionPool(reactor, persistent=False)
        self._pool.retryAutomatically = False

    def stream(
        self,
        method: str,
        url: str,
        headers: dict[str, str],
        body: bytes,
        receiver: Receiver,
    ) -> HttpExchange:
        """Send a request and stream the response, without a read timeout."""
        exchange = HttpExchange(receiver)
        self._start(exchange, method, url, headers, body)
        return exchange

    def call(
        self,
        method: str,
        url: str,
        headers: dict[str, str],
        body: bytes,
        timeout_ms: int,
        callback: Callable[[HttpResponse], None],
        send_by_ms: int | None = None,
        max_bytes: int = MAX_RESPONSE_BYTES,
    ) -> Callable[[], None]:
        """Send a request and call back once; return a cancel function.

        `timeout_ms` covers the whole call, and `max_bytes` the body with its
        framing. After a cancel there is no callback. A connection that is open
        only after `send_by_ms`, as the process was paused or the server slow,
        is closed without a request.
        """
        collector = _ResponseCollector(
            callback,
            self._memory,
            max_bytes,
            lambda: send_by_ms is None or self._clock.now_ms() <= send_by_ms,
        )
        collector.timer = self._clock.call_later(
            timeout_ms, collector.on_timeout
        )
        self._start(collector.exchange, method, url, headers, body)
        return collector.cancel

    def _start(
        self,
        exchange: HttpExchange,
        method: str,
        url: str,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        agent = client.Agent.usingEndpointFactory(
            self._reactor,
            request_endpoint.EndpointFactory(self._reactor, exchange),
            self._pool,
        )
        exchange.start(agent, method, url, headers, body)
