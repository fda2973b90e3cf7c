"""Client of the key-value service over the JSON gateway of etcd v3."""

from __future__ import annotations

import base64
import json
from typing import Any
from typing import TYPE_CHECKING

from returns.result import Failure
from returns.result import Success

from balsamwall.infrastructure import etcd_watch
from balsamwall.infrastructure import http_client
from balsamwall.infrastructure import key_value_service
from balsamwall.results import result_code

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from balsamwall.timing import clock as clock_module

CALL_TIMEOUT_MS = 2_000
_UNAVAILABLE = result_code.ResultCode.PLATFORM_UNAVAILABLE
_UNKNOWN = result_code.ResultCode.PLATFORM_OUTCOME_UNKNOWN
_COMPARE_FAILED = result_code.ResultCode.COMPARE_FAILED
_TOO_LARGE = result_code.ResultCode.BODY_TOO_LARGE


class EtcdClient:
    """Implement KeyValueService over HTTP.

    All base URLs lead to the same service. After a call without a response
    the next call uses another URL; the failed call itself is not retried.
    """

    __slots__ = (
        "_base_urls",
        "_client",
        "_clock",
        "_current_index",
        "_timeout_ms",
        "calls",
    )

    def __init__(
        self,
        reactor: Any,
        clock: clock_module.Clock,
        base_urls: str | Sequence[str],
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> None:
        if isinstance(base_urls, str):
            base_urls = (base_urls,)
        self._base_urls = [url.rstrip("/") for url in base_urls]
        self._current_index = 0
        self._client = http_client.HttpClient(reactor, clock)
        self._clock = clock
        self._timeout_ms = timeout_ms
        self.calls = 0

    @property
    def _base_url(self) -> str:
        return self._base_urls[self._current_index]

    def get(
        self,
        key: str,
        callback: Callable[[key_value_service.GetResult], None],
    ) -> None:
        """Read a key; call back with None if it is absent."""

        def on_list(result: key_value_service.ListResult) -> None:
            callback(result.map(lambda found: found[0] if found else None))

        self._read({"key": encode_key(key)}, on_list)

    def get_prefix(
        self,
        prefix: str,
        callback: Callable[[key_value_service.ListResult], None],
    ) -> None:
        """Read all keys that start with a prefix, sorted by key."""
        self._read(key_range(prefix, True), callback)

    def put(
        self,
        key: str,
        value: bytes,
        callback: Callable[[key_value_service.RevisionResult], None],
        lease_id: int = 0,
    ) -> None:
        """Write a key unconditionally; call back with the new revision."""
        if len(value) > key_value_service.MAX_VALUE_BYTES:
            callback(Failure(_TOO_LARGE))
            return
        body = _put_body(key, value, lease_id)
        self._write("/v3/kv/put", body, callback, _parse_revision)

    def compare_and_swap(
        self,
        key: str,
        expected_revision: int,
        value: bytes,
        callback: Callable[[key_value_service.RevisionResult], None],
        lease_id: int = 0,
    ) -> None:
        """Write a key if its revision matches; 0 means an absent key."""
        if len(value) > key_value_service.MAX_VALUE_BYTES:
            callback(Failure(_TOO_LARGE))
            return
        put = {"request_put": _put_body(key, value, lease_id)}
        body = _transaction_body(key, expected_revision, put)
        self._write("/v3/kv/txn", body, callback, _parse_txn_revision)

    def delete(
        self,
        key: str,
        callback: Callable[[key_value_service.RevisionResult], None],
        expected_revision: int = 0,
    ) -> None:
        """Delete a key, only at the expected revision if that is not 0."""
        deletion = {"key": encode_key(key)}
        if not expected_revision:
            path = "/v3/kv/deleterange"
            self._write(path, deletion, callback, _parse_revision)
            return
        body = _transaction_body(
            key, expected_revision, {"request_delete_range": deletion}
        )
        self._write("/v3/kv/txn", body, callback, _parse_txn_revision)

    def lease(
        self,
        ttl_ms: int,
        callback: Callable[[key_value_service.LeaseResult], None],
    ) -> None:
        """Grant a lease; call back with its identifier."""
        ttl_s = max(1, (ttl_ms + 999) // 1_000)
        body = {"TTL": str(ttl_s)}
        self._write("/v3/lease/grant", body, callback, _parse_lease_id)

    def keep_alive(
        self,
        lease_id: int,
        callback: Callable[[key_value_service.LeaseResult], None],
    ) -> None:
        """Renew a lease; call back with its remaining time in ms."""
        body = {"ID": str(lease_id)}
        self._write("/v3/lease/keepalive", body, callback, _parse_ttl_ms)

    def revoke(
        self,
        lease_id: int,
        callback: Callable[[key_value_service.LeaseResult], None],
    ) -> None:
        """Revoke a lease and its keys; succeed if it has already expired."""
        body = {"ID": str(lease_id)}
        self._write(
            "/v3/lease/revoke",
            body,
            callback,
            lambda _: Success(lease_id),
            absent=Success(lease_id),
        )

    def watch(
        self,
        key: str,
        on_change: Callable[[key_value_service.KeyValue], None],
        is_prefix: bool = False,
    ) -> key_value_service.Watch:
        """Deliver the current value, then every newer one."""

        def read(
            callback: Callable[[etcd_watch.SnapshotResult], None],
        ) -> Callable[[], None]:
            return self._snapshot(key_range(key, is_prefix), callback)

        def open_stream(
            revision: int, receiver: http_client.Receiver
        ) -> Callable[[], None]:
            self.calls += 1
            request: dict[str, Any] = key_range(key, is_prefix)
            request["start_revision"] = str(revision)
            request["progress_notify"] = True
            exchange = self._client.stream(
                "POST",
                f"{self._base_url}/v3/watch",
                {},
                json.dumps({"create_request": request}).encode(),
                receiver,
            )
            return exchange.abort

        found = etcd_watch.EtcdWatch(self._clock, read, open_stream, on_change)
        found.start()
        return found

    def _post(
        self,
        path: str,
        body: dict[str, Any],
        callback: Callable[[http_client.HttpResponse], None],
    ) -> Callable[[], None]:
        self.calls += 1
        index = self._current_index

        def on_response(response: http_client.HttpResponse) -> None:
            if response.status == 0 and self._current_index == index:
                self._current_index = (index + 1) % len(self._base_urls)
            callback(response)

        return self._client.call(
            "POST",
            f"{self._base_url}{path}",
            {"content-type": "application/json"},
            json.dumps(body).encode(),
            self._timeout_ms,
            on_response,
        )

    def _read(
        self,
        body: dict[str, str],
        callback: Callable[[key_value_service.ListResult], None],
    ) -> None:
        def on_snapshot(result: etcd_watch.SnapshotResult) -> None:
            callback(result.map(lambda found: found[1]))

        self._snapshot(body, on_snapshot)

    def _snapshot(
        self,
        body: dict[str, str],
        callback: Callable[[etcd_watch.SnapshotResult], None],
    ) -> Callable[[], None]:
        def on_response(response: http_client.HttpResponse) -> None:
            result: etcd_watch.SnapshotResult = Failure(_UNAVAILABLE)
            if response.status == 200:
                try:
                    result = Success(
                        _parse_snapshot(json.loads(response.body))
                    )
                except (AttributeError, KeyError, TypeError, ValueError):
                    result = Failure(_UNAVAILABLE)
            callback(result)

        return self._post("/v3/kv/range", body, on_response)

    def _write(
        self,
        path: str,
        body: dict[str, Any],
        callback: Callable[[key_value_service.RevisionResult], None],
        parse: Callable[[Any], key_value_service.RevisionResult],
        absent: key_value_service.RevisionResult | None = None,
    ) -> None:
        def on_response(response: http_client.HttpResponse) -> None:
            callback(_parse_write_response(response, parse, absent))

        self._post(path, body, on_response)


def _parse_write_response(
    response: http_client.HttpResponse,
    parse: Callable[[Any], key_value_service.RevisionResult],
    absent: key_value_service.RevisionResult | None,
) -> key_value_service.RevisionResult:
    if response.status == 200:
        try:
            return parse(json.loads(response.body))
        except (AttributeError, KeyError, TypeError, ValueError):
            return Failure(_UNKNOWN)
    if not response.was_sent:
        return Failure(_UNAVAILABLE)
    if response.status == 404 and b"lease not found" in response.body:
        return absent if absent is not None else Failure(_COMPARE_FAILED)
    # The service checks rate limits and arguments before it applies a write,
    # so a 4xx response proves that the write had no effect. A 5xx response
    # may follow a write that was applied.
    if 400 <= response.status < 500:
        return Failure(_UNAVAILABLE)
    return Failure(_UNKNOWN)


def encode_key(text: str) -> str:
    """Return a key in base64, as the API expects it."""
    return base64.b64encode(text.encode()).decode("ascii")


def key_range(key: str, is_prefix: bool) -> dict[str, str]:
    """Return the request fields that select a key or a prefix."""
    found = {"key": encode_key(key)}
    if is_prefix:
        raw = key.encode()
        end = raw[:-1] + bytes([raw[-1] + 1]) if raw else b"\0"
        found["range_end"] = base64.b64encode(end).decode("ascii")
        if not raw:
            found["key"] = base64.b64encode(b"\0").decode("ascii")
    return found


def _put_body(key: str, value: bytes, lease_id: int) -> dict[str, str]:
    body = {
        "key": encode_key(key),
        "value": base64.b64encode(value).decode("ascii"),
    }
    if lease_id:
        body["lease"] = str(lease_id)
    return body


def _transaction_body(
    key: str, expected_revision: int, operation: dict[str, Any]
) -> dict[str, Any]:
    compare = {
        "key": encode_key(key),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(expected_revision),
    }
    return {"compare": [compare], "success": [operation], "failure": []}


def _parse_snapshot(
    body: dict[str, Any],
) -> tuple[int, tuple[key_value_service.KeyValue, ...]]:
    items = [etcd_watch.parse_kv(item) for item in body.get("kvs", [])]
    return int(body["header"]["revision"]), tuple(items)


def _parse_revision(body: dict[str, Any]) -> key_value_service.RevisionResult:
    return Success(int(body["header"]["revision"]))


def _parse_txn_revision(
    body: dict[str, Any],
) -> key_value_service.RevisionResult:
    if not body.get("succeeded", False):
        return Failure(_COMPARE_FAILED)
    return _parse_revision(body)


def _parse_lease_id(body: dict[str, Any]) -> key_value_service.LeaseResult:
    return Success(int(body["ID"]))


def _parse_ttl_ms(body: dict[str, Any]) -> key_value_service.LeaseResult:
    remaining_ms = int(body["result"].get("TTL", 0)) * 1_000
    return (
        Success(remaining_ms) if remaining_ms > 0 else Failure(_COMPARE_FAILED)
    )
