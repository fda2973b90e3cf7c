"""Tests of the attribution of crashes to requests."""

from __future__ import annotations

import unittest

from balsamwall.gateway import crash_suspects
from balsamwall.timing import virtual_clock
from tests.fixtures import gateway_harness

FINGERPRINT = b"c" * crash_suspects.FINGERPRINT_BYTES


class CrashSuspectsTest(unittest.TestCase):
    """Three crashed processes quarantine a fingerprint, fewer do not."""

    def setUp(self):
        self.clock = virtual_clock.VirtualClock(start_ms=10_000)
        self.counter = crash_suspects.CrashCounter(self.clock)
        self.results = []
        self.entries = [
            crash_suspects.CrashSuspects(self.clock, self.report)
            for _ in range(3)
        ]

    def report(self, fingerprint, process):
        self.results.append(self.counter.add(fingerprint, process))

    def crash(self, server_id, started_ms=1, requests=1):
        record = gateway_harness.make_record(server_id, started_ms=started_ms)
        for entry in self.entries:
            for _ in range(requests):
                entry.on_broken_response(record, FINGERPRINT)
            entry.on_server_lost(server_id)

    def test_one_crash_with_many_equal_requests_does_not_quarantine(self):
        """Guards against quarantining a frequent request after one crash."""
        self.crash("s1", requests=5)
        self.assertEqual(len(self.results), 15)
        self.assertNotIn(True, self.results)

    def test_third_crashed_process_quarantines(self):
        """Guards against a request that crashes further servers."""
        self.crash("s1")
        self.crash("s2")
        self.assertNotIn(True, self.results)
        self.crash("s1", started_ms=2)
        self.assertIn(True, self.results)

    def test_broken_responses_without_a_crash_expire(self):
        """Guards against memory growth with each broken connection."""
        record = gateway_harness.make_record("s1")
        for _ in range(1_000):
            self.entries[0].on_broken_response(record, FINGERPRINT)
            self.clock.advance(1_000)
        kept = len(self.entries[0]._broken_responses["s1"])
        self.assertLessEqual(
            kept, crash_suspects.CRASH_CONFIRMATION_MS // 1_000 + 1
        )
