"""Answers on their way to a caller, without sockets."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

from balsamwall.entry import error_body
from balsamwall.entry import event_filter
from balsamwall.results import result_code

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.dispatch import caller_request
    from balsamwall.entry import answer_sink
    from balsamwall.timing import clock

KEEP_ALIVE_INTERVAL_MS = 3_000

_PASSED_HEADERS = ("content-type", "content-language")
_EVENT_HEADERS = {
    "content-type": "text/event-stream; charset=utf-8",
    "cache-control": "no-cache",
}


class AnswerMeter(Protocol):
    """Receiver of the times of one answer."""

    def on_output(self) -> None:
        """Note a part of the answer."""

    def on_finished(self, code: result_code.ResultCode) -> None:
        """Note the outcome, exactly once."""


class WholeAnswer:
    """Answer that is sent only once it is whole."""

    __slots__ = (
        "_cancel",
        "_data",
        "_extra_headers",
        "_has_caller_key",
        "_is_over",
        "_max_bytes",
        "_meter",
        "_sink",
    )

    def __init__(
        self,
        sink: answer_sink.AnswerSink,
        meter: AnswerMeter,
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
        self._is_over = False

    def on_chunk(self, data: bytes) -> None:
        """Collect a part."""
        if self._is_over:
            return
        self._meter.on_output()
        self._data += data
        if len(self._data) > self._max_bytes:
            self._cancel()
            self._fail(
                result_code.ResultCode.ANSWER_NOT_KEPT,
                f"answer exceeds {self._max_bytes} bytes",
            )

    def on_end(self, end: caller_request.AnswerEnd) -> None:
        """Send the whole answer."""
        if self._is_over:
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
            if name.lower() in _PASSED_HEADERS
        }
        headers |= {"content-length": str(len(self._data))}
        self._sink.start(end.http_status, headers | self._extra_headers)
        self._sink.write(bytes(self._data))
        self._sink.finish()
        self._data.clear()

    def on_failure(self, failure: caller_request.AnswerFailure) -> None:
        """Send the error."""
        self._fail(
            failure.code,
            failure.detail,
            failure.retry_after_ms,
            failure.scope,
        )

    def on_caller_gone(self) -> None:
        """Cancel the request of a caller that closed its connection."""
        if not self._is_over:
            self._close(result_code.ResultCode.CALLER_GONE)
            self._cancel()

    def _fail(
        self,
        code: result_code.ResultCode,
        detail: str,
        retry_after_ms: int = 0,
        scope: str = "attempt",
    ) -> None:
        if self._is_over:
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
        self._is_over = True
        self._meter.on_finished(code)


class StreamedAnswer:
    """Answer whose events are passed on as they come."""

    __slots__ = (
        "_cancel",
        "_clock",
        "_extra_headers",
        "_filter",
        "_is_over",
        "_is_started",
        "_max_held_bytes",
        "_meter",
        "_received_bytes",
        "_sink",
        "_timer",
        "_was_written",
        "_whole",
    )

    _whole: WholeAnswer | None

    def __init__(
        self,
        clock: clock.Clock,
        sink: answer_sink.AnswerSink,
        meter: AnswerMeter,
        cancel: Callable[[], None],
        max_held_bytes: int,
        extra_headers: dict[str, str],
    ) -> None:
        self._clock = clock
        self._sink = sink
        self._meter = meter
        self._cancel = cancel
        self._max_held_bytes = max_held_bytes
        self._extra_headers = extra_headers
        self._filter = event_filter.EventFilter()
        self._received_bytes = 0
        self._is_started = False
        self._is_over = False
        self._was_written = False
        self._whole = None
        self._timer = clock.call_later(KEEP_ALIVE_INTERVAL_MS, self._tick)

    def on_chunk(self, data: bytes) -> None:
        """Pass on the whole events."""
        if self._is_over or not data:
            return
        if self._whole is None and self._received_bytes == 0:
            self._detect_document(data)
        if self._whole is not None:
            self._whole.on_chunk(data)
            return
        self._received_bytes += len(data)
        self._meter.on_output()
        self._write(self._filter.push(data))
        if self._filter.held_bytes > self._max_held_bytes:
            self._cancel()
            self._fail(
                result_code.ResultCode.ANSWER_INTERRUPTED,
                f"an event exceeds {self._max_held_bytes} bytes",
            )

    def on_end(self, end: caller_request.AnswerEnd) -> None:
        """Pass on the final marker and end the answer."""
        if self._is_over:
            return
        if self._whole is not None:
            self._stop()
            self._whole.on_end(end)
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
                f"backend server answered {end.http_status}",
            )
            return
        self._close(result_code.ResultCode.OK)
        self._start()
        held = self._filter.finish()
        if held:
            self._sink.write(held)
        self._sink.finish()

    def on_failure(self, failure: caller_request.AnswerFailure) -> None:
        """Send an error, or an error event once the answer has started."""
        if self._is_over:
            return
        if self._whole is not None:
            self._stop()
            self._whole.on_failure(failure)
            return
        self._fail(
            failure.code,
            failure.detail,
            failure.retry_after_ms,
            failure.scope,
        )

    def on_caller_gone(self) -> None:
        """Cancel the request of a caller that closed its connection."""
        if self._is_over:
            return
        if self._whole is not None:
            self._stop()
            self._whole.on_caller_gone()
            return
        self._close(result_code.ResultCode.CALLER_GONE)
        self._cancel()

    def _detect_document(self, data: bytes) -> None:
        # An engine answers a request that it rejects with a JSON document
        # instead of events; its HTTP status is only known at the end.
        if not self._is_started and data.lstrip()[:1] == b"{":
            self._whole = WholeAnswer(
                self._sink,
                self._meter,
                self._cancel,
                self._max_held_bytes,
                self._extra_headers,
            )

    def _start(self) -> None:
        if not self._is_started:
            self._is_started = True
            self._sink.start(200, _EVENT_HEADERS | self._extra_headers)

    def _write(self, data: bytes) -> None:
        if data:
            self._start()
            self._was_written = True
            self._sink.write(data)

    def _tick(self) -> None:
        self._timer = self._clock.call_later(
            KEEP_ALIVE_INTERVAL_MS, self._tick
        )
        if self._sink.is_stalled:
            self.on_caller_gone()
            self._sink.close_incomplete()
            return
        # The comment lets a caller notice a connection that went silent.
        if not self._was_written and self._whole is None:
            self._start()
            self._sink.write(event_filter.KEEP_ALIVE)
        self._was_written = False

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
        self._is_over = True
        self._timer.cancel()

    def _close(self, code: result_code.ResultCode) -> None:
        self._stop()
        self._meter.on_finished(code)


def send_error(
    sink: answer_sink.AnswerSink,
    code: result_code.ResultCode,
    detail: str,
    retry_after_ms: int = 0,
    scope: str = "attempt",
    extra_headers: dict[str, str] | None = None,
    has_caller_key: bool = False,
) -> None:
    """Send an error as the whole answer."""
    body = error_body.encode(code, detail, scope, has_caller_key)
    headers = {
        "content-type": "application/json",
        "content-length": str(len(body)),
    }
    if retry_after_ms or code.repeat is result_code.Repeat.LATER:
        headers["retry-after"] = error_body.retry_after_s(retry_after_ms)
    if code.http_status == 401:
        headers["www-authenticate"] = "Bearer"
    sink.start(code.http_status, headers | (extra_headers or {}))
    sink.write(body)
    sink.finish()
