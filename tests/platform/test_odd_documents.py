"""Tests of documents of another writer with odd values in each field."""

from __future__ import annotations

import copy
import json
import time
import unittest

from balsamwall.platform import documents
from balsamwall.platform import engine_calls
from tests.fixtures import entry_fleet
from tests.fixtures import reactor_thread
from tests.platform import test_documents

SERVER = {
    **test_documents.SERVER,
    "born": 1_000,
    "remaining_ms": 900,
    "models": [{"name": "m", "version": 1, "adapters": ["a1"]}],
    "at_hand": {"in_memory": ["m"], "on_disk": ["m"]},
}
CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "r",
            "host": "h",
            "path_prefix": "/a/",
            "kind": "streaming",
            "timeout_ms": 1_000,
            "target_latency_ms": 100,
            "priority": 1,
            "attempts": 2,
            "resumable": True,
            "gap_aim_ms": 250,
            "split": [{"service": "app", "weight": 90}],
        }
    ],
    "services": [
        {
            "name": "app",
            "max_conns": 100,
            "engine": {
                "slots": 8,
                "kv_capacity": 1_000,
                "weights_mb": 1_000.0,
                "adapter_slots": 4,
                "loads_per_s": 3.0,
                "models": [
                    {
                        "name": "m",
                        "weights_mb": 10.0,
                        "load_s": 1.0,
                        "warm_s": 0.5,
                        "disk_s": 0.7,
                        "adapters": 2,
                        "adapter_mb": 1.0,
                    }
                ],
            },
        }
    ],
    "limits": {
        "max_header_bytes": 16_384,
        "max_body_bytes": 4_194_304,
        "header_timeout_ms": 3_000,
        "idle_timeout_ms": 15_000,
    },
    "tenants": [
        {
            "name": "t",
            "api_keys": ["k"],
            "priority": 1,
            "rate_per_s": 5,
            "burst": 10,
            "plain_tokens": 1,
        }
    ],
}
REPORT = {"seq": 1, "busy": False, "active": 1, "queued": 0, "coming": []}
# JSON texts, since some of them are no values of Python.
ODD_VALUES = (
    "1e999",
    "-1e999",
    "1e300",
    "NaN",
    "Infinity",
    "-1",
    "9" * 400,
    "9" * 5_000,
    "[" * 500 + "]" * 500,
    "[" * 100_000,
    '{"a":' * 500 + "1" + "}" * 500,
    '"' + "x" * 100_000 + '"',
    '"\\ud800"',
    "null",
    "{}",
    '"10.0.0.1:²"',
    '"10.0.0.1:0"',
    '"10.0.0.1:65536"',
    '"host\\r\\nx:1"',
)
# Numbers above this are no sizes, rates or times of a sound document.
MAX_NUMBER = 2**63


def paths(found, path=()):
    """Return the paths of all values in a document."""
    if isinstance(found, dict):
        items = found.items()
    elif isinstance(found, list):
        items = enumerate(found)
    else:
        return [path]
    below = [item for key, row in items for item in paths(row, (*path, key))]
    return [path, *below] if path else below


def with_value(document, path, text):
    """Return a document as JSON with a value replaced by a text."""
    changed = copy.deepcopy(document)
    *parents, last = path
    target = changed
    for key in parents:
        target = target[key]
    target[last] = "@odd@"
    return json.dumps(changed).replace('"@odd@"', text).encode()


def numbers(found):
    """Return all numbers in decoded values."""
    if isinstance(found, (int, float)):
        return [found]
    if isinstance(found, dict):
        found = list(found.values())
    if isinstance(found, (list, tuple, frozenset)):
        return [item for row in found for item in numbers(row)]
    names = getattr(type(found), "__slots__", ())
    return [item for name in names for item in numbers(getattr(found, name))]


class OddValueTest(unittest.TestCase):
    """A value that passes a check of its type fails where it is used."""

    def check(self, document, decode):
        decode(json.dumps(document).encode())
        refused = 0
        for path in paths(document):
            for text in ODD_VALUES:
                raw = with_value(document, path, text)
                with self.subTest(path=path, text=text[:20]):
                    try:
                        found = decode(raw)
                    except ValueError as error:
                        refused += 1
                        self.assertLess(len(str(error)), 2_500)
                        continue
                    for number in numbers(found):
                        self.assertLessEqual(0, number)
                        self.assertLessEqual(number, MAX_NUMBER)
        self.assertGreater(refused, 10)

    def test_server_records(self):
        """Guards against a record that stops the feed, or fills a server."""
        self.check(SERVER, lambda raw: documents.decode_server("i-1", raw))

    def test_configurations(self):
        """Guards against a configuration that fails where it is applied."""
        self.check(CONFIGURATION, documents.decode_configuration)

    def test_reports_of_engines(self):
        """Guards against an engine that stops the coordinator."""
        self.check(REPORT, lambda raw: engine_calls.decode_report(raw, {}))


class OddRecordProcessTest(unittest.TestCase):
    """Three entries beside a writer of odd records."""

    def test_entries_go_on_following_the_store(self):
        """Guards against entries that miss all changes after a record.

        One of them reads the record when it starts.
        """
        fleet = entry_fleet.EntryFleet(self)
        for number, text in enumerate(("1e999", "9" * 400, "-5")):
            for field in ("remaining_ms", "slots"):
                raw = with_value(SERVER, (field,), text)
                key = f"servers/odd-{field}-{number}"
                reactor_thread.run(
                    lambda key=key, raw=raw: fleet.data.put(key, raw)
                )
        restarted = fleet.entries[0]
        restarted.kill()
        restarted.start()
        fleet.wait_until_served(restarted)
        fleet.add_route("second")
        time.sleep(3.0)
        for entry in fleet.entries:
            for _ in range(20):
                self.assertEqual(fleet.request(entry, "second"), 200)
                self.assertEqual(fleet.request(entry, "first"), 200)
            self.assertTrue(entry.has_logged("server_record_unreadable"))
            self.assertFalse(entry.has_logged("Traceback"))
