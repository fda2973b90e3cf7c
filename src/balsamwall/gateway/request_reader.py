"""Read the requests of one caller's connection."""

from __future__ import annotations

from typing import Any
from typing import Protocol
from typing import TYPE_CHECKING

import h11

from balsamwall.gateway import caller_exchange
from balsamwall.gateway import http_fields
from balsamwall.gateway import request_head_check
from balsamwall.results import result_code

if TYPE_CHECKING:
    from balsamwall.gateway import gateway_configuration
    from balsamwall.gateway import held_bodies
    from balsamwall.timing import clock as clock_module

# Pipelined bytes buffered during a response; reading is paused beyond this.
MAX_PIPELINED_BYTES = 65_536


class ReaderSite(Protocol):
    """Set the limits of the requests that are read."""

    @property
    def clock(self) -> clock_module.Clock:
        """Return the clock."""

    @property
    def limits(self) -> gateway_configuration.CallerLimits:
        """Return the active limits."""

    @property
    def bodies(self) -> held_bodies.HeldBodies:
        """Return the bodies that are held for all callers."""

    def body_wait_ms(self, head: caller_exchange.RequestHead) -> int:
        """Return how long after its arrival a request may still be read."""


class ReadConnection(Protocol):
    """Represent the connection whose requests are read."""

    transport: Any

    @property
    def listener(self) -> caller_exchange.ExchangeListener | None:
        """Return the handler of the request, if it has one."""

    @property
    def is_ended(self) -> bool:
        """Return whether nothing more may be read."""

    def on_request_read(self) -> None:
        """Handle a request that was read completely."""

    def on_read_timeout(self) -> None:
        """Handle a request that takes too long."""

    def send(self, event: Any) -> bool:
        """Write an event of the parser; return whether it was possible."""

    def reject(self, status: int, reason: str) -> None:
        """Respond to a bad request with an error and close the connection."""

    def refuse(self, code: result_code.ResultCode, detail: str) -> None:
        """Refuse a request that is not read and close the connection."""

    def close(self) -> None:
        """Close the connection after its last response was read."""

    def set_timer(self, delay_ms: int, function: Any) -> None:
        """Replace the timer of the connection."""

    def cancel_timer(self) -> None:
        """Cancel the timer of the connection."""


class RequestReader:
    """Read one request at a time, its body only while there is room for it."""

    __slots__ = (
        "_body",
        "_connection",
        "_head",
        "_is_paused",
        "_is_reading",
        "_parser",
        "_site",
        "arrived_ms",
        "is_complete",
    )

    def __init__(
        self, site: ReaderSite, parser: Any, connection: ReadConnection
    ) -> None:
        self._site = site
        self._parser = parser
        self._connection = connection
        self._head: caller_exchange.RequestHead | None = None
        self._body: held_bodies.HeldBody | None = None
        self._is_paused = False
        self._is_reading = False  # whether read_events is running
        self.arrived_ms: int | None = None  # first byte of the request
        self.is_complete = False  # until its response has ended

    @property
    def head(self) -> caller_exchange.RequestHead:
        """Return the request line and fields."""
        assert self._head is not None
        return self._head

    @property
    def body(self) -> held_bodies.HeldBody:
        """Return the body."""
        assert self._body is not None
        return self._body

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being read or responded to."""
        return not self.is_complete and self.arrived_ms is None

    def receive(self, data: bytes) -> None:
        """Parse received bytes; buffer them while a response is written."""
        if self.arrived_ms is None:
            self.arrived_ms = self._site.clock.now_ms()
            self._connection.set_timer(
                self._site.limits.header_timeout_ms,
                self._connection.on_read_timeout,
            )
        self._parser.receive_data(data)
        if self.is_complete:
            self._limit_pipelined()
        else:
            self.read_events()

    def read_events(self) -> None:
        """Parse the bytes that were received up to the end of a request.

        A request that is answered at once calls this for the next one. The
        loop goes on with it then, since calls would nest as deeply as callers
        send requests ahead.
        """
        if self._is_reading:
            return
        self._is_reading = True
        try:
            while not (self.is_complete or self._connection.is_ended):
                event = self._parser.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    break
                self._on_event(event)
        except h11.RemoteProtocolError as error:
            self._connection.reject(error.error_status_hint, str(error))
        finally:
            self._is_reading = False
        if self._body is not None and not self.is_complete:
            self._body.on_incomplete()

    def start_next(self) -> None:
        """Prepare for the next request after the end of a response."""
        if self._is_paused:
            self._is_paused = False
            self._connection.transport.resumeProducing()
        if self._parser.trailing_data[0]:
            self.arrived_ms = self._site.clock.now_ms()

    def end_request(self) -> None:
        """Forget the request, whose response has ended."""
        self.release_body()
        self._head = self._body = self.arrived_ms = None
        self.is_complete = False

    def release_body(self) -> None:
        """Release the body, which will not be sent again; idempotent."""
        if self._body is not None:
            self._body.release(self)

    def _on_event(self, event: Any) -> None:
        if isinstance(event, h11.Request):
            self._on_head(event)
        elif isinstance(event, h11.Data):
            self._on_data(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._on_end()
        elif isinstance(event, h11.ConnectionClosed):
            self._connection.close()

    def _on_head(self, event: Any) -> None:
        fields = [(bytes(n), bytes(v)) for n, v in event.headers]
        fault = request_head_check.find_fault(
            fields,
            bytes(event.http_version),
            self._site.limits.max_body_bytes,
        )
        if fault is not None:
            self._connection.reject(fault.status, fault.reason)
            return
        self._head = caller_exchange.RequestHead(
            bytes(event.method), bytes(event.target), fields
        )
        length = http_fields.content_length(fields) or 0
        self._body = self._site.bodies.open(self, length)
        if self._parser.they_are_waiting_for_100_continue:
            self._connection.send(
                h11.InformationalResponse(status_code=100, headers=[])
            )
        self._start_timeout()

    def _on_data(self, data: bytes) -> None:
        size = self.body.size + len(data)
        if size > self._site.limits.max_body_bytes:
            self._connection.reject(413, f"request body of over {size} bytes")
            return
        self.body.add(data)

    def _on_end(self) -> None:
        self._connection.cancel_timer()
        self.is_complete = True
        if self._is_paused:
            self._is_paused = False
            self._connection.transport.resumeProducing()
        self.body.on_complete()
        self._connection.on_request_read()

    def _start_timeout(self) -> None:
        self._connection.set_timer(
            self._site.limits.idle_timeout_ms,
            self._connection.on_read_timeout,
        )

    def _limit_pipelined(self) -> None:
        waiting, _ = self._parser.trailing_data
        if len(waiting) > MAX_PIPELINED_BYTES and not self._is_paused:
            self._is_paused = True
            self._connection.transport.pauseProducing()

    # BodyOwner

    def pause_body(self) -> int:
        """Stop reading; return for how many milliseconds at most."""
        self._is_paused = True
        # The caller is not late while the entry does not read.
        self._connection.cancel_timer()
        self._connection.transport.pauseProducing()
        # A body that is read and paused in turn is not read for ever.
        end_ms = (self.arrived_ms or 0) + self._site.body_wait_ms(self.head)
        return max(0, end_ms - self._site.clock.now_ms())

    def resume_body(self) -> None:
        """Resume reading."""
        self._is_paused = False
        self._start_timeout()
        self._connection.transport.resumeProducing()

    def refuse_body(self) -> bool:
        """Refuse the request unless a server may have run it."""
        code = result_code.ResultCode.INSUFFICIENT_MEMORY
        detail = "no memory for the body of the request"
        if not self.is_complete:
            self._connection.refuse(code, detail)
            return True
        listener = self._connection.listener
        return listener is not None and listener.refuse_unrun(code, detail)

    def drop_body(self) -> bool:
        """Release the body if it is kept only for a certified refusal."""
        listener = self._connection.listener
        return listener is not None and listener.drop_body()
