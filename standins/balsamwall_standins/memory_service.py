"""In-process plain service for scenarios and benchmarks."""

from __future__ import annotations

import collections
import json
from typing import TYPE_CHECKING

from balsamwall.results import result_code
from balsamwall_standins import service

if TYPE_CHECKING:
    from balsamwall.backend import backend_server
    from balsamwall.timing import clock as clock_module

_Code = result_code.ResultCode


class MemoryService:
    """BackendServer of a plain service that counts each execution.

    Set is_down to refuse all calls and responses_to_lose to drop the
    responses of that many executions. Failures have the result codes of
    ServiceClient.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        duration_ms: int = 20,
        latency_ms: int = 1,
    ) -> None:
        self._clock = clock
        self._listeners: dict[str, backend_server.BackendListener] = {}
        self.duration_ms = duration_ms
        self.latency_ms = latency_ms
        self.crash_down_ms = 2_000
        self.is_down = False
        self.responses_to_lose = 0
        self.runs_by_request: collections.Counter[str] = collections.Counter()
        self.runs_by_key: collections.Counter[str] = collections.Counter()

    def start(
        self,
        request: backend_server.BackendRequest,
        listener: backend_server.BackendListener,
    ) -> None:
        """Start a request after latency_ms."""
        self._listeners[request.request_id] = listener
        if request.timeout_ms > 0:
            self._clock.call_later(
                request.timeout_ms,
                self._fail,
                request.request_id,
                listener,
                _Code.DEADLINE_EXCEEDED,
            )
        self._clock.call_later(self.latency_ms, self._run, request, listener)

    def resume(
        self,
        request_id: str,
        offset: int,
        listener: backend_server.BackendListener,
    ) -> None:
        """Attach to a running request; only offset 0 is supported."""
        if offset == 0 and request_id in self._listeners:
            self._listeners[request_id] = listener
        else:
            listener.on_error(
                _Code.ANSWER_INTERRUPTED,
                "a service cannot resume a response",
                False,
            )

    def cancel(self, request_id: str) -> None:
        """Close the connection; the service goes on with the execution."""
        listener = self._listeners.pop(request_id, None)
        if listener is not None:
            listener.on_error(_Code.OUTCOME_UNKNOWN, "cancelled", False)

    def crash(self) -> None:
        """Drop all requests and refuse connections for crash_down_ms."""
        listeners, self._listeners = self._listeners, {}
        self.is_down = True
        self._clock.call_later(self.crash_down_ms, self._recover)
        for listener in listeners.values():
            listener.on_error(_Code.BACKEND_CRASHED, "reset", True)

    def _recover(self) -> None:
        self.is_down = False

    def _run(
        self,
        request: backend_server.BackendRequest,
        listener: backend_server.BackendListener,
    ) -> None:
        if self.is_down:
            self._fail(request.request_id, listener, _Code.BACKEND_DOWN)
            return
        self.runs_by_request[request.request_id] += 1
        if request.idempotency_key:
            self.runs_by_key[request.idempotency_key] += 1
        self._clock.call_later(self.duration_ms, self._finish, request)

    def _finish(self, request: backend_server.BackendRequest) -> None:
        if self.responses_to_lose > 0:
            self.responses_to_lose -= 1
            self.cancel(request.request_id)
            return
        listener = self._listeners.pop(request.request_id, None)
        if listener is None:
            return
        response = service.expected_response(request.path, request.body)
        data = json.dumps(response, separators=(",", ":")).encode()
        listener.on_data(0, data)
        headers = {"content-type": "application/json"}
        listener.on_end(200, headers, len(data), 0)

    def _fail(
        self,
        request_id: str,
        listener: backend_server.BackendListener,
        code: result_code.ResultCode,
    ) -> None:
        if self._listeners.get(request_id) is listener:
            del self._listeners[request_id]
            listener.on_error(code, code.name.lower(), False)
