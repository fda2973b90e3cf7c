"""Stand-in for a model engine that takes orders and streams answers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import dataclasses
import json
import time
from typing import Any

import http_wire
import store_peer
import worker_peer

EVENT_S = 0.02


@dataclasses.dataclass(slots=True, frozen=True)
class Order:
    """One order that has arrived, with the answer to it."""

    at_s: float
    holder: str
    token: int
    text: str
    status: int


class Engine(worker_peer.Worker):
    """A sound engine; it checks fencing tokens only if told to."""

    def __init__(
        self,
        store: store_peer.Store,
        server_id: str,
        service: str,
        record: Callable[..., None],
        sizes_mb: dict[str, float],
        weights_mb: float,
        models: list[str],
        load_s: float,
        checks_fences: bool,
    ) -> None:
        super().__init__(store, server_id, service, record, slots=32)
        self.sizes_mb = sizes_mb
        self.weights_mb = weights_mb
        self.models = list(models)
        self.load_s = load_s
        self.checks_fences = checks_fences
        self.accepted = 0
        self.loading = ""
        self.highest_token = 0
        self.orders: list[Order] = []

    def document(self) -> dict[str, Any]:
        """Return what the engine says of itself."""
        return {
            **super().document(),
            "seq": self.accepted,
            "stage": "both",
            "models": self._rows(),
        }

    def _rows(self) -> list[dict[str, Any]]:
        return [
            {"name": name, "version": 1, "adapters": []}
            for name in self.models
        ]

    async def handle(
        self,
        request: http_wire.Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer a report, an order or a client's request."""
        expected = request.fields.get("balsamwall-expect-instance")
        if expected not in (None, self.server_id):
            request_id = request.fields.get("balsamwall-request-id", "")
            self.refuse(writer, 421, request_id)
        elif request.target == "/report":
            http_wire.write_json(writer, 200, self._report())
        elif request.target == "/order":
            body = json.loads(request.body)
            status = self._take_order(body)
            name = f"{body.get('op')} {body.get('model')}"
            order = Order(
                time.monotonic(),
                str(body.get("holder")),
                int(body.get("fencing_token", 0)),
                name,
                status,
            )
            self.orders.append(order)
            self.record(
                "order",
                worker=self.server_id,
                holder=order.holder,
                token=order.token,
                order=name,
                precondition=body.get("precondition"),
                status=status,
            )
            http_wire.write_json(writer, status, {})
        elif request.fields.get("balsamwall-model", "") not in self.models:
            request_id = request.fields.get("balsamwall-request-id", "")
            self.refuse(writer, 421, request_id)
        else:
            await super().handle(request, reader, writer)

    def _report(self) -> dict[str, Any]:
        return {
            "stage": "both",
            "models": self._rows(),
            "busy": bool(self.loading),
            "seq": self.accepted,
            "queued": 0,
            "active": self.running,
            "kv_used": 0,
            "kv_total": 130_000,
            "handles": 0,
            "coming": [],
            "born": self.born,
        }

    def _take_order(self, body: dict[str, Any]) -> int:
        token = body.get("fencing_token")
        if type(token) is not int or not body.get("holder"):
            return 400
        if self.checks_fences and token < self.highest_token:
            return 412
        self.highest_token = max(self.highest_token, token)
        name, is_load = body["model"], body["op"] == "load"
        if self.loading:
            return 409
        if (name in self.models) is is_load:
            return 200
        if body.get("precondition", self.accepted) != self.accepted:
            return 409
        self.accepted += 1
        if not is_load:
            self.models.remove(name)
        else:
            self.loading = name
            asyncio.get_running_loop().call_later(self.load_s, self._on_loaded)
        return 202

    def _on_loaded(self) -> None:
        self.models.append(self.loading)
        self.loading = ""
        self.register()

    async def respond(
        self,
        request: http_wire.Request,
        request_id: str,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Stream a few events."""
        writer.write(
            self.head(
                request_id,
                "Content-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked",
            )
        )
        for number in range(1, 6):
            await asyncio.sleep(EVENT_S)
            event = f"id: {number}\ndata: {request_id}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
