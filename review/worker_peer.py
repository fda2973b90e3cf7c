"""Stand-ins for workers: plain services and model engines."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import json
import time
from typing import Any

import http_wire
import store_peer

HEARTBEAT_S = 1.2
WORK_S = 0.03


class Worker:
    """A sound worker of a plain service; a case may replace `respond`."""

    def __init__(
        self,
        store: store_peer.Store,
        server_id: str,
        service: str,
        record: Callable[..., None],
        slots: int = 6,
        zone: str = "hall-sava",
    ) -> None:
        self.store = store
        self.server_id = server_id
        self.service = service
        self.record = record
        self.slots = slots
        self.zone = zone
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1_000)
        self.address = ""
        self.runs: list[str] = []
        self.running = 0
        # Open connections.
        self.writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._beat: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen, on the same port as before, and register."""
        known = self.address.rpartition(":")[2]
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", int(known or 0), limit=8 * 1024 * 1024
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self._beat = asyncio.create_task(self._send_beats())

    def stop(self) -> None:
        """Stop listening and registering."""
        if self._server is not None:
            self._server.close()
        if self._beat is not None:
            self._beat.cancel()

    def document(self) -> dict[str, Any]:
        """Return what the worker says of itself."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "seq": self.sequence,
            "born": self.born,
        }

    def register(self) -> None:
        """Write the record of the worker."""
        self.sequence += 1
        raw = json.dumps(self.document()).encode()
        self.store.put(f"servers/{self.server_id}", raw)

    async def _send_beats(self) -> None:
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while True:
                request = await http_wire.read_request(reader)
                if request is None:
                    break
                await self.handle(request, reader, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(
        self,
        request: http_wire.Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Run a request that is meant for this worker."""
        request_id = request.fields.get("balsamwall-request-id", "")
        expected = request.fields.get("balsamwall-expect-instance")
        if expected not in (None, self.server_id):
            self.refuse(writer, 421, request_id)
            return
        self.runs.append(request_id)
        self.record("runs", worker=self.server_id, request=request_id)
        self.running += 1
        try:
            await self.respond(request, request_id, writer)
        finally:
            self.running -= 1

    async def respond(
        self,
        request: http_wire.Request,
        request_id: str,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer a request that runs."""
        await asyncio.sleep(WORK_S)
        body = f"answer to {request_id}\n".encode() * 20
        writer.write(self.head(request_id, f"Content-Length: {len(body)}"))
        writer.write(body)

    def head(self, request_id: str, framing: str, status: int = 200) -> bytes:
        """Return the head of a signed answer."""
        return (
            f"HTTP/1.1 {status} Status\r\n"
            f"Balsamwall-Request-Id: {request_id}\r\n"
            f"Balsamwall-Response-Signature: sig-{self.server_id}\r\n"
            f"Balsamwall-Server-Load: {self.running},0,{self.slots}\r\n"
            f"{framing}\r\n\r\n"
        ).encode()

    def refuse(
        self, writer: asyncio.StreamWriter, status: int, request_id: str
    ) -> None:
        """Reject a request without running it."""
        writer.write(
            (
                f"HTTP/1.1 {status} Status\r\n"
                f"Balsamwall-Request-Id: {request_id}\r\n"
                "Balsamwall-Not-Executed: 1\r\n"
                f"Balsamwall-Instance-Id: {self.server_id}\r\n"
                "Content-Length: 0\r\n\r\n"
            ).encode()
        )
