"""Response of an engine, read over one or more connections."""

from __future__ import annotations

import re
from typing import Protocol
from typing import TYPE_CHECKING

from balsamwall.backend import http_headers
from balsamwall.infrastructure import event_tail
from balsamwall.infrastructure import http_client
from balsamwall.results import result_code

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.backend import backend_server
    from balsamwall.timing import clock as clock_module

RESUME_DELAY_MIN_MS = 50
RESUME_DELAY_MAX_MS = 1_000
CANCEL_ATTEMPTS = 5
CANCEL_RETRY_MS = 500
MAX_ERROR_BYTES = 65_536
# The usage is in the last event, which is much shorter than this.
TAIL_BYTES = 2_048
_USAGE = re.compile(rb'(?<!\\)"completion_tokens":\s*(\d+)')

_Code = result_code.ResultCode


class EngineTransport(Protocol):
    """HTTP exchanges with one engine."""

    boot: str

    def post(
        self,
        request: backend_server.BackendRequest,
        receiver: http_client.Receiver,
    ) -> Callable[[], None]:
        """Send a request; return a function that closes the connection."""

    def read_stream(
        self, request_id: str, offset: int, receiver: http_client.Receiver
    ) -> Callable[[], None]:
        """Read a response buffered by the engine, from a byte offset."""

    def delete_stream(
        self, request_id: str, callback: Callable[[bool | None, str], None]
    ) -> None:
        """Cancel; the callback gets whether it ran and the boot number.

        It gets None and an empty string if there was no valid response, and
        None and "down" if the engine refused the connection.
        """


class EngineResponse:
    """State machine of one response; its listener gets one end or error."""

    __slots__ = (
        "_abort",
        "_boot",
        "_clock",
        "_connection",
        "_deadline_timer",
        "_delay_ms",
        "_error_body",
        "_events",
        "_has_response_head",
        "_headers",
        "_idle_timeout_ms",
        "_is_resuming",
        "_is_stopping",
        "_last_byte_ms",
        "_listener",
        "_offset",
        "_on_finished",
        "_request_id",
        "_status",
        "_tail",
        "_timer",
        "_transport",
        "resume_count",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        transport: EngineTransport,
        request_id: str,
        listener: backend_server.BackendListener,
        idle_timeout_ms: int,
        on_finished: Callable[[EngineResponse], None],
    ) -> None:
        self._clock = clock
        self._transport = transport
        self._request_id = request_id
        self._listener = listener
        self._idle_timeout_ms = idle_timeout_ms
        self._on_finished = on_finished
        self._boot = transport.boot
        self._abort: Callable[[], None] | None = None
        self._connection = 0
        self._deadline_timer: clock_module.Timer | None = None
        self._delay_ms = RESUME_DELAY_MIN_MS
        self._error_body = b""
        self._events = event_tail.EventTail()
        self._has_response_head = False
        self._headers: dict[str, str] = {}
        self._is_resuming = False
        self._is_stopping = False
        self._last_byte_ms = 0
        self._offset = 0
        self._status = 0
        self._tail = b""
        self._timer: clock_module.Timer | None = None
        self.resume_count = 0

    def start(self, request: backend_server.BackendRequest) -> None:
        """Send the request and start its deadline timer."""
        if request.timeout_ms > 0:
            self._deadline_timer = self._clock.call_later(
                request.timeout_ms, self._on_deadline
            )
        receiver = self._next_connection()
        self._set_abort(receiver, self._transport.post(request, receiver))

    def resume(self, offset: int) -> None:
        """Read the rest of the response from a byte offset."""
        self._offset = offset
        self._has_response_head = True
        self._resume_stream()

    def cancel(self) -> None:
        """Cancel the request; report the error once that is confirmed."""
        self._cancel_with(_Code.CANCELLED_AFTER_START)

    def detach(self) -> None:
        """Close the connection without notifying listener or engine."""
        self._is_stopping = True
        self._release()

    def on_head(self, status: int, headers: dict[str, str]) -> None:
        """Receive status and headers on the current connection."""
        self._status = status
        self._error_body = b""
        boot = headers.get("x-engine-boot", "")
        self._transport.boot = boot or self._transport.boot
        if status == 200:
            self._has_response_head = True
            self._boot = boot or self._boot
            self._headers = headers
        elif not self._is_resuming:
            self._headers = headers
        self._last_byte_ms = self._clock.now_ms()

    def on_data(self, data: bytes) -> None:
        """Receive a chunk of the body on the current connection."""
        self._last_byte_ms = self._clock.now_ms()
        self._delay_ms = RESUME_DELAY_MIN_MS
        if self._status != 200:
            self._error_body = (self._error_body + data)[:MAX_ERROR_BYTES]
            return
        offset = self._offset
        self._offset += len(data)
        self._tail = (self._tail + data)[-TAIL_BYTES:]
        self._events.feed(data)
        self._listener.on_data(offset, data)

    def on_close(
        self, is_complete: bool, was_sent: bool, reason: str, boot: str
    ) -> None:
        """Receive the end of the current connection."""
        if is_complete and self._status == 200:
            self._on_complete()
        elif is_complete and self._is_resuming:
            self._on_resume_status(boot)
        elif is_complete:
            self._on_error_status()
        elif self._is_resuming and reason == http_client.CONNECTION_REFUSED:
            self._fail(_Code.BACKEND_CRASHED, reason, is_crash=True)
        elif was_sent or self._is_resuming:
            self._schedule_resume()
        else:
            # Nothing was sent, so this request cannot have crashed the engine;
            # is_crash would make it a suspect.
            self._fail(_Code.BACKEND_DOWN, reason)

    def _on_complete(self) -> None:
        """Succeed, unless an event stream stopped inside an event.

        An engine that crashes may end its chunks in good order.
        """
        is_stream = event_tail.is_event_stream(self._headers)
        if is_stream and self._events.is_inside_event:
            self._fail(
                _Code.ANSWER_INTERRUPTED, "the stream ended inside an event"
            )
        else:
            self._succeed(200)

    def _next_connection(self) -> _ConnectionReceiver:
        self._close_connection()
        self._status = 0
        self._last_byte_ms = self._clock.now_ms()
        self._set_timer(self._idle_timeout_ms, self._on_idle_timer)
        return _ConnectionReceiver(self, self._connection)

    def is_current(self, connection: int) -> bool:
        """Return whether events of a connection are still to be handled."""
        return connection == self._connection and not self._is_stopping

    def _set_abort(
        self, receiver: _ConnectionReceiver, abort: Callable[[], None]
    ) -> None:
        if self.is_current(receiver.connection):
            self._abort = abort

    def _close_connection(self) -> None:
        self._connection += 1
        abort, self._abort = self._abort, None
        if abort is not None:
            abort()

    def _resume_stream(self) -> None:
        if self._is_stopping:
            return
        self._is_resuming = True
        self.resume_count += 1
        receiver = self._next_connection()
        abort = self._transport.read_stream(
            self._request_id, self._offset, receiver
        )
        self._set_abort(receiver, abort)

    def _schedule_resume(self) -> None:
        self._close_connection()
        delay_ms = self._delay_ms
        self._delay_ms = min(RESUME_DELAY_MAX_MS, 2 * delay_ms)
        self._set_timer(delay_ms, self._resume_stream)

    def _on_resume_status(self, boot: str) -> None:
        if boot and self._boot and boot != self._boot:
            self._fail(_Code.BACKEND_CRASHED, "the engine restarted", True)
        elif (
            self._status == 416
            or self._status == 404
            and self._has_response_head
        ):
            self._fail(
                _Code.ANSWER_INTERRUPTED,
                "the engine no longer has the response",
            )
        elif self._status == 404:
            # The request may still be in transit; the cancellation makes the
            # engine record that it must not run it.
            self._cancel_with(_Code.OUTCOME_UNKNOWN)
        else:
            self._schedule_resume()

    def _on_error_status(self) -> None:
        status = self._status
        detail = self._error_body.decode("utf-8", "replace")[:500]
        is_not_run = self._headers.get("x-not-run") == "1"
        if status == 404 and is_not_run:
            self._fail(_Code.NO_REPLICA, detail)
        elif status == 409 and is_not_run:
            self._fail(_Code.CANCELLED_NOT_RUN, detail)
        elif status == 429 and is_not_run:
            self._fail(_Code.QUEUE_FULL, detail)
        elif status == 503 and is_not_run:
            self._fail(_Code.BACKEND_DOWN, detail)
        elif status >= 500:
            self._fail(_Code.BACKEND_ERROR, detail)
        else:
            body, self._offset = self._error_body, len(self._error_body)
            if body:
                self._listener.on_data(0, body)
            self._succeed(status)

    def _on_deadline(self) -> None:
        self._cancel_with(_Code.DEADLINE_EXCEEDED)

    def _cancel_with(self, code: result_code.ResultCode) -> None:
        """Cancel at the engine, then report the code.

        The request uses memory of the engine until the cancellation is
        confirmed.
        """
        if self._is_stopping:
            return
        self._is_stopping = True
        self._release()
        self._delete_stream(code, 1)

    def _delete_stream(
        self, code: result_code.ResultCode, attempt: int
    ) -> None:
        def on_result(has_run: bool | None, boot: str) -> None:
            if has_run is None and boot == "down":
                self._report(_Code.BACKEND_CRASHED, "the engine is down", True)
            elif has_run is None and attempt < CANCEL_ATTEMPTS:
                self._clock.call_later(
                    CANCEL_RETRY_MS, self._delete_stream, code, attempt + 1
                )
            elif has_run is None:
                self._report(
                    _Code.OUTCOME_UNKNOWN,
                    "the engine did not confirm the cancellation",
                )
            elif boot != self._boot:
                is_crash = bool(self._boot)
                unknown = (
                    _Code.BACKEND_CRASHED
                    if is_crash
                    else _Code.OUTCOME_UNKNOWN
                )
                detail = "the engine may have restarted"
                self._report(unknown, detail, is_crash)
            elif has_run or self._offset:
                self._report(code, "cancelled after it had started")
            else:
                self._report(
                    _Code.CANCELLED_NOT_RUN, "cancelled before it started"
                )

        self._transport.delete_stream(self._request_id, on_result)

    def _succeed(self, status: int) -> None:
        matches = _USAGE.findall(self._tail)
        tokens = int(matches[-1]) if matches else 0
        self._is_stopping = True
        self._release()
        self._on_finished(self)
        self._listener.on_end(
            status,
            http_headers.end_to_end(self._headers),
            self._offset,
            tokens,
        )

    def _fail(
        self,
        code: result_code.ResultCode,
        detail: str,
        is_crash: bool = False,
    ) -> None:
        self._is_stopping = True
        self._release()
        self._report(code, detail, is_crash)

    def _report(
        self,
        code: result_code.ResultCode,
        detail: str,
        is_crash: bool = False,
    ) -> None:
        self._on_finished(self)
        self._listener.on_error(code, detail, is_crash)

    def _release(self) -> None:
        for timer in (self._timer, self._deadline_timer):
            if timer is not None:
                timer.cancel()
        self._close_connection()

    def _on_idle_timer(self) -> None:
        """Resume on a new connection after the idle timeout; else re-arm.

        Resetting the timer for each chunk would cost more than handling the
        chunk.
        """
        idle_ms = self._clock.now_ms() - self._last_byte_ms
        if idle_ms >= self._idle_timeout_ms:
            self._resume_stream()
        else:
            self._set_timer(
                self._idle_timeout_ms - idle_ms, self._on_idle_timer
            )

    def _set_timer(self, delay_ms: int, function: Callable[[], None]) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._clock.call_later(delay_ms, function)


class _ConnectionReceiver:
    """Receiver of one connection; ignores events of a replaced one."""

    __slots__ = ("_boot", "_response", "connection")

    def __init__(self, response: EngineResponse, connection: int) -> None:
        self._response = response
        self._boot = ""
        self.connection = connection

    def on_head(self, status: int, headers: dict[str, str]) -> None:
        self._boot = headers.get("x-engine-boot", "")
        if self._response.is_current(self.connection):
            self._response.on_head(status, headers)

    def on_data(self, data: bytes) -> None:
        if self._response.is_current(self.connection):
            self._response.on_data(data)

    def on_close(self, is_complete: bool, was_sent: bool, reason: str) -> None:
        if self._response.is_current(self.connection):
            self._response.on_close(is_complete, was_sent, reason, self._boot)
