"""Tests of the decoding of documents in the platform's store."""

from __future__ import annotations

import json
import unittest

from balsamwall.platform import documents
from balsamwall.platform import json_fields

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
    """An invalid server record is rejected as a whole."""

    def read(self, **changes):
        rows = {**SERVER, **changes}
        rows = {name: value for name, value in rows.items() if value != ...}
        return documents.decode_server("i-1", json.dumps(rows).encode())

    def test_complete_record(self):
        """Guards against fields that are mapped to the wrong attribute."""
        models = [{"name": "m1", "version": 1, "adapters": ["a1"]}]
        record = self.read(models=models, born=123, remaining_ms=900)
        self.assertEqual((record.host, record.port), ("10.0.0.1", 80))
        self.assertEqual(record.models, {"m1": frozenset(["a1"])})
        self.assertEqual(record.started_ms, 123)
        self.assertEqual(record.remaining_ms, 900)

    def test_software_version(self):
        """Guards against two versions that look the same."""
        found = {
            self.read(version=version).software_version
            for version in (
                ...,
                "v1",
                "v1.1",
                1,
                2.5,
                {"a": 1},
                None,
                "\ud800",
            )
        }
        self.assertEqual(len(found), 8)
        self.assertTrue(all(version.isascii() for version in found))
        self.assertIn("", found)

    def test_draining(self):
        """Guards against new requests to a draining server."""
        self.assertTrue(self.read(state="draining").is_draining)

    def test_invalid_records(self):
        """Guards against partly decoded records of other versions."""
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
                with self.assertRaises(json_fields.DocumentError):
                    self.read(**changes)

    def test_bytes_that_are_no_json_object(self):
        """Guards against an uncaught error on corrupt data."""
        for raw in (b"", b"\xff\xfe", b"[]", b"3", b"{", b"[" * 100_000):
            with self.subTest(raw=raw[:10]):
                with self.assertRaises(json_fields.DocumentError):
                    documents.decode_server("i-1", raw)


class ConfigurationTest(unittest.TestCase):
    """An invalid configuration is rejected as a whole."""

    def read(self, **changes):
        rows = {"version": 3, "routes": [ROUTE], "services": [], **changes}
        return documents.decode_configuration(json.dumps(rows).encode())

    def test_split_route(self):
        """Guards against a service that gets no share of the requests."""
        parts = [
            {"service": "a", "weight": 90},
            {"service": "b", "weight": 10},
        ]
        split = {**ROUTE, "split": parts}
        del split["service"]
        route = self.read(routes=[split]).find_route("h", "/a/x")
        weights = [(item.service, item.weight) for item in route.destinations]
        self.assertEqual(weights, [("a", 90.0), ("b", 10.0)])

    def test_invalid_configurations(self):
        """Guards against a configuration that is applied in part."""
        for changes in (
            {"version": "3"},
            {"routes": {}},
            {"routes": [{**ROUTE, "kind": "other"}]},
            {"routes": [{**ROUTE, "timeout_ms": None}]},
        ):
            with self.subTest(changes=changes):
                with self.assertRaises(json_fields.DocumentError):
                    self.read(**changes)
