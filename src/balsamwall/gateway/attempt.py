"""Send a request to a backend server once."""

from __future__ import annotations

import dataclasses
import enum
from typing import Protocol
from typing import TYPE_CHECKING

from balsamwall.gateway import backend_connection
from balsamwall.gateway import body_framing
from balsamwall.gateway import connection_source
from balsamwall.gateway import incoming_request
from balsamwall.gateway import unread_time

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.gateway import backend_directory
    from balsamwall.gateway import caller_exchange
    from balsamwall.gateway import connection_pool
    from balsamwall.gateway import execution_record
    from balsamwall.gateway import held_bodies
    from balsamwall.gateway import http_fields
    from balsamwall.gateway import server_announcements
    from balsamwall.gateway import stream_meter
    from balsamwall.timing import clock as clock_module

# The rest of a refusal or of a response that nobody receives is read, so that
# the connection can be reused, but only up to these limits: a faulty server
# may send bytes without end.
MAX_DISCARDED_BYTES = 65_536
REFUSAL_BODY_TIMEOUT_MS = 200
# Requests with these methods carry Content-Length even for an empty body.
METHODS_WITH_BODY = (b"POST", b"PUT", b"PATCH")
OK_STATUS = 200


class AttemptFailure(enum.Enum):
    """State why an attempt gave no response for the caller."""

    NOT_CONNECTED = "not_connected"  # nothing was sent
    BACKED_OFF = "backed_off"  # the server wants no requests; nothing was sent
    NOT_RUN = "not_run"  # the server certified that it did not run
    BROKEN = "broken"  # the connection broke; it may have run
    INVALID = "invalid"  # unusable response; it may have run
    STALLED = "stalled"  # no event for too long; it may have run
    UNREAD = "unread"  # cut by the server while its caller did not read
    NOT_READ = "not_read"  # broken while the server did not read the request
    WITHDRAWN = "withdrawn"  # given up by this entry; nothing was sent


# Failures that say nothing about how the server serves other requests.
BLAMELESS = frozenset(
    {
        AttemptFailure.UNREAD,
        AttemptFailure.NOT_READ,
        AttemptFailure.BACKED_OFF,
        AttemptFailure.WITHDRAWN,
    }
)


@dataclasses.dataclass(slots=True, frozen=True)
class OutgoingRequest:
    """Hold the request of one attempt, as it is sent to the server."""

    method: bytes
    target: bytes
    fields: http_fields.Fields
    body: held_bodies.HeldBody
    attempt_id: bytes


def build_outgoing_request(
    codec: incoming_request.RequestCodec,
    exchange: caller_exchange.CallerExchange,
    attempt_fields: http_fields.Fields,
    attempt_id: bytes,
    has_workspaces: bool,
) -> OutgoingRequest:
    """Return the caller's request with the header fields of one attempt."""
    head, body = exchange.head, exchange.body
    fields = codec.forwarded_fields(head, has_workspaces) + attempt_fields
    if body.size or head.method in METHODS_WITH_BODY:
        fields.append((b"content-length", str(body.size).encode()))
    return OutgoingRequest(head.method, head.target, fields, body, attempt_id)


class AttemptListener(Protocol):
    """Receive the events of an attempt.

    Exactly one of on_done and on_failed is called, as the last event, unless
    the attempt is abandoned or detached.
    """

    def on_written(self, attempt: Attempt) -> None:
        """Handle that the body was written in full."""

    def on_response_head(
        self, attempt: Attempt, status: int, fields: http_fields.Fields
    ) -> None:
        """Handle the head of a valid response."""

    def on_response_data(self, attempt: Attempt, data: bytes) -> None:
        """Handle a part of the body."""

    def on_done(self, attempt: Attempt) -> None:
        """Handle the end of a complete response."""

    def on_failed(
        self, attempt: Attempt, failure: AttemptFailure, detail: str
    ) -> None:
        """Handle the failure of the attempt."""


class Attempt:
    """Connect, send the request and validate the head of the response."""

    __slots__ = (
        "_announcements",
        "_cancel_connect",
        "_clock",
        "_codec",
        "_connection",
        "_discard_timer",
        "_discarded_bytes",
        "_is_blocked",
        "_listener",
        "_outgoing",
        "_refusal",
        "_send",
        "_unread",
        "framing",
        "has_backed_off",
        "meter",
        "record",
        "sent_ms",
        "server",
        "source",
        "status",
    )

    def __init__(
        self,
        server: backend_directory.BackendServer,
        codec: incoming_request.RequestCodec,
        outgoing: OutgoingRequest,
        listener: AttemptListener,
        clock: clock_module.Clock,
        announcements: server_announcements.ServerAnnouncements,
        send: execution_record.Send,
    ) -> None:
        self._send = send
        self.server = server
        self.record = server.record  # as it was known at the send
        self.sent_ms = clock.now_ms()
        # Set only for a stream to a service that reports work times.
        self.meter: stream_meter.StreamMeter | None = None
        self._clock = clock
        self.status = 0
        # Whether the server asked for a back-off, here or before the send.
        self.has_backed_off = False
        self.framing: body_framing.BodyFraming | None = None
        # Set when the connection is there.
        self.source: connection_source.ConnectionSource | None = None
        self._codec = codec
        self._announcements = announcements
        self._outgoing = outgoing
        # Held while connecting, also when the caller has gone.
        outgoing.body.retain(self)
        self._listener: AttemptListener | None = listener
        self._refusal = ""
        self._unread = unread_time.UnreadTime()
        self._discarded_bytes = 0
        self._discard_timer: clock_module.Timer | None = None
        self._connection: backend_connection.BackendConnection | None = None
        self._is_blocked = False
        self._cancel_connect: Callable[[], None] | None = None

    @property
    def attempt_id(self) -> bytes:
        """Return the identifier that the response must echo."""
        return self._outgoing.attempt_id

    @property
    def is_sent(self) -> bool:
        """Return whether the request may have reached the server."""
        return self._connection is not None

    @property
    def was_reused(self) -> bool:
        """Return whether the connection had been used before."""
        return self.source is connection_source.ConnectionSource.REUSED

    @property
    def is_written(self) -> bool:
        """Return whether the request was written in full."""
        return self._connection is not None and self._connection.is_written

    @property
    def break_failure(self) -> AttemptFailure:
        """Return the failure of a response that breaks off now.

        A connection breaks when a server reads nothing for some seconds, and
        a large body is not written in full then.
        """
        now_ms = self._clock.now_ms()
        if self._unread.explains_break(now_ms):
            return AttemptFailure.UNREAD
        is_late = now_ms - self.sent_ms >= unread_time.MIN_UNREAD_MS
        if is_late and not self.is_written:
            return AttemptFailure.NOT_READ
        return AttemptFailure.BROKEN

    def start(
        self,
        pool: connection_pool.ConnectionPool,
        is_fresh: bool,
        is_repeatable: bool = False,
    ) -> None:
        """Connect and send the request, on a new connection if is_fresh.

        A repeatable request may use a connection that could be reset.
        """
        cancel = pool.acquire(
            self.server.record, self, is_fresh, is_repeatable
        )
        if self._connection is None:
            self._cancel_connect = cancel

    def abandon(self) -> None:
        """Close the connection; the listener is not called again."""
        self._listener = None
        self._send.withdraw()
        self._cancel_discard_timer()
        if self._connection is not None:
            self._connection.close()
        elif self._cancel_connect is not None:
            self._cancel_connect()
        self._outgoing.body.release(self)

    def detach(self, timeout_ms: int) -> None:
        """Let the server finish; the listener is not called again.

        What is not sent by now is abandoned.
        """
        if self._connection is None:
            self.abandon()
            return
        self._listener = None
        # A caller that was too slow must not keep the server waiting.
        self._connection.resume()
        self._limit_discarding(timeout_ms)

    def set_blocked(self, is_blocked: bool) -> None:
        """Pause or resume reading the response."""
        self._is_blocked = is_blocked
        if self._connection is None:
            return
        if self.meter is not None:
            self.meter.on_blocked()
        self._unread.set_blocked(is_blocked, self._clock.now_ms())
        if is_blocked:
            self._connection.pause()
        else:
            self._connection.resume()

    # ConnectionWaiter

    def on_connected(
        self, connection: backend_connection.BackendConnection
    ) -> None:
        """Send the request, if that is still wanted."""
        if self._announcements.is_backed_off(self.server):
            self._send.on_not_connected()
            self.has_backed_off = True
            self._give_up(
                connection,
                AttemptFailure.BACKED_OFF,
                "the server asked for a back-off",
            )
            return
        if not self._send.begin():
            self._give_up(
                connection,
                AttemptFailure.WITHDRAWN,
                "the request is answered, or another server may run it",
            )
            return
        self._connection = connection
        self.source = connection.source
        outgoing = self._outgoing
        connection.send(
            outgoing.method,
            outgoing.target,
            outgoing.fields,
            outgoing.body,
            self,
        )
        outgoing.body.release(self)
        if self._is_blocked:
            self.set_blocked(True)

    def on_not_connected(self, detail: str) -> None:
        """Report that no connection was made and nothing was sent."""
        self._send.on_not_connected()
        self._outgoing.body.release(self)
        self._fail(AttemptFailure.NOT_CONNECTED, detail)

    # ResponseReceiver

    def on_written(self) -> None:
        """Pass on that the body was written in full, unless it was refused.

        Its end decides whether the body is sent again, and follows soon.
        """
        if self._listener is not None and not self._refusal:
            self._listener.on_written(self)

    def on_head(
        self,
        status: int,
        fields: http_fields.Fields,
        framing: body_framing.BodyFraming,
    ) -> None:
        """Validate the head of the response and pass it to the listener.

        A response that is not signed, does not echo the attempt or has a
        content coding may come from something other than the server, and is
        not forwarded.
        """
        head = self._codec.decode_response(fields, self.attempt_id)
        self.status = status
        self.framing = framing
        self._announcements.on_response(
            self.server, status, head, self.sent_ms
        )
        self.has_backed_off = (
            status == incoming_request.UNAVAILABLE_STATUS
            and head.retry_after is not None
        )
        if head.certifies_not_run(status):
            self._send.on_certified()
            self._refusal = f"status {status}"
            self._limit_discarding(REFUSAL_BODY_TIMEOUT_MS)
            return
        if not head.is_signed or not head.is_echoed or head.is_encoded:
            connection = self._connection
            self._fail(
                AttemptFailure.INVALID,
                f"response {status} has no signature, a wrong or missing "
                "request id, or a content encoding",
            )
            if connection is not None:
                connection.close()
            return
        if self._listener is not None:
            self._listener.on_response_head(self, status, fields)

    def on_data(self, data: bytes) -> None:
        """Pass a part of the body to the listener, unless it is a refusal."""
        if self._listener is not None and not self._refusal:
            if self.meter is not None and self.status == OK_STATUS:
                self.meter.on_data(self._clock.now_ms())
            self._listener.on_response_data(self, data)
            return
        self._discarded_bytes += len(data)
        if self._discarded_bytes > MAX_DISCARDED_BYTES:
            self._stop_discarding()

    def on_end(self) -> None:
        """Report the end of the response."""
        self._cancel_discard_timer()
        if self._refusal:
            self._fail(AttemptFailure.NOT_RUN, self._refusal)
            return
        listener, self._listener = self._listener, None
        if listener is not None:
            listener.on_done(self)

    def on_broken(
        self, reason: backend_connection.BreakReason, detail: str
    ) -> None:
        """Report an incomplete or malformed response."""
        self._cancel_discard_timer()
        if self._refusal:
            self._fail(AttemptFailure.NOT_RUN, self._refusal)
        elif reason is backend_connection.BreakReason.INVALID:
            self._fail(AttemptFailure.INVALID, detail)
        else:
            self._fail(self.break_failure, detail)

    def _give_up(
        self,
        connection: backend_connection.BackendConnection,
        failure: AttemptFailure,
        detail: str,
    ) -> None:
        """Send nothing on a connection that has just come."""
        connection.close()
        self._outgoing.body.release(self)
        self._fail(failure, detail)

    def _limit_discarding(self, timeout_ms: int) -> None:
        """Close the connection if the response has not ended by then."""
        self._cancel_discard_timer()
        self._discard_timer = self._clock.call_later(
            max(0, timeout_ms), self._stop_discarding
        )

    def _stop_discarding(self) -> None:
        """Close the connection; report a refusal."""
        self._cancel_discard_timer()
        if self._connection is not None:
            self._connection.close()
        if self._refusal:
            self._fail(AttemptFailure.NOT_RUN, self._refusal)

    def _cancel_discard_timer(self) -> None:
        if self._discard_timer is not None:
            self._discard_timer.cancel()
            self._discard_timer = None

    def _fail(self, failure: AttemptFailure, detail: str) -> None:
        listener, self._listener = self._listener, None
        if listener is not None:
            listener.on_failed(self, failure, detail)
