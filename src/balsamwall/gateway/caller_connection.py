"""Serve the connection of a caller over HTTP/1.1."""

from __future__ import annotations

import socket
from typing import Any
from typing import Protocol as TypingProtocol
from typing import TYPE_CHECKING

import h11
from twisted.internet import interfaces
from twisted.internet import protocol
from zope.interface import declarations

from balsamwall.gateway import refusal
from balsamwall.gateway import request_exchange
from balsamwall.gateway import request_reader

if TYPE_CHECKING:
    from collections.abc import Sequence

    from balsamwall.gateway import caller_exchange
    from balsamwall.gateway import unsent_bytes
    from balsamwall.results import result_code
    from balsamwall.timing import clock as clock_module

# Unsent bytes at which the transport pauses the response.
SEND_BUFFER_BYTES = 65_536
# The server closes an idle connection later than callers stop reusing it, so
# that no request is sent on a connection that is being closed.
IDLE_MARGIN_MS = 1_000
# A closing connection is aborted if the caller has not read the rest by then.
CLOSE_TIMEOUT_MS = 5_000
# An abort discards unsent bytes. This delay lets the last ones be sent, so
# that the caller receives the head and the complete events.
FLUSH_BEFORE_ABORT_MS = 20
# A draining entry does not close a connection that was opened or used within
# this time, since a request may be on its way.
MIN_IDLE_MS = 500


class CallerSite(request_reader.ReaderSite, TypingProtocol):
    """Own the callers' connections."""

    @property
    def unsent(self) -> unsent_bytes.UnsentBytes:
        """Return the count of bytes held for callers that do not read."""

    @property
    def is_closing(self) -> bool:
        """Return whether connections close after their current response."""

    def on_opened(self, connection: CallerConnection) -> None:
        """Register a connection."""

    def on_closed(self, connection: CallerConnection) -> None:
        """Unregister a connection."""

    def on_request(self, exchange: caller_exchange.CallerExchange) -> None:
        """Handle a request that was read completely."""

    def on_rejected(self, status: int, reason: str) -> None:
        """Handle the rejection of a malformed or oversized request."""


@declarations.implementer(interfaces.IPushProducer)
class CallerConnection(protocol.Protocol):  # type: ignore[misc]
    """Read one request at a time and write its response.

    It is registered as the producer of its transport, so that a caller that
    reads slowly only slows down the backend response of its own request.
    """

    def __init__(self, site: CallerSite) -> None:
        self._site = site
        self._parser = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=site.limits.max_header_bytes,
        )
        self._reader = request_reader.RequestReader(site, self._parser, self)
        self._idle_since_ms = 0
        self._listener: caller_exchange.ExchangeListener | None = None
        self._timer: clock_module.Timer | None = None
        self._is_lost = False
        self._is_blocked = False
        self._is_closing = False

    # Reading

    def connectionMade(self) -> None:  # noqa: N802
        """Register the connection and start the idle timeout."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self._site.on_opened(self)
        self._wait_idle()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass received bytes to the reader."""
        if not self._is_closing:
            self._reader.receive(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Notify the site and the request that the caller disconnected."""
        self._is_lost = True
        self.cancel_timer()
        self._site.unsent.remove(self)
        self._site.on_closed(self)
        listener, self._listener = self._listener, None
        if listener is not None:
            listener.on_caller_disconnected()
        self._reader.release_body()

    @property
    def is_ended(self) -> bool:
        """Return whether nothing more may be read."""
        return self._is_lost or self._is_closing

    def on_request_read(self) -> None:
        """Handle a request that was read completely."""
        reader = self._reader
        self._site.on_request(
            request_exchange.RequestExchange(
                self, reader.head, reader.body, reader.arrived_ms or 0
            )
        )

    def on_read_timeout(self) -> None:
        """Handle a request that takes too long."""
        self.reject(408, "timeout while reading the request")

    # Response

    @property
    def listener(self) -> caller_exchange.ExchangeListener | None:
        """Return the handler of the request, if it has one."""
        return self._listener

    def set_listener(self, listener: caller_exchange.ExchangeListener) -> None:
        """Set the handler of the request."""
        self._listener = listener

    def begin(
        self,
        status: int,
        fields: Sequence[tuple[bytes, bytes]],
        length: int | None,
    ) -> None:
        """Write the head of the response.

        Without a length, the body is chunked or, for HTTP/1.0, ends with the
        connection.
        """
        headers = list(fields)
        if length is not None:
            headers.append((b"content-length", str(length).encode()))
        if self._site.is_closing or not self._reader.is_complete:
            headers.append((b"connection", b"close"))
        self.send(h11.Response(status_code=status, headers=headers))

    def write(self, data: bytes) -> None:
        """Write a part of the body."""
        self.send(h11.Data(data=data))

    def finish(self) -> None:
        """End a complete response."""
        if not self.send(h11.EndOfMessage()):
            return
        self._next_request()

    def cut(self) -> None:
        """End a response so that the caller detects that it is incomplete."""
        self._listener = None
        if self._is_lost:
            return
        if self._parser.their_http_version == b"1.0":
            # HTTP/1.0 has no chunked coding, so a clean close would look like
            # the end of the body. A reset does not.
            self._is_closing = True
            self.set_timer(FLUSH_BEFORE_ABORT_MS, self.abort)
            return
        self.close()

    def close_if_idle(self) -> None:
        """Close the connection if no request is open or on its way."""
        if self._is_closing:
            return
        idle_ms = self._site.clock.now_ms() - self._idle_since_ms
        is_idle = self._reader.is_idle and idle_ms >= MIN_IDLE_MS
        if is_idle and not self._has_unread():
            self.close()

    def abort(self) -> None:
        """Abort the connection without flushing."""
        if not self._is_lost:
            self.transport.abortConnection()

    def _next_request(self) -> None:
        self._listener = None
        self._reader.end_request()
        if self._parser.our_state is h11.MUST_CLOSE or self._site.is_closing:
            self.close()
            return
        try:
            self._parser.start_next_cycle()
        except h11.LocalProtocolError:
            # The caller asked to close, or its request was not read entirely.
            self.close()
            return
        self._reader.start_next()
        self._wait_idle()
        self._reader.read_events()

    def send(self, event: Any) -> bool:
        """Write an event of the parser; return whether it was possible."""
        if self._is_lost:
            return False
        data = self._parser.send(event)
        if data:
            self.transport.write(data)
            if self._is_blocked:
                self._site.unsent.add(self, len(data))
        return True

    def refuse(self, code: result_code.ResultCode, detail: str) -> None:
        """Refuse a request that is not read and close the connection."""
        self.cancel_timer()
        self._site.on_rejected(code.http_status, detail)
        refusal.write(self, code, detail)

    def reject(self, status: int, reason: str) -> None:
        """Respond to a bad request with an error and close the connection."""
        self.cancel_timer()
        self._site.on_rejected(status, reason)
        if self._parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            text = reason.encode("latin-1", "replace")
            head = [
                (b"content-length", str(len(text)).encode()),
                (b"content-type", b"text/plain"),
                (b"connection", b"close"),
            ]
            self.send(h11.Response(status_code=status, headers=head))
            self.send(h11.Data(data=text))
            self.send(h11.EndOfMessage())
        self.close()

    # Back-pressure and timeouts

    def pauseProducing(self) -> None:  # noqa: N802
        """Pause the backend response, since the caller is not reading."""
        if not self._is_blocked:
            self._is_blocked = True
            self._site.unsent.add(self, SEND_BUFFER_BYTES)
        if self._listener is not None:
            self._listener.on_caller_blocked(True)

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume the backend response."""
        self._is_blocked = False
        self._site.unsent.remove(self)
        if self._listener is not None:
            self._listener.on_caller_blocked(False)

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing, since connectionLost follows."""

    def close(self) -> None:
        """Close the connection after its last response was read."""
        self.cancel_timer()
        self._reader.release_body()
        if self._is_lost:
            return
        self._is_closing = True
        # The transport does not close while a producer is registered.
        self.transport.unregisterProducer()
        if self._has_unread():
            # To close a socket with unread bytes resets the connection, and
            # the caller could lose the last response.
            self.transport.resumeProducing()
            self.transport.loseWriteConnection()
        else:
            self.transport.loseConnection()
        self.set_timer(CLOSE_TIMEOUT_MS, self.abort)

    def _has_unread(self) -> bool:
        """Return whether bytes have arrived that were not read yet.

        In a process with much to do, a request may have arrived before the
        timer that closes its connection runs.
        """
        try:
            flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
            return bool(self.transport.getHandle().recv(1, flags))
        except OSError:
            return False

    def _wait_idle(self) -> None:
        self._idle_since_ms = self._site.clock.now_ms()
        self.set_timer(
            self._site.limits.idle_timeout_ms + IDLE_MARGIN_MS,
            self._on_idle_timeout,
        )

    def _on_idle_timeout(self) -> None:
        if self._has_unread():
            self._wait_idle()
        else:
            self.close()

    def set_timer(self, delay_ms: int, function: Any) -> None:
        """Replace the timer of the connection."""
        self.cancel_timer()
        self._timer = self._site.clock.call_later(delay_ms, function)

    def cancel_timer(self) -> None:
        """Cancel the timer of the connection."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
