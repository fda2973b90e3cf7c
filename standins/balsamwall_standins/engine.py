"""Stand-in for a model engine with an OpenAI-compatible API."""

from __future__ import annotations

import json
from typing import Any
from typing import TYPE_CHECKING
import uuid

from balsamwall_standins import command_line
from balsamwall_standins import engine_core
from balsamwall_standins import engine_options
from balsamwall_standins import http_server
from balsamwall_standins import weight_reader

if TYPE_CHECKING:
    from balsamwall_standins import response_buffer

DEFAULT_OPTIONS = engine_options.EngineOptions()


class _CallReader:
    """Reader that writes a buffered response to an HTTP client."""

    def __init__(
        self,
        call: http_server.Call,
        buffer: response_buffer.ResponseBuffer,
        offset: int,
        boot: int,
    ) -> None:
        self._call = call
        headers = {"x-stream-offset": str(offset), "x-engine-boot": str(boot)}
        call.start_stream(200, buffer.content_type, headers)

    def on_data(self, data: bytes) -> None:
        self._call.write(data)

    def on_end(self) -> None:
        self._call.finish()

    def on_abort(self) -> None:
        self._call.abort()


class Engine(http_server.HttpStandin):
    """HTTP API of an engine."""

    def __init__(
        self,
        reactor: Any,
        options: engine_options.EngineOptions = DEFAULT_OPTIONS,
        weight_store_url: str = "",
    ) -> None:
        super().__init__(reactor)
        self._options = options
        loader = None
        if weight_store_url:
            loader = weight_reader.WeightReader(
                reactor, self.clock, weight_store_url
            )
        # Starting from wall time gives a restarted process a new boot number.
        self.core = engine_core.EngineCore(
            self.clock,
            options,
            loader,
            self.count_execution,
            self.clock.wall_ms(),
        )
        self.core.on_crash = self._on_crash
        for path in ("/v1/completions", "/v1/chat/completions"):
            self.add_route("POST", path, self._on_completion)
        self.add_route("GET", "/v1/models", self._on_models)
        self.add_route("GET", "/v1/streams/", self._on_stream)
        self.add_route("DELETE", "/v1/streams/", self._on_cancel)
        self.add_route("GET", "/engine/cache-events", self._on_events)
        self.add_route("GET", "/engine/load", self._on_load)
        self.add_route("GET", "/engine/listing", self._on_listing)
        self.add_route("GET", "/engine/orders/", self._on_order_state)
        self.add_route("POST", "/engine/orders", self._on_order)
        self.add_route("POST", "/engine/kv/export", self._on_export)
        self.add_route("POST", "/engine/kv/import", self._on_import)
        self.add_route("DELETE", "/engine/kv/", self._on_release)
        self.add_route("GET", "/healthz", self._on_listing)

    @property
    def _boot_header(self) -> dict[str, str]:
        return {"x-engine-boot": str(self.core.boot)}

    def _apply_specific_faults(self, values: dict[str, Any]) -> None:
        enabled = values.get(
            "is_crash_marker_enabled", self.faults.is_crash_marker_enabled
        )
        self.core.is_crash_marker_enabled = bool(enabled)
        if values.pop("crash", False):
            self.clock.call_later(5, self.core.crash)

    def _on_crash(self) -> None:
        self.go_down(self.faults.crash_down_ms)

    def _refuse(
        self, call: http_server.Call, refusal: engine_core.Refusal
    ) -> None:
        headers = {"x-not-run": "1", **self._boot_header}
        body = {"error": {"message": refusal.detail}}
        call.reply(refusal.http_status, body, headers)

    def _on_completion(self, call: http_server.Call) -> None:
        request_id = call.header("x-request-id") or uuid.uuid4().hex
        headers = {
            "x-request-id": request_id,
            "x-priority": call.header("x-priority"),
            "idempotency-key": call.header("idempotency-key"),
        }
        found = self.core.start(call.path, headers, call.body)
        if isinstance(found, engine_core.Refusal):
            self._refuse(call, found)
        else:
            self._follow(call, request_id, found.buffer, 0)

    def _on_stream(self, call: http_server.Call) -> None:
        offset = call.query_int("offset", 0)
        found = self.core.find_sequence(call.last_segment)
        buffer = None if found is None else found.buffer
        if buffer is None or buffer.is_aborted:
            call.reply(404, {"error": "unknown stream"}, self._boot_header)
        elif not 0 <= offset <= buffer.size:
            call.reply(416, {"error": "offset out of range"})
        else:
            self._follow(call, call.last_segment, buffer, offset)

    def _follow(
        self,
        call: http_server.Call,
        request_id: str,
        buffer: response_buffer.ResponseBuffer,
        offset: int,
    ) -> None:
        reader = _CallReader(call, buffer, offset, self.core.boot)

        def on_closed() -> None:
            buffer.detach(reader)
            self.clock.call_later(
                self._options.orphan_ms,
                self.core.cancel_if_orphaned,
                request_id,
            )

        buffer.attach(reader, offset)
        call.add_close_callback(on_closed)

    def _on_cancel(self, call: http_server.Call) -> None:
        has_run = self.core.cancel(call.last_segment)
        call.reply(200, {"ran": has_run}, self._boot_header)

    def _on_models(self, call: http_server.Call) -> None:
        names = sorted({name for name, _ in self.core.orders.residents})
        data = [
            {"id": name, "object": "model", "owned_by": "engine"}
            for name in names
        ]
        call.reply(200, {"object": "list", "data": data})

    def _on_events(self, call: http_server.Call) -> None:
        events = self.core.cache.events_since(call.query_int("since", 0))
        call.reply(200, {"boot": self.core.boot, **events})

    def _on_load(self, call: http_server.Call) -> None:
        call.reply(200, self.core.load(), self._boot_header)

    def _on_listing(self, call: http_server.Call) -> None:
        call.reply(200, self.core.listing(), self._boot_header)

    def _on_order(self, call: http_server.Call) -> None:
        order = call.json()
        if self.faults.draw(self.faults.order_loss_rate):
            call.abort()
        elif self.faults.order_delay_ms:
            # The order takes effect even if the sender has timed out.
            self.clock.call_later(
                self.faults.order_delay_ms, self._execute_order, call, order
            )
        else:
            self._execute_order(call, order)

    def _execute_order(
        self, call: http_server.Call, order: dict[str, Any]
    ) -> None:
        try:
            status, body = self.core.orders.receive(order)
        except (KeyError, TypeError, ValueError) as error:
            status, body = 400, {"error": repr(error)}
        call.reply(status, body, self._boot_header)

    def _on_order_state(self, call: http_server.Call) -> None:
        state = self.core.orders.order_state(call.last_segment)
        call.reply(200, {"id": call.last_segment, "state": state})

    def _on_export(self, call: http_server.Call) -> None:
        body = call.json()
        prefixes = engine_core.parse_prefixes(body["prefixes"])
        call.reply(200, self.core.export_kv(str(body["target"]), prefixes))

    def _on_import(self, call: http_server.Call) -> None:
        body = call.json()
        prefixes = engine_core.parse_prefixes(body["prefixes"])
        refusal = self.core.import_kv(
            str(body["id"]), str(body["target"]), prefixes
        )
        if refusal is not None:
            self._refuse(call, refusal)
        else:
            call.reply(200, {})

    def _on_release(self, call: http_server.Call) -> None:
        self.core.release_kv(call.last_segment)
        call.reply(200, {})


def add_resident(engine: Engine, text: str) -> None:
    """Add a resident from a JSON object with the fields of the listing."""
    item = json.loads(text)
    engine.core.orders.add_resident(
        item["name"],
        item.get("kind", "model"),
        item.get("version", "1"),
        item.get("base", ""),
        item["bytes"],
    )


def main() -> None:
    """Run an engine until a signal arrives."""
    parser = command_line.build_parser("model engine")
    parser.add_argument("--weight-store", default="", help="base URL")
    parser.add_argument(
        "--options", default="{}", help="JSON object of EngineOptions"
    )
    parser.add_argument(
        "--resident", action="append", default=[], help="JSON object"
    )
    arguments = parser.parse_args()
    options = engine_options.EngineOptions(**json.loads(arguments.options))

    def build(reactor: Any) -> Engine:
        engine = Engine(reactor, options, arguments.weight_store)
        for text in arguments.resident:
            add_resident(engine, text)
        return engine

    command_line.serve(arguments, build)


if __name__ == "__main__":
    main()
