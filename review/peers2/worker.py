"""Stand-in of a worker of a plain service, or of a stream service."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import time
from typing import Any

from review.peers2 import record as record_module
from review.peers2 import store as store_module
from review.peers2 import wire

BEAT_S = 1.2
REQUEST_ID = "balsamwall-request-id"

# Answers one request in another way; returns whether it did.
Special = Callable[
    ["Worker", wire.Message, asyncio.StreamWriter], Awaitable[bool]
]


class Worker:
    """Serve requests one at a time on each connection, and write an entry."""

    def __init__(
        self,
        store: store_module.Store,
        record: record_module.Record,
        name: str,
        service: str,
        work_s: float = 0.02,
        slots: int = 32,
    ) -> None:
        self.store = store
        self.record = record
        self.name = name
        self.service = service
        self.work_s = work_s
        self.slots = slots
        self.state = "ready"
        self.is_beating = True
        self.sequence = 0
        self.born = int(time.time() * 1_000)
        self.port = 0
        self.runs: list[tuple[float, str]] = []
        self.active = 0
        self.extra_fields: dict[str, str] = {}
        self.special: Special | None = None
        self._server: asyncio.Server | None = None
        self._beater: asyncio.Task[None] | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free loopback port and write the entry."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=wire.MAX_HEAD_BYTES
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.write_entry()
        self._beater = asyncio.create_task(self._beat())

    def entry(self) -> dict[str, Any]:
        """Return what the worker says of itself in the store."""
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "hall-sava",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "seq": self.sequence,
            "born": self.born,
        }

    def write_entry(self) -> None:
        """Write the entry to the store."""
        self.store.put_json(f"servers/{self.name}", self.entry())

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(BEAT_S)
            if self.is_beating:
                self.write_entry()

    def stop(self) -> None:
        """Exit: close all connections and the port."""
        if self._beater is not None:
            self._beater.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def crash(self, down_s: float) -> None:
        """End as a crashed process does, and start again after some time."""
        self.record.write("crashes", worker=self.name)
        self.stop()
        await asyncio.sleep(down_s)
        self.born = int(time.time() * 1_000)
        self.sequence = 0
        self.active = 0
        await self.start()
        self.record.write("is back", worker=self.name)

    def signed(self, request_id: str) -> dict[str, str]:
        """Return the fields of an answer to a request."""
        return {
            "Balsamwall-Request-Id": request_id,
            "Balsamwall-Response-Signature": f"{self.name}.{request_id}",
            "Balsamwall-Instance-Id": self.name,
            "Keep-Alive": "timeout=15",
            **self.extra_fields,
        }

    def note_run(self, request_id: str) -> None:
        """Record that work on a request begins."""
        self.runs.append((time.monotonic(), request_id))
        self.record.write("runs", worker=self.name, request=request_id)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (found := await wire.read_request(reader)) is not None:
                await self._answer(found, writer)
                await writer.drain()
        except (wire.BrokenError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self, found: wire.Message, writer: asyncio.StreamWriter
    ) -> None:
        if found.target == "/health":
            fields = {"Balsamwall-Instance-Id": self.name}
            writer.write(wire.response(200, fields))
            return
        request_id = found.fields.get(REQUEST_ID, "")
        expected = found.fields.get("balsamwall-expect-instance", self.name)
        if expected != self.name:
            fields = {"Balsamwall-Request-Id": request_id}
            writer.write(wire.response(421, fields))
            return
        if self.special is not None and await self.special(
            self, found, writer
        ):
            return
        self.note_run(request_id)
        self.active += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.active -= 1
        body = f"answer of {self.name} to {request_id}".encode()
        writer.write(wire.response(200, self.signed(request_id), body))
