"""Tests of the client of the platform's store."""

from __future__ import annotations

import base64
import json
import random
import unittest

from returns.result import Failure
from returns.result import Success

from balsamwall.infrastructure import http_client
from balsamwall.platform import store_client
from balsamwall.results import result_code
from balsamwall.timing import virtual_clock

_Code = result_code.ResultCode


def item(key, value=b"1", revision=5):
    encoded = base64.b64encode(value).decode()
    return {"key": key, "value": encoded, "revision": revision}


class ScriptedHttp:
    """HTTP client that returns prepared responses."""

    def __init__(self):
        self.answers = []
        self.calls = []

    def call(self, method, url, headers, body, timeout_ms, callback):
        self.calls.append((method, url, json.loads(body or b"null")))
        status, rows, was_sent = self.answers.pop(0)
        body = json.dumps(rows).encode()
        callback(http_client.HttpResponse(status, {}, body, was_sent, ""))
        return lambda: None


class StoreClientTest(unittest.TestCase):
    """Results distinguish failed writes from unknown outcomes."""

    def setUp(self):
        self.http = ScriptedHttp()
        self.store = store_client.StoreClient(
            virtual_clock.VirtualClock(), random.Random(1), self.http, "h:1"
        )
        self.results = []

    def answer(self, status, rows=None, was_sent=True):
        self.http.answers.append((status, rows or {}, was_sent))

    def test_conditional_write(self):
        """Guards against a write that omits its precondition."""
        self.answer(200, {"revision": 9})
        self.store.compare_and_swap("k", 0, b"v", self.results.append, 3)
        self.assertEqual(self.results, [Success(9)])
        body = self.http.calls[0][2]
        self.assertEqual(body["precondition"], [{"key": "k", "revision": 0}])
        self.assertEqual(body["writes"][0]["lease"], 3)

    def test_write_outcomes(self):
        """Guards against reporting an unknown outcome as a failure."""
        for status, was_sent, code in (
            (412, True, _Code.COMPARE_FAILED),
            (404, True, _Code.COMPARE_FAILED),
            (503, True, _Code.PLATFORM_UNAVAILABLE),
            (429, True, _Code.PLATFORM_UNAVAILABLE),
            (0, False, _Code.PLATFORM_UNAVAILABLE),
            (0, True, _Code.PLATFORM_OUTCOME_UNKNOWN),
            (500, True, _Code.PLATFORM_OUTCOME_UNKNOWN),
        ):
            with self.subTest(status=status, was_sent=was_sent):
                self.results.clear()
                self.answer(status, was_sent=was_sent)
                self.store.compare_and_swap("k", 0, b"v", self.results.append)
                self.assertEqual(self.results, [Failure(code)])

    def test_expired_lease(self):
        """Guards against renewing a lease that no longer exists."""
        self.answer(404)
        self.store.keep_alive(7, self.results.append)
        self.assertEqual(self.results, [Failure(_Code.COMPARE_FAILED)])

    def test_success_without_an_integer_is_an_unknown_outcome(self):
        """Guards against a missing lease or revision that is read as 0."""
        unknown = Failure(_Code.PLATFORM_OUTCOME_UNKNOWN)
        for rows in ({}, {"revision": "9", "lease": None}):
            self.results.clear()
            self.answer(200, rows)
            self.store.compare_and_swap("k", 0, b"v", self.results.append)
            self.answer(200, rows)
            self.store.lease(3_000, self.results.append)
            self.assertEqual(self.results, [unknown, unknown])

    def test_prefix_is_read_in_pages(self):
        """Guards against missing the keys beyond the first page."""
        self.answer(200, {"items": [item("a")], "truncated": True})
        self.answer(200, {"items": [item("b")], "truncated": False})
        self.store.get_prefix("", self.results.append)
        keys = [row.key for row in self.results[0].unwrap()]
        self.assertEqual(keys, ["a", "b"])

    def test_invalid_items_are_a_failure(self):
        """Guards against an exception instead of a failure result."""
        for rows in ({"items": [3]}, {"items": [{"key": "a"}]}):
            self.results.clear()
            self.answer(200, rows)
            self.store.get_prefix("", self.results.append)
            self.assertEqual(
                self.results, [Failure(_Code.PLATFORM_UNAVAILABLE)]
            )
