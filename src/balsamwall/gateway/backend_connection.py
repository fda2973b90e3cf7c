"""Connect to a backend server as an HTTP/1.1 client."""

from __future__ import annotations

import collections
import enum
import socket
from typing import Any
from typing import Protocol as TypingProtocol
from typing import TYPE_CHECKING

import h11
from twisted.internet import error
from twisted.internet import protocol

from balsamwall.gateway import body_framing
from balsamwall.gateway import connection_source
from balsamwall.gateway import http_fields
from balsamwall.gateway import request_writer

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.gateway import held_bodies

MAX_RESPONSE_HEAD_BYTES = 65_536
# A VM that loses power does not reset its connections. They are closed when
# sent bytes or keepalive probes are not acknowledged for this long.
TCP_USER_TIMEOUT_MS = 3_000
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_COUNT = 2
# The system takes no more bytes than the server has room for, and these. The
# rest of a body is counted in the process.
MAX_UNSENT_BYTES = 65_536
# Number of earlier requests whose identifiers a connection remembers.
REMEMBERED_REQUESTS = 32


class BreakReason(enum.Enum):
    """State why a response is incomplete."""

    CLOSED = "closed"
    INVALID = "invalid"


class ResponseReceiver(TypingProtocol):
    """Receive one response; on_end or on_broken is called exactly once."""

    @property
    def attempt_id(self) -> bytes:
        """Return the identifier that the response must echo."""

    def on_written(self) -> None:
        """Handle that the body was written in full, if there is one."""

    def on_head(
        self,
        status: int,
        fields: http_fields.Fields,
        framing: body_framing.BodyFraming,
    ) -> None:
        """Handle the status and the header fields, names in lower case."""

    def on_data(self, data: bytes) -> None:
        """Handle a part of the body."""

    def on_end(self) -> None:
        """Handle the end of a complete response."""

    def on_broken(self, reason: BreakReason, detail: str) -> None:
        """Handle a response that will not be completed."""


class BackendConnection(protocol.Protocol):  # type: ignore[misc]
    """Send one request at a time and parse its response."""

    def __init__(
        self,
        echo_field: bytes,
        on_idle: Callable[[BackendConnection], None],
        on_lost: Callable[[BackendConnection], None],
        on_response: Callable[[BackendConnection], None] | None = None,
    ) -> None:
        self._echo_field = echo_field
        self._on_idle = on_idle
        self._on_lost = on_lost
        self._on_response = on_response
        self._parser = self._new_parser()
        self._receiver: ResponseReceiver | None = None
        self._request: h11.Request | None = None
        self._sent_ids: collections.deque[bytes] = collections.deque(
            maxlen=REMEMBERED_REQUESTS
        )
        self._is_stale_response = False
        self._has_response = False
        self._writer: request_writer.RequestWriter | None = None
        self._framing = body_framing.BodyFraming.LENGTH
        self._is_closing = False
        self.is_lost = False
        self.idle_limit_ms: int | None = None
        self.source = connection_source.ConnectionSource.NONE_IDLE

    def has_sent(self, attempt_id: bytes) -> bool:
        """Return whether an earlier request had the same identifier.

        A late second response to it would be taken for that of a new request
        with the identifier.
        """
        return attempt_id in self._sent_ids

    @property
    def is_open(self) -> bool:
        """Return whether it is neither lost nor being closed."""
        return not (self.is_lost or self._is_closing)

    @property
    def is_awaited(self) -> bool:
        """Return whether a request was sent and nothing was received since."""
        return self._receiver is not None and not self._has_response

    @property
    def is_written(self) -> bool:
        """Return whether the current request was written in full."""
        return self._writer is None

    @staticmethod
    def _new_parser() -> h11.Connection:
        return h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_RESPONSE_HEAD_BYTES
        )

    def connectionMade(self) -> None:  # noqa: N802
        """Configure the socket to detect a peer that no longer responds."""
        self.transport.setTcpNoDelay(True)
        self.transport.setTcpKeepAlive(True)
        handle = self.transport.getHandle()
        for option, value in (
            (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
            (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
            (socket.TCP_KEEPCNT, KEEPALIVE_COUNT),
            (socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
            (socket.TCP_NOTSENT_LOWAT, MAX_UNSENT_BYTES),
        ):
            handle.setsockopt(socket.IPPROTO_TCP, option, value)

    def send(
        self,
        method: bytes,
        target: bytes,
        fields: http_fields.Fields,
        body: held_bodies.HeldBody,
        receiver: ResponseReceiver,
    ) -> None:
        """Write a request; its response goes to the receiver."""
        self._receiver = receiver
        self._sent_ids.append(receiver.attempt_id)
        self._is_stale_response = False
        self._has_response = False
        self._request = h11.Request(
            method=method, target=target, headers=fields
        )
        head = self._parser.send(self._request) or b""
        if not body.size:
            self._parser.send(h11.EndOfMessage())
            self.transport.write(head)
            return
        # With a length, the body is written as it is.
        data = self._parser.send(h11.Data(data=body.data)) or b""
        self._parser.send(h11.EndOfMessage())
        self._writer = request_writer.RequestWriter(
            self.transport, data, body, self._on_written
        )
        self._writer.start(head)

    def close(self) -> None:
        """Abort the connection; the receiver is not called again."""
        self._is_closing = True
        self._receiver = None
        if self._writer is not None:
            self._writer.stopProducing()
        if not self.is_lost:
            self.transport.abortConnection()

    def pause(self) -> None:
        """Stop reading the response."""
        if not self.is_lost:
            self.transport.pauseProducing()

    def resume(self) -> None:
        """Resume reading the response."""
        if not self.is_lost:
            self.transport.resumeProducing()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse a part of a response."""
        if self._receiver is None:
            # No request is open, so the bytes are not part of any response.
            self.close()
            return
        if not self._has_response:
            self._has_response = True
            if self._on_response is not None:
                self._on_response(self)
        try:
            self._parser.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError as fault:
            self._fail(BreakReason.INVALID, str(fault))

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Complete a close-delimited response, or report a failure."""
        self.is_lost = True
        self._on_lost(self)
        if self._receiver is None:
            return
        detail = reason.getErrorMessage() if reason is not None else ""
        # Only a clean close completes a response without a length; after a
        # reset the response may be truncated.
        is_close_delimited = self._framing is body_framing.BodyFraming.CLOSE
        if is_close_delimited and reason.check(error.ConnectionDone):
            try:
                self._parser.receive_data(b"")
                self._read_events()
            except h11.RemoteProtocolError as fault:
                detail = str(fault)
        self._fail(BreakReason.CLOSED, detail)

    def _read_events(self) -> None:
        while self._receiver is not None:
            event = self._parser.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Response):
                self._on_head(event)
            elif isinstance(event, h11.Data):
                if not self._is_stale_response:
                    self._receiver.on_data(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._on_end()
            elif isinstance(event, h11.ConnectionClosed):
                return

    def _on_head(self, event: Any) -> None:
        assert self._receiver is not None
        fields = [(bytes(n), bytes(v)) for n, v in event.headers]
        echoed = http_fields.values(fields, self._echo_field)
        expected = self._receiver.attempt_id
        # A second response to an earlier request may arrive first. One that
        # names this request, too, is for the receiver to judge.
        self._is_stale_response = any(echoed) and expected not in echoed
        if self._is_stale_response:
            return
        assert self._request is not None
        status = int(event.status_code)
        self._framing = body_framing.of_response(
            self._request.method, status, fields
        )
        self.idle_limit_ms = http_fields.keep_alive_ms(fields)
        self._receiver.on_head(status, fields, self._framing)

    def _on_end(self) -> None:
        if self._is_stale_response:
            self._skip_stale_response()
            return
        receiver, self._receiver = self._receiver, None
        extra, _ = self._parser.trailing_data
        is_reusable = not extra and self._parser.their_state is h11.DONE
        is_reusable = is_reusable and self._parser.our_state is h11.DONE
        # The rest of a body that the server does not want is not written.
        is_reusable = is_reusable and self.is_written
        if is_reusable and not self.is_lost:
            self._parser.start_next_cycle()
            # The caller may not have read the last part yet. A connection that
            # is not read would lose the response to the next request.
            self.resume()
            self._on_idle(self)
        else:
            self.close()
        if receiver is not None:
            receiver.on_end()

    def _on_written(self) -> None:
        self._writer = None
        if self._receiver is not None:
            self._receiver.on_written()

    def _skip_stale_response(self) -> None:
        """Discard a response to an earlier request and parse the next one."""
        rest, is_closed = self._parser.trailing_data
        self._parser = self._new_parser()
        self._is_stale_response = False
        assert self._request is not None
        # The request was already written. Sending it to the new parser only
        # brings the parser into the state to expect a response.
        self._parser.send(self._request)
        length = http_fields.content_length(list(self._request.headers))
        if length:
            self._parser.send(h11.Data(data=b"\0" * length))
        self._parser.send(h11.EndOfMessage())
        if rest:
            self._parser.receive_data(rest)
        if is_closed:
            self._parser.receive_data(b"")

    def _fail(self, reason: BreakReason, detail: str) -> None:
        receiver, self._receiver = self._receiver, None
        self.close()
        if receiver is not None:
            receiver.on_broken(reason, detail)
