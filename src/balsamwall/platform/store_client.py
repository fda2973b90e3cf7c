"""Client of the platform's metadata store, as a key-value service."""

from __future__ import annotations

import base64
import json
from typing import Any
from typing import TYPE_CHECKING
import urllib.parse

import eliot
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from balsamwall.infrastructure import key_value_service
from balsamwall.platform import store_documents
from balsamwall.platform import store_feed
from balsamwall.results import result_code

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from balsamwall.infrastructure import http_client
    from balsamwall.timing import clock as clock_module

_Code = result_code.ResultCode
# The store responds within some milliseconds, or a few hundred when slow.
CALL_TIMEOUT_MS = 1_500
# A renewal must time out before the lease can have expired.
RENEW_TIMEOUT_MS = 900
# HTTP statuses after which a write counts as not executed.
UNAVAILABLE_STATUSES = (429, 503)


class StoreClient:
    """Key-value service over HTTP; all watches share one feed.

    A write fails with PLATFORM_UNAVAILABLE if it had no effect, and with
    PLATFORM_OUTCOME_UNKNOWN if it may have had one. A failed read has the code
    PLATFORM_UNAVAILABLE.
    """

    __slots__ = ("_clock", "_http", "_url", "feed")

    def __init__(
        self,
        clock: clock_module.Clock,
        random_source: random.Random,
        http: http_client.HttpClient,
        address: str,
    ) -> None:
        self._clock = clock
        self._http = http
        self._url = f"http://{address}"
        self.feed = store_feed.StoreFeed(clock, random_source, self.request)

    def request(
        self,
        method: str,
        path: str,
        body: object,
        timeout_ms: int,
        callback: Callable[[http_client.HttpResponse], None],
    ) -> Callable[[], None]:
        """Send a request; return a function that cancels it."""
        raw = b"" if body is None else json.dumps(body).encode()
        headers = {"Content-Type": "application/json"} if raw else {}
        return self._http.call(
            method, self._url + path, headers, raw, timeout_ms, callback
        )

    def get(
        self,
        key: str,
        callback: Callable[[key_value_service.GetResult], None],
    ) -> None:
        """Read a key; the result is None if the key is absent."""

        def on_answer(answer: http_client.HttpResponse) -> None:
            if answer.status == 404:
                callback(Success(None))
                return
            document = store_documents.read_object(answer)
            items = None if document is None else _decode_items([document])
            if items is None:
                callback(Failure(_Code.PLATFORM_UNAVAILABLE))
            else:
                callback(Success(items[0]))

        query = urllib.parse.urlencode({"key": key})
        self.request(
            "GET", f"/kv-key?{query}", None, CALL_TIMEOUT_MS, on_answer
        )

    def get_prefix(
        self,
        prefix: str,
        callback: Callable[[key_value_service.ListResult], None],
    ) -> None:
        """Read all keys that start with a prefix, in key order."""
        self._read_pages(prefix, "", [], callback)

    def _read_pages(
        self,
        prefix: str,
        after: str,
        found: list[key_value_service.KeyValue],
        callback: Callable[[key_value_service.ListResult], None],
    ) -> None:
        query = {"path_prefix": prefix}
        if after:
            query["after"] = after

        def on_answer(answer: http_client.HttpResponse) -> None:
            document = store_documents.read_object(answer)
            items = (
                None
                if document is None
                else _decode_items(document.get("items", []))
            )
            if document is None or items is None:
                callback(Failure(_Code.PLATFORM_UNAVAILABLE))
                return
            found.extend(items)
            if document.get("truncated") and items:
                self._read_pages(prefix, items[-1].key, found, callback)
            else:
                callback(Success(tuple(found)))

        path = f"/kv-range?{urllib.parse.urlencode(query)}"
        self.request("GET", path, None, CALL_TIMEOUT_MS, on_answer)

    def put(
        self,
        key: str,
        value: bytes,
        callback: Callable[[key_value_service.RevisionResult], None],
        lease_id: int = 0,
    ) -> None:
        """Write a key unconditionally; the result is the new revision."""
        self._transact([], [_encode_write(key, value, lease_id)], [], callback)

    def compare_and_swap(
        self,
        key: str,
        expected_revision: int,
        value: bytes,
        callback: Callable[[key_value_service.RevisionResult], None],
        lease_id: int = 0,
    ) -> None:
        """Write a key if its revision matches, where 0 means absent.

        Otherwise the result is COMPARE_FAILED.
        """
        condition = {"key": key, "revision": expected_revision}
        writes = [_encode_write(key, value, lease_id)]
        self._transact([condition], writes, [], callback)

    def delete(
        self,
        key: str,
        callback: Callable[[key_value_service.RevisionResult], None],
        expected_revision: int = 0,
    ) -> None:
        """Delete a key; a non-zero revision must match.

        If it does not match, the result is COMPARE_FAILED.
        """
        conditions = []
        if expected_revision:
            conditions.append({"key": key, "revision": expected_revision})
        self._transact(conditions, [], [key], callback)

    def lease(
        self,
        ttl_ms: int,
        callback: Callable[[key_value_service.LeaseResult], None],
    ) -> None:
        """Grant a lease; the result is its identifier."""
        self._lease_call(
            "POST", "/kv-lease", {"ttl_ms": ttl_ms}, "lease", callback
        )

    def keep_alive(
        self,
        lease_id: int,
        callback: Callable[[key_value_service.LeaseResult], None],
    ) -> None:
        """Renew a lease; the result is its TTL in ms.

        It is COMPARE_FAILED if the lease has expired.
        """
        path = f"/kv-keep/{lease_id}"
        self._lease_call(
            "POST", path, None, "ttl_ms", callback, RENEW_TIMEOUT_MS
        )

    def revoke(
        self,
        lease_id: int,
        callback: Callable[[key_value_service.LeaseResult], None],
    ) -> None:
        """Revoke a lease, which deletes its keys."""
        path = f"/kv-lease-end/{lease_id}"
        self._lease_call("DELETE", path, None, "", callback)

    def watch(
        self,
        key: str,
        on_change: Callable[[key_value_service.KeyValue], None],
        is_prefix: bool = False,
    ) -> key_value_service.Watch:
        """Deliver the current values, then each newer one."""
        return self.feed.add(key, on_change, is_prefix)

    def _transact(
        self,
        conditions: list[dict[str, Any]],
        writes: list[dict[str, Any]],
        removed: list[str],
        callback: Callable[[key_value_service.RevisionResult], None],
    ) -> None:
        def on_answer(answer: http_client.HttpResponse) -> None:
            if answer.status in (404, 412):
                callback(Failure(_Code.COMPARE_FAILED))
            else:
                callback(_integer_result(answer, "revision"))

        body = {
            "precondition": conditions,
            "writes": writes,
            "remove": removed,
        }
        self.request("POST", "/kv-txn", body, CALL_TIMEOUT_MS, on_answer)

    def _lease_call(
        self,
        method: str,
        path: str,
        body: object,
        field: str,
        callback: Callable[[key_value_service.LeaseResult], None],
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> None:
        def on_answer(answer: http_client.HttpResponse) -> None:
            if answer.status == 404:
                callback(Failure(_Code.COMPARE_FAILED))
                return
            if answer.status == 200 and not field:
                callback(Success(0))
            else:
                callback(_integer_result(answer, field))

        self.request(method, path, body, timeout_ms, on_answer)


def _decode_items(
    raw_items: list[Any],
) -> list[key_value_service.KeyValue] | None:
    """Decode the items of a response; return None if one is invalid."""
    try:
        return [store_documents.decode_item(row) for row in raw_items]
    except (AttributeError, TypeError, ValueError) as error:
        eliot.log_message("store_answer_unreadable", reason=str(error)[:200])
        return None


def _encode_write(key: str, value: bytes, lease_id: int) -> dict[str, Any]:
    encoded = base64.b64encode(value).decode()
    return {"key": key, "value": encoded, "lease": lease_id}


def _integer_result(
    answer: http_client.HttpResponse, field: str
) -> Result[int, result_code.ResultCode]:
    """Return an integer field of a response, or the failure of the call."""
    document = store_documents.read_object(answer)
    if document is None:
        return Failure(_write_failure(answer))
    number = document.get(field)
    if type(number) is not int:
        eliot.log_message(
            "store_answer_unreadable",
            reason=f"{field}: expected an integer, found {number!r}",
        )
        return Failure(_Code.PLATFORM_OUTCOME_UNKNOWN)
    return Success(number)


def _write_failure(answer: http_client.HttpResponse) -> _Code:
    """Return the code that states whether a write may have taken effect."""
    if not answer.was_sent or answer.status in UNAVAILABLE_STATUSES:
        return _Code.PLATFORM_UNAVAILABLE
    return _Code.PLATFORM_OUTCOME_UNKNOWN
