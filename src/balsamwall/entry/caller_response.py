"""Responses to callers, buffered or streamed, on a response sink."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

from balsamwall.entry import error_body
from balsamwall.entry import event_filter
from balsamwall.results import result_code

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.dispatch import caller_request
    from balsamwall.entry import response_sink
    from balsamwall.timing import clock

# Interval of keep-alive events in a stream without other events. Callers that
# have stopped reading are disconnected at the same interval.
KEEP_ALIVE_INTERVAL_MS = 3_000

_FORWARDED_HEADERS = ("content-type", "content-language")
_EVENT_HEADERS = {
    "content-type": "text/event-stream; charset=utf-8",
    "cache-control": "no-cache",
}


class ResponseMeter(Protocol):
    """Recorder of the latencies and the outcome of one response."""

    def on_output(self) -> None:
        """Record the time of a chunk of output."""

    def on_finished(self, code: result_code.ResultCode) -> None:
        """Record the outcome; called exactly once."""


class BufferedResponse:
    """Response that is sent only after it has been received in full."""

    __slots__ = (
        "_cancel",
        "_data",
        "_extra_headers",
        "_has_caller_key",
        "_is_finished",
        "_max_bytes",
        "_meter",
        "_sink",
    )

    def __init__(
        self,
        sink: response_sink.ResponseSink,
        meter: ResponseMeter,
        cancel: Callable[[], None],
        max_bytes: int,
        extra_headers: dict[str, str],
        has_caller_key: bool = False,
    ) -> None:
        self._sink = sink
        self._meter = meter
        self._cancel = cancel
        self._max_bytes = max_bytes
        self._extra_headers = extra_headers
        self._has_caller_key = has_caller_key
        self._data = bytearray()
        self._is_finished = False

    def on_chunk(self, data: bytes) -> None:
        """Buffer a chunk; cancel the request above the size limit."""
        if self._is_finished:
            return
        self._meter.on_output()
        self._data += data
        if len(self._data) > self._max_bytes:
            self._cancel()
            self._fail(
                result_code.ResultCode.ANSWER_NOT_KEPT,
                f"response exceeds {self._max_bytes} bytes",
            )

    def on_end(self, end: caller_request.AnswerEnd) -> None:
        """Send the response, or an error if bytes are missing."""
        if self._is_finished:
            return
        if end.total_bytes != len(self._data):
            self._fail(
                result_code.ResultCode.ANSWER_INTERRUPTED,
                f"{len(self._data)} of {end.total_bytes} bytes received",
            )
            return
        self._close(result_code.ResultCode.OK)
        headers = {
            name: value
            for name, value in end.headers.items()
            if name.lower() in _FORWARDED_HEADERS
        }
        headers |= {"content-length": str(len(self._data))}
        self._sink.start(end.http_status, headers | self._extra_headers)
        self._sink.write(bytes(self._data))
        self._sink.finish()
        self._data.clear()

    def on_failure(self, failure: caller_request.AnswerFailure) -> None:
        """Send the failure as an HTTP error."""
        self._fail(
            failure.code,
            failure.detail,
            failure.retry_after_ms,
            failure.scope,
        )

    def on_caller_disconnected(self) -> None:
        """Cancel the request unless the response is finished."""
        if not self._is_finished:
            self._close(result_code.ResultCode.CALLER_GONE)
            self._cancel()

    def _fail(
        self,
        code: result_code.ResultCode,
        detail: str,
        retry_after_ms: int = 0,
        scope: str = "attempt",
    ) -> None:
        if self._is_finished:
            return
        self._close(code)
        send_error(
            self._sink,
            code,
            detail,
            retry_after_ms,
            scope,
            self._extra_headers,
            self._has_caller_key,
        )

    def _close(self, code: result_code.ResultCode) -> None:
        self._is_finished = True
        self._meter.on_finished(code)


class StreamedResponse:
    """Response whose server-sent events are forwarded as they arrive."""

    __slots__ = (
        "_buffered_response",
        "_cancel",
        "_clock",
        "_extra_headers",
        "_filter",
        "_has_written",
        "_is_finished",
        "_is_started",
        "_max_buffered_bytes",
        "_meter",
        "_received_bytes",
        "_sink",
        "_timer",
    )

    _buffered_response: BufferedResponse | None

    def __init__(
        self,
        clock: clock.Clock,
        sink: response_sink.ResponseSink,
        meter: ResponseMeter,
        cancel: Callable[[], None],
        max_buffered_bytes: int,
        extra_headers: dict[str, str],
    ) -> None:
        self._clock = clock
        self._sink = sink
        self._meter = meter
        self._cancel = cancel
        self._max_buffered_bytes = max_buffered_bytes
        self._extra_headers = extra_headers
        self._filter = event_filter.EventFilter()
        self._received_bytes = 0
        self._is_started = False
        self._is_finished = False
        self._has_written = False
        self._buffered_response = None
        self._timer = clock.call_later(
            KEEP_ALIVE_INTERVAL_MS, self._on_keep_alive_timer
        )

    def on_chunk(self, data: bytes) -> None:
        """Forward the complete events; cancel if an event is too large."""
        if self._is_finished or not data:
            return
        if self._buffered_response is None and self._received_bytes == 0:
            self._detect_json_response(data)
        if self._buffered_response is not None:
            self._buffered_response.on_chunk(data)
            return
        self._received_bytes += len(data)
        self._meter.on_output()
        self._write(self._filter.push(data))
        if self._filter.buffered_bytes > self._max_buffered_bytes:
            self._cancel()
            self._fail(
                result_code.ResultCode.ANSWER_INTERRUPTED,
                f"an event exceeds {self._max_buffered_bytes} bytes",
            )

    def on_end(self, end: caller_request.AnswerEnd) -> None:
        """Forward the final marker and complete the response."""
        if self._is_finished:
            return
        if self._buffered_response is not None:
            self._stop()
            self._buffered_response.on_end(end)
            return
        if end.total_bytes != self._received_bytes:
            self._fail(
                result_code.ResultCode.ANSWER_INTERRUPTED,
                f"{self._received_bytes} of {end.total_bytes} bytes received",
            )
            return
        if end.http_status >= 400:
            self._fail(
                result_code.ResultCode.BACKEND_ERROR,
                f"backend server returned status {end.http_status}",
            )
            return
        self._close(result_code.ResultCode.OK)
        self._start()
        buffered = self._filter.finish()
        if buffered:
            self._sink.write(buffered)
        self._sink.finish()

    def on_failure(self, failure: caller_request.AnswerFailure) -> None:
        """Send an HTTP error, or an error event after the first write."""
        if self._is_finished:
            return
        if self._buffered_response is not None:
            self._stop()
            self._buffered_response.on_failure(failure)
            return
        self._fail(
            failure.code,
            failure.detail,
            failure.retry_after_ms,
            failure.scope,
        )

    def on_caller_disconnected(self) -> None:
        """Cancel the request unless the response is finished."""
        if self._is_finished:
            return
        if self._buffered_response is not None:
            self._stop()
            self._buffered_response.on_caller_disconnected()
            return
        self._close(result_code.ResultCode.CALLER_GONE)
        self._cancel()

    def _detect_json_response(self, data: bytes) -> None:
        # An engine rejects a request with a JSON document instead of events;
        # the HTTP status is only known at the end.
        if not self._is_started and data.lstrip()[:1] == b"{":
            self._buffered_response = BufferedResponse(
                self._sink,
                self._meter,
                self._cancel,
                self._max_buffered_bytes,
                self._extra_headers,
            )

    def _start(self) -> None:
        if not self._is_started:
            self._is_started = True
            self._sink.start(200, _EVENT_HEADERS | self._extra_headers)

    def _write(self, data: bytes) -> None:
        if data:
            self._start()
            self._has_written = True
            self._sink.write(data)

    def _on_keep_alive_timer(self) -> None:
        self._timer = self._clock.call_later(
            KEEP_ALIVE_INTERVAL_MS, self._on_keep_alive_timer
        )
        if self._sink.is_stalled:
            self.on_caller_disconnected()
            self._sink.close_incomplete()
            return
        # A comment event lets the caller detect a dead connection.
        if not self._has_written and self._buffered_response is None:
            self._start()
            self._sink.write(event_filter.KEEP_ALIVE)
        self._has_written = False

    def _fail(
        self,
        code: result_code.ResultCode,
        detail: str,
        retry_after_ms: int = 0,
        scope: str = "attempt",
    ) -> None:
        self._close(code)
        if not self._is_started:
            send_error(
                self._sink,
                code,
                detail,
                retry_after_ms,
                scope,
                self._extra_headers,
            )
            return
        self._sink.write(error_body.encode_event(code, detail, scope))
        self._sink.close_incomplete()

    def _stop(self) -> None:
        self._is_finished = True
        self._timer.cancel()

    def _close(self, code: result_code.ResultCode) -> None:
        self._stop()
        self._meter.on_finished(code)


def send_error(
    sink: response_sink.ResponseSink,
    code: result_code.ResultCode,
    detail: str,
    retry_after_ms: int = 0,
    scope: str = "attempt",
    extra_headers: dict[str, str] | None = None,
    has_caller_key: bool = False,
) -> None:
    """Send an error as a complete response."""
    body = error_body.encode(code, detail, scope, has_caller_key)
    headers = {
        "content-type": "application/json",
        "content-length": str(len(body)),
    }
    if retry_after_ms or code.repeat is result_code.RetryAdvice.LATER:
        headers["retry-after"] = error_body.retry_after_s(retry_after_ms)
    if code.http_status == 401:
        headers["www-authenticate"] = "Bearer"
    sink.start(code.http_status, headers | (extra_headers or {}))
    sink.write(body)
    sink.finish()
