"""HTTP client of a service without resumable responses."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING
import urllib.parse

from balsamwall.backend import http_headers
from balsamwall.infrastructure import event_tail
from balsamwall.infrastructure import http_client
from balsamwall.results import result_code

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.backend import backend_server
    from balsamwall.timing import clock as clock_module

HEALTH_TIMEOUT_MS = 1_000
DEFAULT_TIMEOUT_MS = 60_000
_Code = result_code.ResultCode


class _ServiceResponse:
    """Receiver of one response, read over a single connection."""

    __slots__ = (
        "_client",
        "_events",
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
        self._events = event_tail.EventTail()
        self._headers: dict[str, str] = {}
        self._status = 0
        self.abort: Callable[[], None] | None = None
        self.offset = 0
        self.request_id = request_id
        self.timer: clock_module.Timer | None = None

    def replace_listener(
        self, listener: backend_server.BackendListener
    ) -> None:
        """Deliver the rest of the response to another listener."""
        self._listener = listener

    def on_head(self, status: int, headers: dict[str, str]) -> None:
        self._status = status
        self._headers = http_headers.end_to_end(headers)

    def on_data(self, data: bytes) -> None:
        offset = self.offset
        self.offset += len(data)
        self._events.feed(data)
        if self._listener is not None:
            self._listener.on_data(offset, data)

    def on_close(self, is_complete: bool, was_sent: bool, reason: str) -> None:
        is_stream = event_tail.is_event_stream(self._headers)
        if is_complete and is_stream and self._events.is_inside_event:
            self.fail(
                _Code.ANSWER_INTERRUPTED, "the stream ended inside an event"
            )
        elif is_complete:
            listener = self._end()
            if listener is not None:
                listener.on_end(self._status, self._headers, self.offset, 0)
        elif not was_sent:
            self.fail(_Code.BACKEND_DOWN, reason)
        else:
            # A service that refuses connections after a reset has crashed;
            # one that still accepts them has only dropped this connection.
            self._client.check_refused(
                lambda is_refused: self._on_health_checked(is_refused, reason)
            )

    def on_timeout(self) -> None:
        """Report a timeout; the service may still be running the request."""
        self.fail(_Code.DEADLINE_EXCEEDED, "no response within the time limit")

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

    def _on_health_checked(self, is_refused: bool, reason: str) -> None:
        if is_refused:
            self.fail(_Code.BACKEND_CRASHED, reason, True)
        else:
            self.fail(_Code.OUTCOME_UNKNOWN, reason)

    def _end(self) -> backend_server.BackendListener | None:
        if self.timer is not None:
            self.timer.cancel()
        self._client.remove(self)
        listener, self._listener = self._listener, None
        return listener


class ServiceClient:
    """BackendServer that sends each request at most once."""

    __slots__ = ("_base_url", "_client", "_clock", "_responses")

    def __init__(
        self, reactor: Any, clock: clock_module.Clock, base_url: str
    ) -> None:
        self._client = http_client.HttpClient(reactor, clock)
        self._clock = clock
        self._base_url = base_url.rstrip("/")
        self._responses: dict[str, _ServiceResponse] = {}

    def start(
        self,
        request: backend_server.BackendRequest,
        listener: backend_server.BackendListener,
    ) -> None:
        """Run a request; the listener gets one end or error."""
        headers = http_headers.end_to_end(request.headers)
        headers.setdefault("content-type", "application/json")
        headers["x-request-id"] = request.request_id
        headers["x-priority"] = "urgent" if request.is_urgent else "deferrable"
        if request.idempotency_key:
            headers["idempotency-key"] = request.idempotency_key
        response = _ServiceResponse(self, request.request_id, listener)
        self._responses[request.request_id] = response
        response.timer = self._clock.call_later(
            request.timeout_ms or DEFAULT_TIMEOUT_MS, response.on_timeout
        )
        exchange = self._client.stream(
            "POST",
            self._base_url + urllib.parse.quote(request.path, safe="/?=&%"),
            headers,
            request.body,
            response,
        )
        response.abort = exchange.abort

    def resume(
        self,
        request_id: str,
        offset: int,
        listener: backend_server.BackendListener,
    ) -> None:
        """Attach a listener to a running response.

        If data beyond the offset has already arrived, the listener gets
        ANSWER_INTERRUPTED, because a service cannot resend it.
        """
        response = self._responses.get(request_id)
        if response is not None and response.offset == offset:
            response.replace_listener(listener)
        else:
            listener.on_error(
                _Code.ANSWER_INTERRUPTED,
                "a service cannot resume a response",
                False,
            )

    def cancel(self, request_id: str) -> None:
        """Close the connection; the service may still run the request."""
        response = self._responses.get(request_id)
        if response is not None:
            response.fail(_Code.OUTCOME_UNKNOWN, "cancelled while running")

    def check_health(self, callback: Callable[[bool], None]) -> None:
        """Report to the callback whether the health check succeeds."""
        self._get_health(lambda response: callback(response.status == 200))

    def check_refused(self, callback: Callable[[bool], None]) -> None:
        """Report to the callback whether the service refuses connections."""
        self._get_health(
            lambda response: callback(
                response.reason == http_client.CONNECTION_REFUSED
            )
        )

    def _get_health(
        self, callback: Callable[[http_client.HttpResponse], None]
    ) -> None:
        self._client.call(
            "GET",
            f"{self._base_url}/healthz",
            {},
            b"",
            HEALTH_TIMEOUT_MS,
            callback,
        )

    def remove(self, response: _ServiceResponse) -> None:
        """Remove a finished response."""
        if self._responses.get(response.request_id) is response:
            del self._responses[response.request_id]
