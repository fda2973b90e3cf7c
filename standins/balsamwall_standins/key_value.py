"""Stand-in for the key-value service, with the JSON API of etcd v3."""

from __future__ import annotations

import base64
import json
from typing import Any

from balsamwall_standins import command_line
from balsamwall_standins import http_server
from balsamwall_standins import key_value_store
from balsamwall_standins import rate_limit

MAX_VALUE_BYTES = 1_000_000
_WRITE_KINDS = ("put", "deleterange", "txn", "grant", "revoke", "keepalive")
_COMPARE_FIELDS = {
    "MOD": "mod_revision",
    "CREATE": "create_revision",
    "VERSION": "version",
}


class ServiceError(ValueError):
    """Error response with an HTTP status and a gRPC status code."""

    def __init__(self, http_status: int, code: int, message: str) -> None:
        super().__init__(message)
        self.http_status = http_status
        self.code = code
        self.message = message


class _Watcher:
    """One watch stream."""

    def __init__(
        self, call: http_server.Call, key: bytes, range_end: bytes
    ) -> None:
        self.call = call
        self._key = key
        self._range_end = range_end

    def send(
        self, revision: int, entries: list[key_value_store.Entry]
    ) -> None:
        """Send the changes within the watched range, if any."""
        events = [
            {
                "type": "PUT" if entry.version else "DELETE",
                "kv": _encode_entry(entry),
            }
            for entry in entries
            if key_value_store.is_in_range(
                entry.key, self._key, self._range_end
            )
        ]
        if events:
            self.send_result(revision, {"events": events})

    def send_result(self, revision: int, extra: dict[str, object]) -> None:
        """Send one JSON line of the stream."""
        result = {"header": _header(revision), "watch_id": "0", **extra}
        self.call.write(json.dumps({"result": result}).encode() + b"\n")


class KeyValue(http_server.HttpStandin):
    """Key-value service with rate limits and call counts by kind."""

    def __init__(
        self,
        reactor: Any,
        reads_per_second: float = 2_000,
        writes_per_second: float = 300,
        progress_ms: int = 2_000,
    ) -> None:
        super().__init__(reactor)
        self._reads = rate_limit.RateLimit(
            self.clock, reads_per_second, max(1, int(reads_per_second))
        )
        self._writes = rate_limit.RateLimit(
            self.clock, writes_per_second, max(1, int(writes_per_second))
        )
        self._progress_ms = progress_ms
        self._watchers: list[_Watcher] = []
        self.store = key_value_store.KeyValueStore(self.clock)
        self.store.listeners.append(self._on_changes)
        for path, kind, handler in (
            ("/v3/kv/range", "range", self._range),
            ("/v3/kv/put", "put", self._put),
            ("/v3/kv/deleterange", "deleterange", self._delete),
            ("/v3/kv/txn", "txn", self._txn),
            ("/v3/lease/grant", "grant", self._grant),
            ("/v3/lease/keepalive", "keepalive", self._keep_alive),
            ("/v3/lease/revoke", "revoke", self._revoke),
        ):
            self._add_operation(path, kind, handler)
        self.add_route("POST", "/v3/watch", self._on_watch)
        self.add_route("GET", "/counts", self._on_counts)

    def _add_operation(self, path: str, kind: str, handler: Any) -> None:
        def run(call: http_server.Call) -> None:
            self.call_counts[kind] += 1
            limit = self._writes if kind in _WRITE_KINDS else self._reads
            try:
                if not limit.take():
                    raise ServiceError(429, 8, "too many requests")
                response = handler(call.json())
            except ServiceError as error:
                _send_error(call, error)
                return
            response["header"] = _header(self.store.revision)
            if kind == "keepalive":
                response = {"result": response}
            call.reply(200, response)

        self.add_route("POST", path, run)

    def _range(self, body: dict[str, Any]) -> dict[str, Any]:
        found = self.store.read(*_parse_range(body))
        limit = int(body.get("limit", 0))
        returned = found[:limit] if limit else found
        return {
            "kvs": [_encode_entry(entry) for entry in returned],
            "count": str(len(found)),
            "more": len(returned) < len(found),
        }

    def _put(self, body: dict[str, Any]) -> dict[str, Any]:
        self.store.apply([self._parse_put(body)], [])
        return {}

    def _delete(self, body: dict[str, Any]) -> dict[str, Any]:
        return {"deleted": str(self.store.apply([], [_parse_range(body)]))}

    def _txn(self, body: dict[str, Any]) -> dict[str, Any]:
        is_satisfied = all(
            self._is_satisfied(item) for item in body.get("compare", [])
        )
        puts: list[tuple[bytes, bytes, int]] = []
        deletes: list[tuple[bytes, bytes]] = []
        reads: list[tuple[bytes, bytes]] = []
        kinds: list[str] = []
        for operation in body.get(
            "success" if is_satisfied else "failure", []
        ):
            (kind, value), *others = operation.items()
            if others:
                raise ServiceError(400, 3, "one request per operation")
            kinds.append(kind)
            if kind == "request_put":
                puts.append(self._parse_put(value))
            elif kind == "request_delete_range":
                deletes.append(_parse_range(value))
            elif kind == "request_range":
                reads.append(_parse_range(value))
            else:
                raise ServiceError(400, 3, f"unknown operation {kind}")
        self.store.apply(puts, deletes)
        header = _header(self.store.revision)
        responses: list[dict[str, Any]] = []
        for kind in kinds:
            response: dict[str, Any] = {"header": header}
            if kind == "request_range":
                found = self.store.read(*reads.pop(0))
                response["kvs"] = [_encode_entry(entry) for entry in found]
                response["count"] = str(len(found))
            responses.append({kind.replace("request", "response"): response})
        return {"succeeded": is_satisfied, "responses": responses}

    def _is_satisfied(self, item: dict[str, Any]) -> bool:
        target = str(item.get("target", "VERSION"))
        found = self.store.read(_decode(item.get("key")), b"")
        result = item.get("result", "EQUAL")
        if target == "VALUE":
            actual: Any = found[0].value if found else b""
            expected: Any = _decode(item.get("value"))
        else:
            name = _COMPARE_FIELDS[target]
            actual = getattr(found[0], name) if found else 0
            expected = int(item.get(name, 0))
        if result == "GREATER":
            return bool(actual > expected)
        if result == "LESS":
            return bool(actual < expected)
        return bool((actual == expected) == (result == "EQUAL"))

    def _grant(self, body: dict[str, Any]) -> dict[str, Any]:
        ttl_s = int(body["TTL"])
        lease_id = self.store.grant(ttl_s * 1_000)
        return {"ID": str(lease_id), "TTL": str(ttl_s)}

    def _keep_alive(self, body: dict[str, Any]) -> dict[str, Any]:
        remaining_ms = self.store.keep_alive(int(body["ID"]))
        return {"ID": str(body["ID"]), "TTL": str(remaining_ms // 1_000)}

    def _revoke(self, body: dict[str, Any]) -> dict[str, Any]:
        if not self.store.revoke(int(body["ID"])):
            raise ServiceError(404, 5, "requested lease not found")
        return {}

    def _parse_put(self, body: dict[str, Any]) -> tuple[bytes, bytes, int]:
        value = _decode(body.get("value"))
        lease_id = int(body.get("lease", 0))
        if len(value) > MAX_VALUE_BYTES:
            raise ServiceError(400, 3, "request is too large")
        if not self.store.has_lease(lease_id):
            raise ServiceError(404, 5, "requested lease not found")
        return _decode(body["key"]), value, lease_id

    def _on_watch(self, call: http_server.Call) -> None:
        self.call_counts["watch"] += 1
        if not self._reads.take():
            _send_error(call, ServiceError(429, 8, "too many requests"))
            return
        body = call.json()["create_request"]
        watcher = _Watcher(call, *_parse_range(body))
        call.start_stream(200, "application/json")
        revision = self.store.revision
        watcher.send_result(revision, {"created": True})
        start = int(body.get("start_revision", 0))
        if 0 < start <= self.store.compacted_revision:
            compacted = str(self.store.compacted_revision)
            watcher.send_result(
                revision, {"canceled": True, "compact_revision": compacted}
            )
            call.finish()
            return
        if start:
            watcher.send(revision, self.store.changes_since(start))
        self._watchers.append(watcher)
        call.add_close_callback(lambda: self._watchers.remove(watcher))
        if body.get("progress_notify"):
            self._send_progress(watcher)

    def _send_progress(self, watcher: _Watcher) -> None:
        if watcher.call.is_open:
            watcher.send_result(self.store.revision, {})
            self.clock.call_later(
                self._progress_ms, self._send_progress, watcher
            )

    def _on_changes(self, entries: list[key_value_store.Entry]) -> None:
        for watcher in list(self._watchers):
            watcher.send(self.store.revision, entries)

    def _on_counts(self, call: http_server.Call) -> None:
        open_watches = len(self._watchers)
        call.reply(200, {**self.call_counts, "open_watches": open_watches})


def _send_error(call: http_server.Call, error: ServiceError) -> None:
    body = {"error": error.message, "message": error.message}
    call.reply(error.http_status, {**body, "code": error.code})


def _parse_range(body: dict[str, Any]) -> tuple[bytes, bytes]:
    return _decode(body["key"]), _decode(body.get("range_end"))


def _decode(text: str | None) -> bytes:
    return base64.b64decode(text or "", validate=True)


def _encode(data: bytes) -> str:
    return base64.b64encode(data).decode("ascii")


def _header(revision: int) -> dict[str, str]:
    return {"cluster_id": "1", "member_id": "1", "revision": str(revision)}


def _encode_entry(entry: key_value_store.Entry) -> dict[str, str]:
    found = {
        "key": _encode(entry.key),
        "mod_revision": str(entry.mod_revision),
    }
    if entry.version:
        found["create_revision"] = str(entry.create_revision)
        found["version"] = str(entry.version)
        found["value"] = _encode(entry.value)
    if entry.lease_id:
        found["lease"] = str(entry.lease_id)
    return found


def main() -> None:
    """Run a key-value service until a signal arrives."""
    parser = command_line.build_parser("key-value service")
    parser.add_argument("--reads-per-second", type=float, default=2_000)
    parser.add_argument("--writes-per-second", type=float, default=300)
    parser.add_argument("--progress-ms", type=int, default=2_000)
    arguments = parser.parse_args()
    command_line.serve(
        arguments,
        lambda reactor: KeyValue(
            reactor,
            arguments.reads_per_second,
            arguments.writes_per_second,
            arguments.progress_ms,
        ),
    )


if __name__ == "__main__":
    main()
