"""In-process engine for scenarios and benchmarks."""

from __future__ import annotations

import random
from typing import Any
from typing import TYPE_CHECKING

from balsamwall.backend import backend_server
from balsamwall.results import result_code
from balsamwall_standins import engine_core

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.timing import clock as clock_module
    from balsamwall_standins import sequence

_Code = result_code.ResultCode
_REFUSAL_CODES = {
    404: _Code.NO_REPLICA,
    409: _Code.CANCELLED_NOT_RUN,
    507: _Code.ORDER_REFUSED_MEMORY,
}


class _Reader:
    """Reader that passes a buffered response to a backend listener."""

    __slots__ = ("_boot", "_engine", "_listener", "_offset", "_sequence")

    def __init__(
        self,
        engine: MemoryEngine,
        found: sequence.Sequence,
        listener: backend_server.BackendListener,
        offset: int,
    ) -> None:
        self._engine = engine
        self._sequence = found
        self._listener = listener
        self._offset = offset
        self._boot = engine.core.boot

    def on_data(self, data: bytes) -> None:
        offset = self._offset
        self._offset += len(data)
        self._listener.on_data(offset, data)

    def on_end(self) -> None:
        headers = {"content-type": self._sequence.buffer.content_type}
        self._listener.on_end(
            200, headers, self._offset, self._sequence.emitted_tokens
        )

    def on_abort(self) -> None:
        if self._boot != self._engine.core.boot:
            code, is_crash = _Code.BACKEND_CRASHED, True
        elif not self._engine.pop_cancelled(self._sequence.request_id):
            code, is_crash = _Code.ANSWER_INTERRUPTED, False
        elif self._sequence.has_run:
            code, is_crash = _Code.CANCELLED_AFTER_START, False
        else:
            code, is_crash = _Code.CANCELLED_NOT_RUN, False
        self._listener.on_error(code, "the response was aborted", is_crash)


class MemoryEngine:
    """BackendServer and EngineControl on top of an engine core.

    Set is_down to refuse all calls. Orders are dropped at order_loss_rate,
    lose their response at order_response_loss_rate and take effect after
    order_delay_ms; a response later than timeout_ms is reported as
    ORDER_OUTCOME_UNKNOWN.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        core: engine_core.EngineCore,
        latency_ms: int = 1,
        seed: int = 0,
    ) -> None:
        self._clock = clock
        self._random = random.Random(seed)
        self._cancelled: set[str] = set()
        self.core = core
        self.core.on_crash = self._on_crash
        self.latency_ms = latency_ms
        self.timeout_ms = 2_000
        self.crash_down_ms = 2_000
        self.is_down = False
        self.order_loss_rate = 0.0
        self.order_response_loss_rate = 0.0
        self.order_delay_ms = 0

    def pop_cancelled(self, request_id: str) -> bool:
        """Tell whether the sender cancelled a request; clear the mark."""
        is_cancelled = request_id in self._cancelled
        self._cancelled.discard(request_id)
        return is_cancelled

    def start(
        self,
        request: backend_server.BackendRequest,
        listener: backend_server.BackendListener,
    ) -> None:
        """Start a request after latency_ms."""
        self._clock.call_later(self.latency_ms, self._start, request, listener)

    def resume(
        self,
        request_id: str,
        offset: int,
        listener: backend_server.BackendListener,
    ) -> None:
        """Read a retained response from a byte offset on."""
        self._clock.call_later(
            self.latency_ms, self._resume, request_id, offset, listener
        )

    def cancel(self, request_id: str) -> None:
        """Stop a request; its listener gets on_error once it has stopped."""
        self._clock.call_later(self.latency_ms, self._cancel, request_id)

    def order(
        self,
        order: backend_server.EngineOrder,
        callback: Callable[[result_code.ResultCode], None],
    ) -> None:
        """Send an order; ORDER_OUTCOME_UNKNOWN if no response arrives."""
        if self.is_down:
            self._call_after_latency(callback, _Code.BACKEND_DOWN)
            return
        is_response_received = (
            self._random.random() >= self.order_response_loss_rate
        )
        if self._random.random() < self.order_loss_rate:
            is_response_received = False
        else:
            delay_ms = self.latency_ms + self.order_delay_ms
            is_response_received = (
                is_response_received and delay_ms < self.timeout_ms
            )
            response_callback = callback if is_response_received else None
            self._clock.call_later(
                delay_ms, self._execute_order, order, response_callback
            )
        if not is_response_received:
            self._clock.call_later(
                self.timeout_ms, callback, _Code.ORDER_OUTCOME_UNKNOWN
            )

    def listing(
        self,
        callback: Callable[[backend_server.EngineListing | None], None],
    ) -> None:
        """Read the engine listing; the callback gets None on failure."""
        self._clock.call_later(
            self.latency_ms,
            lambda: callback(None if self.is_down else self._listing()),
        )

    def load(
        self, callback: Callable[[backend_server.EngineLoad | None], None]
    ) -> None:
        """Read the load report; the callback gets None on failure."""
        self._clock.call_later(
            self.latency_ms,
            lambda: callback(
                None
                if self.is_down
                else backend_server.EngineLoad(**self.core.load())
            ),
        )

    def _call_after_latency(
        self, function: Callable[..., None], *args: object
    ) -> None:
        self._clock.call_later(self.latency_ms, function, *args)

    def _on_crash(self) -> None:
        self.is_down = True
        self._clock.call_later(self.crash_down_ms, self._recover)

    def _recover(self) -> None:
        self.is_down = False

    def _start(
        self,
        request: backend_server.BackendRequest,
        listener: backend_server.BackendListener,
    ) -> None:
        if self.is_down:
            listener.on_error(_Code.BACKEND_DOWN, "refused", False)
            return
        headers = {
            "x-request-id": request.request_id,
            "x-priority": "urgent" if request.is_urgent else "deferrable",
            "idempotency-key": request.idempotency_key,
        }
        found = self.core.start(request.path, headers, request.body)
        if isinstance(found, engine_core.Refusal):
            code = _REFUSAL_CODES.get(
                found.http_status, _Code.MALFORMED_REQUEST
            )
            listener.on_error(code, found.detail, False)
            return
        found.buffer.attach(_Reader(self, found, listener, 0), 0)

    def _resume(
        self,
        request_id: str,
        offset: int,
        listener: backend_server.BackendListener,
    ) -> None:
        found = self.core.find_sequence(request_id)
        if self.is_down:
            listener.on_error(_Code.BACKEND_CRASHED, "refused", True)
        elif found is None:
            listener.on_error(_Code.ANSWER_INTERRUPTED, "unknown", False)
        else:
            reader = _Reader(self, found, listener, offset)
            found.buffer.attach(reader, offset)

    def _cancel(self, request_id: str) -> None:
        if self.is_down:
            return
        found = self.core.find_sequence(request_id)
        if found is not None and not found.is_done:
            self._cancelled.add(request_id)
        self.core.cancel(request_id)

    def _execute_order(
        self,
        order: backend_server.EngineOrder,
        callback: Callable[[result_code.ResultCode], None] | None,
    ) -> None:
        if self.is_down:
            code = _Code.ORDER_OUTCOME_UNKNOWN
        else:
            status, body = self.core.orders.receive(_encode_order(order))
            code = _decode_order_response(status, body)
        if callback is not None:
            callback(code)

    def _listing(self) -> backend_server.EngineListing:
        found: dict[str, Any] = self.core.listing()
        residents = tuple(
            backend_server.Resident(
                item["name"],
                item["kind"],
                item["version"],
                item["base"],
                item["bytes"],
                item["state"],
            )
            for item in found["residents"]
        )
        return backend_server.EngineListing(
            found["capacity"],
            found["used"],
            found["fence"],
            found["is_fence_checked"],
            found["role"],
            residents,
            tuple(found["open_orders"]),
        )


def _encode_order(order: backend_server.EngineOrder) -> dict[str, Any]:
    return {
        "id": order.order_id,
        "fence": order.fence,
        "action": order.action,
        "name": order.name,
        "kind": order.kind,
        "version": order.version,
        "base": order.base,
        "bytes": order.memory_bytes,
    }


def _decode_order_response(
    status: int, body: dict[str, Any]
) -> result_code.ResultCode:
    if status == 202:
        return _Code.OK
    if status == 409 and body.get("error") == "stale fence":
        return _Code.ORDER_STALE_FENCE
    if status == 507:
        return _Code.ORDER_REFUSED_MEMORY
    return _Code.NOT_READY if status == 409 else _Code.MALFORMED_REQUEST
