"""Client of the platform's metadata store, as a key-value service."""

from __future__ import annotations

import base64
import dataclasses
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
from balsamwall.platform import store_revision
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
# A process holds two leases at most; older ones have expired.
MAX_KNOWN_LEASES = 100
# HTTP statuses after which a write counts as not executed.
UNAVAILABLE_STATUSES = (429, 503)


class StoreClient:
    """Key-value service over HTTP; all watches share one feed.

    A write fails with PLATFORM_UNAVAILABLE if it had no effect, and with
    PLATFORM_OUTCOME_UNKNOWN if it may have had one. A failed read has the code
    PLATFORM_UNAVAILABLE. Revisions are ordered across the eras of the store,
    and leases end with their era: the store may have forgotten a lease, and
    given its identifier out again.
    """

    __slots__ = ("_clock", "_http", "_lease_eras", "_url", "feed")

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
        # Era in which each known lease was granted, by its identifier.
        self._lease_eras: dict[int, int] = {}
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

    def _call(
        self,
        method: str,
        path: str,
        body: object,
        callback: Callable[[http_client.HttpResponse, int], None],
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> None:
        """Send a request, and call back with the response and its era."""

        def on_answer(answer: http_client.HttpResponse) -> None:
            era = store_revision.read_era(answer)
            if era is None:
                era = self.feed.era
            self.feed.on_era(era)
            callback(answer, era)

        self.request(method, path, body, timeout_ms, on_answer)

    def get(
        self,
        key: str,
        callback: Callable[[key_value_service.GetResult], None],
    ) -> None:
        """Read a key; the result is None if the key is absent."""

        def on_answer(answer: http_client.HttpResponse, era: int) -> None:
            if answer.status == 404:
                callback(Success(None))
                return
            document = store_documents.read_object(answer)
            items = (
                None if document is None else _decode_items([document], era)
            )
            if items is None:
                callback(Failure(_Code.PLATFORM_UNAVAILABLE))
            else:
                callback(Success(items[0]))

        query = urllib.parse.urlencode({"key": key})
        self._call("GET", f"/kv-key?{query}", None, on_answer)

    def get_prefix(
        self,
        prefix: str,
        callback: Callable[[key_value_service.ListResult], None],
    ) -> None:
        """Read all keys that start with a prefix, in key order."""
        self._read_pages(prefix, "", None, [], callback)

    def _read_pages(
        self,
        prefix: str,
        after: str,
        first_era: int | None,
        found: list[key_value_service.KeyValue],
        callback: Callable[[key_value_service.ListResult], None],
    ) -> None:
        query = {"path_prefix": prefix}
        if after:
            query["after"] = after

        def on_answer(answer: http_client.HttpResponse, era: int) -> None:
            document = store_documents.read_object(answer)
            items = (
                None
                if document is None
                else _decode_items(document.get("items", []), era)
            )
            is_same_era = first_era is None or era == first_era
            if document is None or items is None or not is_same_era:
                callback(Failure(_Code.PLATFORM_UNAVAILABLE))
                return
            found.extend(items)
            if document.get("truncated") and items:
                self._read_pages(prefix, items[-1].key, era, found, callback)
            else:
                callback(Success(tuple(found)))

        path = f"/kv-range?{urllib.parse.urlencode(query)}"
        self._call("GET", path, None, on_answer)

    def put(
        self,
        key: str,
        value: bytes,
        callback: Callable[[key_value_service.RevisionResult], None],
        lease_id: int = 0,
    ) -> None:
        """Write a key unconditionally; the result is the new revision."""
        self._transact(
            None, [_encode_write(key, value, lease_id)], [], callback, lease_id
        )

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
        self._transact(
            _Condition(key, expected_revision),
            [_encode_write(key, value, lease_id)],
            [],
            callback,
            lease_id,
        )

    def delete(
        self,
        key: str,
        callback: Callable[[key_value_service.RevisionResult], None],
        expected_revision: int = 0,
    ) -> None:
        """Delete a key; a non-zero revision must match.

        If it does not match, the result is COMPARE_FAILED.
        """
        condition = None
        if expected_revision:
            condition = _Condition(key, expected_revision)
        self._transact(condition, [], [key], callback)

    def lease(
        self,
        ttl_ms: int,
        callback: Callable[[key_value_service.LeaseResult], None],
    ) -> None:
        """Grant a lease; the result is its identifier."""

        def on_answer(answer: http_client.HttpResponse, era: int) -> None:
            result = _lease_result(answer, "lease")
            if isinstance(result, Success):
                self._record_lease(result.unwrap(), era)
            callback(result)

        self._call("POST", "/kv-lease", {"ttl_ms": ttl_ms}, on_answer)

    def keep_alive(
        self,
        lease_id: int,
        callback: Callable[[key_value_service.LeaseResult], None],
    ) -> None:
        """Renew a lease; the result is its TTL in ms.

        It is COMPARE_FAILED if the lease has expired.
        """

        def on_answer(answer: http_client.HttpResponse, era: int) -> None:
            if self._has_lease_ended(lease_id):
                # Another process may hold the renewed lease.
                callback(Failure(_Code.COMPARE_FAILED))
            else:
                callback(_lease_result(answer, "ttl_ms"))

        if self._has_lease_ended(lease_id):
            callback(Failure(_Code.COMPARE_FAILED))
            return
        path = f"/kv-keep/{lease_id}"
        self._call("POST", path, None, on_answer, RENEW_TIMEOUT_MS)

    def revoke(
        self,
        lease_id: int,
        callback: Callable[[key_value_service.LeaseResult], None],
    ) -> None:
        """Revoke a lease, which deletes its keys."""

        def on_answer(answer: http_client.HttpResponse, era: int) -> None:
            callback(_lease_result(answer, ""))

        has_ended = self._has_lease_ended(lease_id)
        self._lease_eras.pop(lease_id, None)
        if has_ended:
            callback(Failure(_Code.COMPARE_FAILED))
            return
        self._call("DELETE", f"/kv-lease-end/{lease_id}", None, on_answer)

    def _record_lease(self, lease_id: int, era: int) -> None:
        """Record the era of a lease, which may end without a revocation."""
        self._lease_eras[lease_id] = era
        if len(self._lease_eras) > MAX_KNOWN_LEASES:
            del self._lease_eras[next(iter(self._lease_eras))]

    def _has_lease_ended(self, lease_id: int) -> bool:
        """Return whether the store was restored since a lease was granted."""
        return self._lease_eras.get(lease_id, self.feed.era) < self.feed.era

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
        condition: _Condition | None,
        writes: list[dict[str, Any]],
        removed: list[str],
        callback: Callable[[key_value_service.RevisionResult], None],
        lease_id: int = 0,
    ) -> None:
        """Write and delete keys in one call, if the condition holds.

        It does not hold in another era of the store, where the same revision
        stands for something else.
        """

        def on_answer(answer: http_client.HttpResponse, era: int) -> None:
            is_lost = bool(lease_id) and self._has_lease_ended(lease_id)
            if answer.status in (404, 412) or is_lost:
                callback(Failure(_Code.COMPARE_FAILED))
                return
            callback(
                _integer_result(answer, "revision").bind(
                    lambda number: _ordered(era, number)
                )
            )

        is_outdated = condition is not None and (
            condition.is_of_earlier_era(self.feed.era)
        )
        if is_outdated or (lease_id and self._has_lease_ended(lease_id)):
            callback(Failure(_Code.COMPARE_FAILED))
            return
        body = {
            "precondition": [] if condition is None else [condition.fields],
            "writes": writes,
            "remove": removed,
        }
        self._call("POST", "/kv-txn", body, on_answer)


@dataclasses.dataclass(slots=True, frozen=True)
class _Condition:
    """Revision that a key must have for a write, 0 if it must be absent."""

    key: str
    revision: int

    def is_of_earlier_era(self, era: int) -> bool:
        """Return whether the store was restored since the revision."""
        expected = store_revision.of_ordered(self.revision)
        return bool(expected.number) and expected.era < era

    @property
    def fields(self) -> dict[str, Any]:
        """Return the condition as the store reads it."""
        number = store_revision.of_ordered(self.revision).number
        return {"key": self.key, "revision": number}


def _ordered(era: int, number: int) -> Result[int, result_code.ResultCode]:
    """Return the ordered revision of a write, if the number is one."""
    if not store_revision.is_revision(number):
        return Failure(_Code.PLATFORM_OUTCOME_UNKNOWN)
    return Success(store_revision.StoreRevision(era, number).ordered)


def _lease_result(
    answer: http_client.HttpResponse, field: str
) -> Result[int, result_code.ResultCode]:
    """Return an integer field of a response about a lease, 0 without one."""
    if answer.status == 404:
        return Failure(_Code.COMPARE_FAILED)
    if answer.status == 200 and not field:
        return Success(0)
    return _integer_result(answer, field)


def _decode_items(
    raw_items: list[Any], era: int
) -> list[key_value_service.KeyValue] | None:
    """Decode the items of a response; return None if one is invalid."""
    try:
        return [store_documents.decode_item(row, era) for row in raw_items]
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
