"""Plain service in the same process, for scenarios and benchmarks."""

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
    """BackendServer of a plain service, which counts each run.

    Set is_down to refuse everything, and lose_answers to let that many runs
    end without an answer. The verdicts are those of ServiceClient.
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
        self.lose_answers = 0
        self.runs_by_request: collections.Counter[str] = collections.Counter()
        self.runs_by_key: collections.Counter[str] = collections.Counter()

    def start(
        self,
        request: backend_server.BackendRequest,
        listener: backend_server.BackendListener,
    ) -> None:
        """Run a request."""
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
        """Take over a running answer of which nothing was delivered yet."""
        if offset == 0 and request_id in self._listeners:
            self._listeners[request_id] = listener
        else:
            listener.on_error(
                _Code.ANSWER_INTERRUPTED, "a service cannot resume", False
            )

    def cancel(self, request_id: str) -> None:
        """Close the connection; the run goes on at the service."""
        listener = self._listeners.pop(request_id, None)
        if listener is not None:
            listener.on_error(_Code.OUTCOME_UNKNOWN, "cancelled", False)

    def crash(self) -> None:
        """End all runs and refuse connections for a time."""
        listeners, self._listeners = self._listeners, {}
        self.is_down = True
        self._clock.call_later(self.crash_down_ms, self._come_back)
        for listener in listeners.values():
            listener.on_error(_Code.BACKEND_CRASHED, "reset", True)

    def _come_back(self) -> None:
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
        self._clock.call_later(self.duration_ms, self._end, request)

    def _end(self, request: backend_server.BackendRequest) -> None:
        if self.lose_answers > 0:
            self.lose_answers -= 1
            self.cancel(request.request_id)
            return
        listener = self._listeners.pop(request.request_id, None)
        if listener is None:
            return
        answer = service.expected_answer(request.path, request.body)
        data = json.dumps(answer, separators=(",", ":")).encode()
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
