"""Tests of the documents of the platform's store."""

from __future__ import annotations

import json
import unittest

from balsamwall.platform import documents

SERVER = {
    "service": "app",
    "address": "10.0.0.1:80",
    "zone": "z1",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 0,
    "seq": 4,
}
ROUTE = {
    "name": "r",
    "host": "h",
    "path_prefix": "/a/",
    "kind": "streaming",
    "timeout_ms": 1_000,
    "service": "app",
}


class ServerTest(unittest.TestCase):
    """A record that can't be read names no server to use."""

    def read(self, **changes):
        rows = {**SERVER, **changes}
        rows = {name: value for name, value in rows.items() if value != ...}
        return documents.decode_server("i-1", json.dumps(rows).encode())

    def test_whole_record(self):
        """Guards against fields that are mistaken for one another."""
        models = [{"name": "m1", "version": 1, "adapters": ["a1"]}]
        record = self.read(models=models, born=123, remaining_ms=900)
        self.assertEqual((record.host, record.port), ("10.0.0.1", 80))
        self.assertEqual(record.models, {"m1": frozenset(["a1"])})
        self.assertEqual(record.started_ms, 123)
        self.assertEqual(record.remaining_ms, 900)

    def test_draining(self):
        """Guards against new requests to a server that leaves."""
        self.assertTrue(self.read(state="draining").is_draining)

    def test_unusable_records(self):
        """Guards against records of other writers."""
        cases = [
            {"address": ...},
            {"address": "10.0.0.1"},
            {"address": "10.0.0.1:99999"},
            {"state": "paused"},
            {"slots": "8"},
            {"zone": 3},
            {"born": "yesterday"},
            {"models": [3]},
            {"models": {"m1": 1}},
        ]
        for changes in cases:
            with self.subTest(changes=changes):
                with self.assertRaises(documents.DocumentError):
                    self.read(**changes)

    def test_bytes_that_are_no_document(self):
        """Guards against a process that ends on bad bytes."""
        for raw in (b"", b"\xff\xfe", b"[]", b"3", b"{", b"[" * 100_000):
            with self.subTest(raw=raw[:10]):
                with self.assertRaises(documents.DocumentError):
                    documents.decode_server("i-1", raw)


class ConfigurationTest(unittest.TestCase):
    """A configuration that can't be read leaves the last one in force."""

    def read(self, **changes):
        rows = {"version": 3, "routes": [ROUTE], "services": [], **changes}
        return documents.decode_configuration(json.dumps(rows).encode())

    def test_split_route(self):
        """Guards against a service that gets no share."""
        parts = [
            {"service": "a", "weight": 90},
            {"service": "b", "weight": 10},
        ]
        split = {**ROUTE, "split": parts}
        del split["service"]
        route = self.read(routes=[split]).find_route("h", "/a/x")
        weights = [(item.service, item.weight) for item in route.destinations]
        self.assertEqual(weights, [("a", 90.0), ("b", 10.0)])

    def test_unreadable_configurations(self):
        """Guards against a configuration that is taken by half."""
        for changes in (
            {"version": "3"},
            {"routes": {}},
            {"routes": [{**ROUTE, "kind": "other"}]},
            {"routes": [{**ROUTE, "timeout_ms": None}]},
        ):
            with self.subTest(changes=changes):
                with self.assertRaises(documents.DocumentError):
                    self.read(**changes)
