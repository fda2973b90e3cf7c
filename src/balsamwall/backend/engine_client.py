"""HTTP client of a model engine."""

from __future__ import annotations

import dataclasses
import json
from typing import Any
from typing import TYPE_CHECKING
import urllib.parse

from balsamwall.backend import backend_server
from balsamwall.backend import engine_response
from balsamwall.backend import http_headers
from balsamwall.infrastructure import http_client
from balsamwall.results import result_code

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.timing import clock as clock_module

IDLE_TIMEOUT_MS = 2_000
CALL_TIMEOUT_MS = 2_000
_Code = result_code.ResultCode


@dataclasses.dataclass(slots=True, frozen=True)
class CacheEvents:
    """Changes of the prefix cache, delayed and possibly incomplete."""

    boot: int
    next_sequence: int
    has_gap: bool
    age_ms: int
    stored: tuple[int, ...]
    removed: tuple[int, ...]


class EngineClient:
    """Implementation of BackendServer and EngineControl over HTTP."""

    __slots__ = (
        "_base_url",
        "_client",
        "_clock",
        "_idle_timeout_ms",
        "_responses",
        "_timeout_ms",
        "boot",
    )

    def __init__(
        self,
        reactor: Any,
        clock: clock_module.Clock,
        base_url: str,
        idle_timeout_ms: int = IDLE_TIMEOUT_MS,
        call_timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> None:
        self._client = http_client.HttpClient(reactor, clock)
        self._clock = clock
        self._base_url = base_url.rstrip("/")
        self._idle_timeout_ms = idle_timeout_ms
        self._timeout_ms = call_timeout_ms
        self._responses: dict[str, engine_response.EngineResponse] = {}
        self.boot = ""

    def start(
        self,
        request: backend_server.BackendRequest,
        listener: backend_server.BackendListener,
    ) -> None:
        """Run a request; the listener gets one end or error."""
        self._new_response(request.request_id, listener).start(request)

    def resume(
        self,
        request_id: str,
        offset: int,
        listener: backend_server.BackendListener,
    ) -> None:
        """Read the rest of a running stream from a byte offset."""
        self._new_response(request_id, listener).resume(offset)

    def cancel(self, request_id: str) -> None:
        """Cancel a request; its listener gets on_error once confirmed."""
        response = self._responses.get(request_id)
        if response is not None:
            response.cancel()
        else:
            self.delete_stream(request_id, lambda has_run, boot: None)

    def order(
        self,
        order: backend_server.EngineOrder,
        callback: Callable[[result_code.ResultCode], None],
    ) -> None:
        """Send an order; ORDER_OUTCOME_UNKNOWN if no response arrived."""
        body = {
            "id": order.order_id,
            "fence": order.fence,
            "action": order.action,
            "name": order.name,
            "kind": order.kind,
            "version": order.version,
            "base": order.base,
            "bytes": order.memory_bytes,
        }
        self._call(
            "POST",
            "/engine/orders",
            body,
            lambda response: callback(_order_code(response)),
        )

    def order_state(
        self, order_id: str, callback: Callable[[str], None]
    ) -> None:
        """Read accepted, finished, failed or unknown; empty if unreadable."""

        def on_response(response: http_client.HttpResponse) -> None:
            body = _parse_object(response)
            callback("" if body is None else str(body.get("state", "")))

        path = f"/engine/orders/{_quote(order_id)}"
        self._call("GET", path, None, on_response)

    def listing(
        self,
        callback: Callable[[backend_server.EngineListing | None], None],
    ) -> None:
        """Read the listing; the callback gets None on failure."""
        self._call(
            "GET",
            "/engine/listing",
            None,
            lambda response: callback(_convert(response, _parse_listing)),
        )

    def load(
        self, callback: Callable[[backend_server.EngineLoad | None], None]
    ) -> None:
        """Read the load; the callback gets None on failure."""
        self._call(
            "GET",
            "/engine/load",
            None,
            lambda response: callback(_convert(response, _parse_load)),
        )

    def cache_events(
        self, since: int, callback: Callable[[CacheEvents | None], None]
    ) -> None:
        """Read cache events from a sequence number; None on failure."""
        self._call(
            "GET",
            f"/engine/cache-events?since={since}",
            None,
            lambda response: callback(_convert(response, _parse_cache_events)),
        )

    def export_kv(
        self,
        target: str,
        prefixes: tuple[int, ...],
        callback: Callable[[dict[str, Any] | None], None],
    ) -> None:
        """Export cached blocks for another engine; None on failure."""
        body = {"target": target, "prefixes": list(prefixes)}
        self._call(
            "POST",
            "/engine/kv/export",
            body,
            lambda response: callback(_parse_object(response)),
        )

    def import_kv(
        self,
        import_id: str,
        exported: dict[str, Any],
        callback: Callable[[result_code.ResultCode], None],
    ) -> None:
        """Import exported blocks; they occupy memory until release_kv."""
        self._call(
            "POST",
            "/engine/kv/import",
            {**exported, "id": import_id},
            lambda response: callback(_order_code(response)),
        )

    def release_kv(
        self,
        import_id: str,
        callback: Callable[[result_code.ResultCode], None],
    ) -> None:
        """Free the memory of imported blocks."""
        self._call(
            "DELETE",
            f"/engine/kv/{_quote(import_id)}",
            None,
            lambda response: callback(_order_code(response)),
        )

    def check_health(self, callback: Callable[[bool], None]) -> None:
        """Report to the callback whether the health check succeeds."""
        self._call(
            "GET",
            "/healthz",
            None,
            lambda response: callback(response.status == 200),
        )

    def post(
        self,
        request: backend_server.BackendRequest,
        receiver: http_client.Receiver,
    ) -> Callable[[], None]:
        """Send a request; return a function that closes the connection."""
        headers = http_headers.end_to_end(request.headers)
        headers.setdefault("content-type", "application/json")
        headers["x-request-id"] = request.request_id
        headers["x-priority"] = "urgent" if request.is_urgent else "deferrable"
        if request.idempotency_key:
            headers["idempotency-key"] = request.idempotency_key
        exchange = self._client.stream(
            "POST",
            self._base_url + urllib.parse.quote(request.path, safe="/?=&%"),
            headers,
            request.body,
            receiver,
        )
        return exchange.abort

    def read_stream(
        self, request_id: str, offset: int, receiver: http_client.Receiver
    ) -> Callable[[], None]:
        """Read a response buffered by the engine, from a byte offset."""
        url = f"{self._base_url}/v1/streams/{_quote(request_id)}"
        exchange = self._client.stream(
            "GET", f"{url}?offset={offset}", {}, b"", receiver
        )
        return exchange.abort

    def delete_stream(
        self, request_id: str, callback: Callable[[bool | None, str], None]
    ) -> None:
        """Cancel; the callback gets whether it ran and the boot number.

        See EngineTransport.delete_stream for the values on failure.
        """

        def on_response(response: http_client.HttpResponse) -> None:
            body = _parse_object(response)
            if response.reason == http_client.CONNECTION_REFUSED:
                callback(None, "down")
            elif body is None or not isinstance(body.get("ran"), bool):
                callback(None, "")
            else:
                callback(
                    body["ran"], response.headers.get("x-engine-boot", "")
                )

        path = f"/v1/streams/{_quote(request_id)}"
        self._call("DELETE", path, None, on_response)

    def _new_response(
        self, request_id: str, listener: backend_server.BackendListener
    ) -> engine_response.EngineResponse:
        previous = self._responses.pop(request_id, None)
        if previous is not None:
            previous.detach()
        response = engine_response.EngineResponse(
            self._clock,
            self,
            request_id,
            listener,
            self._idle_timeout_ms,
            lambda finished: self._remove(request_id, finished),
        )
        self._responses[request_id] = response
        return response

    def _remove(
        self, request_id: str, finished: engine_response.EngineResponse
    ) -> None:
        if self._responses.get(request_id) is finished:
            del self._responses[request_id]

    def _call(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None,
        callback: Callable[[http_client.HttpResponse], None],
    ) -> None:
        def on_response(response: http_client.HttpResponse) -> None:
            self.boot = response.headers.get("x-engine-boot") or self.boot
            callback(response)

        self._client.call(
            method,
            self._base_url + path,
            {"content-type": "application/json"},
            b"" if body is None else json.dumps(body).encode(),
            self._timeout_ms,
            on_response,
        )


def _quote(text: str) -> str:
    return urllib.parse.quote(text, safe="")


def _parse_object(response: http_client.HttpResponse) -> dict[str, Any] | None:
    if response.status != 200:
        return None
    try:
        document = json.loads(response.body)
    except ValueError:
        return None
    return document if isinstance(document, dict) else None


def _convert(
    response: http_client.HttpResponse,
    convert: Callable[[dict[str, Any]], Any],
) -> Any:
    body = _parse_object(response)
    try:
        return None if body is None else convert(body)
    except (AttributeError, KeyError, TypeError, ValueError):
        return None


def _order_code(response: http_client.HttpResponse) -> result_code.ResultCode:
    if response.status in (200, 202):
        return _Code.OK
    if not response.was_sent:
        return _Code.BACKEND_DOWN
    if response.status == 409 and b"stale fence" in response.body:
        return _Code.ORDER_STALE_FENCE
    if response.status == 507:
        return _Code.ORDER_REFUSED_MEMORY
    if response.status == 400:
        return _Code.MALFORMED_REQUEST
    if response.status in (404, 409):
        return _Code.NOT_READY
    return _Code.ORDER_OUTCOME_UNKNOWN


def _parse_listing(body: dict[str, Any]) -> backend_server.EngineListing:
    residents = tuple(
        backend_server.Resident(
            str(item["name"]),
            str(item["kind"]),
            str(item["version"]),
            str(item["base"]),
            int(item["bytes"]),
            str(item["state"]),
        )
        for item in body["residents"]
    )
    return backend_server.EngineListing(
        int(body["capacity"]),
        int(body["used"]),
        int(body["fence"]),
        bool(body["is_fence_checked"]),
        str(body["role"]),
        residents,
        tuple(str(order_id) for order_id in body["open_orders"]),
    )


def _parse_load(body: dict[str, Any]) -> backend_server.EngineLoad:
    names = ("running", "waiting", "queued_tokens", "kv_used_bytes")
    values = [int(body[name]) for name in (*names, "step_us", "age_ms")]
    return backend_server.EngineLoad(*values)


def _parse_cache_events(body: dict[str, Any]) -> CacheEvents:
    # Only the last event of a block counts: it may be removed and stored
    # again.
    last: dict[int, str] = {}
    for event in body["events"]:
        last[int(event["prefix"])] = str(event["kind"])
    return CacheEvents(
        int(body["boot"]),
        int(body["next"]),
        bool(body["has_gap"]),
        int(body["age_ms"]),
        tuple(block for block, kind in last.items() if kind == "stored"),
        tuple(block for block, kind in last.items() if kind == "removed"),
    )
