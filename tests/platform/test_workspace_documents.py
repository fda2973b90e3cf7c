"""Tests of the decoding of workspaces in the configuration document."""

from __future__ import annotations

import json
import unittest

from balsamwall.platform import documents
from balsamwall.platform import json_fields

KEY = "k-secret-1"
ROUTE = {
    "name": "r",
    "host": "h",
    "path_prefix": "/a/",
    "kind": "streaming",
    "timeout_ms": 1_000,
    "service": "app",
    "public": True,
}
ABSENT = object()


def row(**changes):
    values = {"name": "t1", "api_keys": [KEY], **changes}
    return {key: item for key, item in values.items() if item is not ABSENT}


def decode(*rows, **changes):
    fields = {"version": 1, "routes": [ROUTE], "services": [], **changes}
    if rows:
        fields["tenants"] = list(rows)
    return documents.decode_configuration(json.dumps(fields).encode())


class WorkspaceDocumentTest(unittest.TestCase):
    """An invalid workspace rejects the whole version and names no key."""

    def test_complete_workspace(self):
        """Guards against fields that are mapped to the wrong attribute."""
        found = decode(
            row(
                priority=2,
                unit="tokens",
                plain_tokens=90,
                rate_per_s=5,
                burst=7.5,
            ),
            row(name="t2", api_keys=["k2", "", "k2"], rate_per_s=0, burst=3),
        )
        first = found.workspaces.find(KEY.encode())
        self.assertEqual((first.name, first.priority), ("t1", 2))
        quota = first.quota
        self.assertEqual((quota.rate_per_s, quota.burst), (5.0, 7.5))
        self.assertEqual(
            (quota.unit.value, quota.plain_tokens), ("tokens", 90)
        )
        second = found.workspaces.get("t2")
        self.assertEqual((second.priority, second.quota), (None, None))
        self.assertEqual(len(second.key_digests), 1)
        self.assertIsNone(found.workspaces.find(b""))
        self.assertTrue(found.find_route("h", "/a/").is_public)

    def test_without_workspaces(self):
        """Guards against keys demanded where there are no workspaces."""
        self.assertIsNone(decode().workspaces)
        self.assertEqual(list(decode(tenants=[]).workspaces), [])

    def check_rejected(self, field, *rows):
        with self.assertRaises(json_fields.DocumentError) as caught:
            decode(*rows)
        text = str(caught.exception)
        self.assertIn(field, text)
        self.assertNotIn("secret", text)
        return text

    def test_invalid_workspaces(self):
        """Guards against a faulty version that comes into force in part."""
        cases = [
            ("name", {"name": ABSENT}),
            ("name", {"name": ""}),
            ("name", {"name": 3}),
            ("name", {"name": "t1\r\nx-own: 1"}),
            ("name", {"name": " t1"}),
            ("name", {"name": "\ud800"}),
            ("api_keys", {"api_keys": ABSENT}),
            ("api_keys", {"api_keys": KEY}),
            ("api_keys", {"api_keys": [KEY, 3]}),
            ("api_keys", {"api_keys": {KEY: 1}}),
            ("priority", {"priority": "0"}),
            ("priority", {"priority": -1}),
            ("priority", {"priority": True}),
            ("unit", {"unit": "bytes"}),
            ("unit", {"unit": ["tokens"]}),
            ("plain_tokens", {"plain_tokens": -1}),
            ("plain_tokens", {"plain_tokens": 1.5}),
        ]
        for amount in (-1, -0.5, "5", True, None, [], 10**400):
            cases.append(("rate_per_s", {"rate_per_s": amount}))
            cases.append(("burst", {"burst": amount}))
        for amount in (float("inf"), float("nan")):
            cases.append(("rate_per_s", {"rate_per_s": amount}))
            cases.append(("burst", {"burst": amount}))
        for field, changes in cases:
            with self.subTest(field=field, changes=changes):
                text = self.check_rejected(field, row(**changes))
                if field != "name":
                    self.assertIn("t1", text)

    def test_invalid_pairs(self):
        """Guards against a key that stands for two workspaces."""
        text = self.check_rejected("api_keys", row(), row(name="t2"))
        self.assertIn("t2", text)
        self.check_rejected("name", row(), row(api_keys=["k2"]))

    def test_invalid_lists(self):
        """Guards against an exception that ends the watch of the store."""
        for rows in (None, {}, "x", [3], [None], [[]]):
            with self.subTest(rows=rows):
                with self.assertRaises(json_fields.DocumentError):
                    decode(tenants=rows)

    def test_number_out_of_range_elsewhere(self):
        """Guards against an exception that is no DocumentError."""
        with self.assertRaises(json_fields.DocumentError):
            decode(routes=[{**ROUTE, "timeout_ms": float("inf")}])

    def test_public_of_another_type(self):
        """Guards against a route that is public by a text such as false."""
        with self.assertRaises(json_fields.DocumentError):
            decode(routes=[{**ROUTE, "public": "false"}])
