"""Stand-in of the platform's metadata store."""

from __future__ import annotations

import asyncio
import base64
import dataclasses
import json
import time
from typing import Any
from urllib import parse

from review.peers2 import wire

ANSWER_S = 0.004
MIN_TTL_MS = 1_000
MAX_TTL_MS = 600_000


@dataclasses.dataclass(slots=True)
class Item:
    """Hold one key as it was written last."""

    key: str
    value: bytes
    revision: int
    created: int
    lease: int

    def row(self) -> dict[str, Any]:
        """Return the item as the wire has it."""
        return {
            "key": self.key,
            "value": base64.b64encode(self.value).decode(),
            "revision": self.revision,
            "created_rev": self.created,
            "lease": self.lease,
        }


@dataclasses.dataclass(slots=True)
class Lease:
    """Hold a lease with the time at which it ends."""

    ttl_ms: int
    end_s: float


class Store:
    """Keep keys, revisions and leases; answer calls and watches."""

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.revision = 100
        self.port = 0
        self._events: list[dict[str, Any]] = []
        self._leases: dict[int, Lease] = {}
        self._next_lease = 1_000
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=wire.MAX_HEAD_BYTES
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self._sweeper = asyncio.create_task(self._sweep())

    async def stop(self) -> None:
        """Stop listening."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        if self._server is not None:
            self._server.close()

    # What the operator and the workers write

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key; return the revision, which acknowledges it."""
        self.revision += 1
        known = self.items.get(key)
        created = known.created if known else self.revision
        item = Item(key, value, self.revision, created, lease)
        self.items[key] = item
        self._add_event(item.row())
        return self.revision

    def put_json(self, key: str, value: object) -> int:
        """Write a document."""
        return self.put(key, json.dumps(value).encode())

    def remove(self, key: str) -> None:
        """Remove a key, if it is there."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self._add_event(
            {"key": key, "revision": self.revision, "deleted": True}
        )

    def revision_of(self, key: str) -> int:
        """Return the last change of a key, 0 if it is absent."""
        item = self.items.get(key)
        return item.revision if item else 0

    def _add_event(self, event: dict[str, Any]) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            now_s = time.monotonic()
            for number, lease in list(self._leases.items()):
                if lease.end_s <= now_s:
                    self._end_lease(number)

    def _end_lease(self, number: int) -> bool:
        if self._leases.pop(number, None) is None:
            return False
        for key, item in list(self.items.items()):
            if item.lease == number:
                self.remove(key)
        return True

    # Calls

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (found := await wire.read_request(reader)) is not None:
                await asyncio.sleep(ANSWER_S)
                status, document = await self._answer(found)
                fields = {"Content-Type": "application/json"}
                body = json.dumps(document).encode()
                writer.write(wire.response(status, fields, body))
                await writer.drain()
        except (wire.BrokenError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, found: wire.Message) -> tuple[int, object]:
        path, _, query = found.target.partition("?")
        fields = dict(parse.parse_qsl(query, keep_blank_values=True))
        body = json.loads(found.body) if found.body else {}
        if path == "/kv-key":
            item = self.items.get(fields["key"])
            if item is None:
                return 404, {}
            return 200, {**item.row(), "current_rev": self.revision}
        if path == "/kv-range":
            return 200, self._range(fields)
        if path == "/kv-watch":
            return await self._watch(fields)
        if path == "/kv-txn":
            return self._transact(body)
        if path == "/kv-lease":
            return 200, self._grant(int(body["ttl_ms"]))
        number = int(path.rsplit("/", 1)[1])
        if path.startswith("/kv-keep/"):
            return self._renew(number)
        return (200 if self._end_lease(number) else 404), {}

    def _range(self, fields: dict[str, str]) -> dict[str, Any]:
        prefix, after = fields["path_prefix"], fields.get("after", "")
        rows = [
            item.row()
            for key, item in sorted(self.items.items())
            if key.startswith(prefix) and key > after
        ]
        return {
            "items": rows[:500],
            "truncated": len(rows) > 500,
            "current_rev": self.revision,
        }

    async def _watch(self, fields: dict[str, str]) -> tuple[int, object]:
        prefix, after = fields["path_prefix"], int(fields["after"])
        end_s = time.monotonic() + int(fields["wait_ms"]) / 1_000
        while True:
            changed = self._changed
            rows = [
                event
                for event in self._events
                if event["revision"] > after
                and event["key"].startswith(prefix)
            ]
            left_s = end_s - time.monotonic()
            if rows or left_s <= 0:
                return 200, {"events": rows, "current_rev": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                pass

    def _transact(self, body: dict[str, Any]) -> tuple[int, object]:
        rows = body.get("precondition", [])
        known = [self.items.get(row["key"]) for row in rows]
        for row, item in zip(rows, known, strict=True):
            if row["revision"] != (item.revision if item else 0):
                found = [item.row() for item in known if item]
                return 412, {"items": found}
        for write in body.get("writes", []):
            if write.get("lease") and write["lease"] not in self._leases:
                return 404, {}
        for write in body.get("writes", []):
            value = base64.b64decode(write["value"])
            self.put(write["key"], value, write.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}

    def _grant(self, ttl_ms: int) -> dict[str, int]:
        ttl_ms = min(MAX_TTL_MS, max(MIN_TTL_MS, ttl_ms))
        self._next_lease += 1
        end_s = time.monotonic() + ttl_ms / 1_000
        self._leases[self._next_lease] = Lease(ttl_ms, end_s)
        return {"lease": self._next_lease, "ttl_ms": ttl_ms}

    def _renew(self, number: int) -> tuple[int, object]:
        lease = self._leases.get(number)
        if lease is None:
            return 404, {}
        lease.end_s = time.monotonic() + lease.ttl_ms / 1_000
        return 200, {"ttl_ms": lease.ttl_ms}
