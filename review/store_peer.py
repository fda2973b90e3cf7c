"""Stand-in for the platform's metadata store, as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from typing import Any
import urllib.parse

import http_wire

Answer = tuple[int, dict[str, Any]]
MAX_ITEMS = 500


class Store:
    """Keys with revisions, history, watches, leases and conditions."""

    def __init__(self) -> None:
        self.revision = 10
        self.items: dict[str, dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.calls: list[tuple[float, str, str]] = []  # time, machine, path
        self._next_lease = 77_000
        self._changed = asyncio.Event()
        # Names of machines that the store turns away with 503.
        self.turned_away: set[str] = set()
        self._servers: list[asyncio.Server] = []
        self._expiry: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin to end the leases that are not renewed."""
        self._expiry = asyncio.create_task(self._expire())

    async def listen_for(self, machine: str) -> str:
        """Return an address at which the store serves one machine."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._serve(machine, reader, writer)

        server = await asyncio.start_server(
            serve, "127.0.0.1", 0, limit=4 * 1024 * 1024
        )
        self._servers.append(server)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def stop(self) -> None:
        """Stop listening."""
        for server in self._servers:
            server.close()
        if self._expiry is not None:
            self._expiry.cancel()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key; return the new revision."""
        self.revision += 1
        created = self.items.get(key, {}).get("created_rev", self.revision)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created_rev": created,
            "lease": lease,
        }
        self.items[key] = item
        self._record(item)
        return self.revision

    def remove(self, key: str) -> None:
        """Delete a key, if it exists."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self._record({"key": key, "revision": self.revision, "deleted": True})

    def value(self, key: str) -> bytes | None:
        """Return the value of a key."""
        item = self.items.get(key)
        return None if item is None else base64.b64decode(item["value"])

    def _record(self, event: dict[str, Any]) -> None:
        self.history.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def end_lease(self, lease: int) -> bool:
        """End a lease and remove its keys."""
        if self.leases.pop(lease, None) is None:
            return False
        for key, item in list(self.items.items()):
            if item["lease"] == lease:
                self.remove(key)
        return True

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease, (end, _) in list(self.leases.items()):
                if end <= now:
                    self.end_lease(lease)

    async def _serve(
        self,
        machine: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            request = await http_wire.read_request(reader)
            while request is not None:
                path, _, query = request.target.partition("?")
                self.calls.append((time.monotonic(), machine, path))
                found = urllib.parse.parse_qs(query)
                arguments = {name: rows[0] for name, rows in found.items()}
                status, body = 503, {}
                if machine not in self.turned_away:
                    status, body = await self._answer(
                        path, arguments, request.body
                    )
                if path == "/kv-watch" and machine in self.turned_away:
                    status, body = 503, {}
                http_wire.write_json(writer, status, body)
                await writer.drain()
                request = await http_wire.read_request(reader)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(
        self, path: str, arguments: dict[str, str], raw: bytes
    ) -> Answer:
        name, _, rest = path.lstrip("/").partition("/")
        body = json.loads(raw) if raw else {}
        if name == "kv-range":
            return self._range(arguments)
        if name == "kv-key":
            item = self.items.get(arguments.get("key", ""))
            if item is None:
                return 404, {"current_rev": self.revision}
            return 200, {**item, "current_rev": self.revision}
        if name == "kv-watch":
            return await self._watch(arguments)
        if name == "kv-txn":
            return self._transact(body)
        if name == "kv-lease":
            self._next_lease += 1
            ttl_s = body["ttl_ms"] / 1_000
            end = time.monotonic() + ttl_s
            self.leases[self._next_lease] = (end, ttl_s)
            return 200, {"lease": self._next_lease, "ttl_ms": body["ttl_ms"]}
        if name == "kv-keep":
            return self._keep(int(rest))
        if name == "kv-lease-end":
            return (200 if self.end_lease(int(rest)) else 404), {}
        return 404, {}

    def _range(self, arguments: dict[str, str]) -> Answer:
        prefix = arguments.get("path_prefix", "")
        after = arguments.get("after", "")
        rows = [
            self.items[key]
            for key in sorted(self.items)
            if key.startswith(prefix) and key > after
        ]
        return 200, {
            "items": rows[:MAX_ITEMS],
            "truncated": len(rows) > MAX_ITEMS,
            "current_rev": self.revision,
        }

    async def _watch(self, arguments: dict[str, str]) -> Answer:
        prefix = arguments.get("path_prefix", "")
        after = int(arguments.get("after", "0"))
        end = time.monotonic() + int(arguments.get("wait_ms", "0")) / 1_000
        while True:
            events = [
                event
                for event in self.history
                if event["revision"] > after
                and event["key"].startswith(prefix)
            ]
            left_s = end - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue

    def _transact(self, body: dict[str, Any]) -> Answer:
        for row in body.get("precondition", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item] if item else []}
        for row in body.get("writes", []):
            if row.get("lease", 0) and row["lease"] not in self.leases:
                return 404, {}
        for row in body.get("writes", []):
            value = base64.b64decode(row["value"])
            self.put(row["key"], value, row.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}

    def _keep(self, lease: int) -> Answer:
        known = self.leases.get(lease)
        if known is None:
            return 404, {}
        self.leases[lease] = (time.monotonic() + known[1], known[1])
        return 200, {"ttl_ms": int(known[1] * 1_000)}
