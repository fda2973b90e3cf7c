"""Client of a plain service."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING
import urllib.parse

from balsamwall.backend import http_headers
from balsamwall.infrastructure import http_client
from balsamwall.results import result_code

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.backend import backend_server
    from balsamwall.timing import clock as clock_module

HEALTH_TIMEOUT_MS = 1_000
DEFAULT_TIMEOUT_MS = 60_000
_Code = result_code.ResultCode


class _ServiceAnswer:
    """Receiver of one answer; a service cannot resume it."""

    __slots__ = (
        "_client",
        "_headers",
        "_listener",
        "_status",
        "abort",
        "offset",
        "request_id",
        "timer",
    )

    def __init__(
        self,
        client: ServiceClient,
        request_id: str,
        listener: backend_server.BackendListener,
    ) -> None:
        self._client = client
        self._listener: backend_server.BackendListener | None = listener
        self._headers: dict[str, str] = {}
        self._status = 0
        self.abort: Callable[[], None] | None = None
        self.offset = 0
        self.request_id = request_id
        self.timer: clock_module.Timer | None = None

    def replace_listener(
        self, listener: backend_server.BackendListener
    ) -> None:
        """Hand the rest of the answer to another listener."""
        self._listener = listener

    def on_head(self, status: int, headers: dict[str, str]) -> None:
        self._status = status
        self._headers = http_headers.end_to_end(headers)

    def on_data(self, data: bytes) -> None:
        offset = self.offset
        self.offset += len(data)
        if self._listener is not None:
            self._listener.on_data(offset, data)

    def on_close(self, is_complete: bool, was_sent: bool, reason: str) -> None:
        if is_complete:
            listener = self._end()
            if listener is not None:
                listener.on_end(self._status, self._headers, self.offset, 0)
        elif not was_sent:
            self.fail(_Code.BACKEND_DOWN, reason)
        else:
            # A service that refuses connections after a reset has crashed;
            # one that still answers has only dropped this connection.
            self._client.check_refused(
                lambda is_refused: self._on_checked(is_refused, reason)
            )

    def on_timeout(self) -> None:
        """Give up; the run may go on at the service."""
        self.fail(_Code.DEADLINE_EXCEEDED, "no answer within the time limit")

    def fail(
        self,
        code: result_code.ResultCode,
        detail: str,
        is_crash: bool = False,
    ) -> None:
        """Report the failure once and close the connection."""
        listener = self._end()
        if self.abort is not None:
            self.abort()
        if listener is not None:
            listener.on_error(code, detail, is_crash)

    def _on_checked(self, is_refused: bool, reason: str) -> None:
        if is_refused:
            self.fail(_Code.BACKEND_CRASHED, reason, True)
        else:
            self.fail(_Code.OUTCOME_UNKNOWN, reason)

    def _end(self) -> backend_server.BackendListener | None:
        if self.timer is not None:
            self.timer.cancel()
        self._client.forget(self)
        listener, self._listener = self._listener, None
        return listener


class ServiceClient:
    """BackendServer that sends each request exactly once."""

    __slots__ = ("_answers", "_base_url", "_client", "_clock")

    def __init__(
        self, reactor: Any, clock: clock_module.Clock, base_url: str
    ) -> None:
        self._client = http_client.HttpClient(reactor, clock)
        self._clock = clock
        self._base_url = base_url.rstrip("/")
        self._answers: dict[str, _ServiceAnswer] = {}

    def start(
        self,
        request: backend_server.BackendRequest,
        listener: backend_server.BackendListener,
    ) -> None:
        """Run a request."""
        headers = http_headers.end_to_end(request.headers)
        headers.setdefault("content-type", "application/json")
        headers["x-request-id"] = request.request_id
        headers["x-priority"] = "urgent" if request.is_urgent else "deferrable"
        if request.idempotency_key:
            headers["idempotency-key"] = request.idempotency_key
        answer = _ServiceAnswer(self, request.request_id, listener)
        self._answers[request.request_id] = answer
        answer.timer = self._clock.call_later(
            request.timeout_ms or DEFAULT_TIMEOUT_MS, answer.on_timeout
        )
        exchange = self._client.stream(
            "POST",
            self._base_url + urllib.parse.quote(request.path, safe="/?=&%"),
            headers,
            request.body,
            answer,
        )
        answer.abort = exchange.abort

    def resume(
        self,
        request_id: str,
        offset: int,
        listener: backend_server.BackendListener,
    ) -> None:
        """Take over a running answer, if nothing of it was missed."""
        answer = self._answers.get(request_id)
        if answer is not None and answer.offset == offset:
            answer.replace_listener(listener)
        else:
            listener.on_error(
                _Code.ANSWER_INTERRUPTED, "a service cannot resume", False
            )

    def cancel(self, request_id: str) -> None:
        """Close the connection; the run may go on at the service."""
        answer = self._answers.get(request_id)
        if answer is not None:
            answer.fail(_Code.OUTCOME_UNKNOWN, "cancelled while running")

    def check_health(self, callback: Callable[[bool], None]) -> None:
        """Tell whether the service answers its health check."""
        self._get_health(lambda answer: callback(answer.status == 200))

    def check_refused(self, callback: Callable[[bool], None]) -> None:
        """Tell whether the service refuses connections."""
        self._get_health(
            lambda answer: callback(answer.reason == http_client.REFUSED)
        )

    def _get_health(
        self, callback: Callable[[http_client.HttpAnswer], None]
    ) -> None:
        self._client.call(
            "GET",
            f"{self._base_url}/healthz",
            {},
            b"",
            HEALTH_TIMEOUT_MS,
            callback,
        )

    def forget(self, answer: _ServiceAnswer) -> None:
        """Drop an answer that has ended."""
        if self._answers.get(answer.request_id) is answer:
            del self._answers[answer.request_id]
