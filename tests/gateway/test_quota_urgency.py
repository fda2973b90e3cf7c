"""Tests of urgent and other requests of a workspace above its quota."""

from __future__ import annotations

import unittest

from tests.fixtures import quota_fleet

RATE = 100_000.0
COST = 1_000
ENTRIES = 5
START_MS = 3_000
LOAD_MS = 10_000
INTERVAL_MS = 100
# Requests of each kind in an interval: 0.7 of the quota are urgent, and all
# together are 1.8 of it.
URGENT = 7
OTHERS = 11


class UrgencyTest(unittest.TestCase):
    """Load pattern: a workspace sends more than its quota, of both kinds."""

    def play(self, urgent, others):
        """Return the admitted requests of each kind."""
        fleet = quota_fleet.QuotaFleet(ENTRIES, RATE, RATE, [COST])
        fleet.clock.advance(START_MS)
        admitted = {True: 0, False: 0}

        def send(number, is_urgent):
            def on_decided(outcome):
                admitted[is_urgent] += outcome.is_admitted

            entry = fleet.entries[number % ENTRIES]
            entry.harness.quotas.request(
                fleet.workspace, COST, on_decided, is_urgent
            )

        for step in range(LOAD_MS // INTERVAL_MS):
            for number in range(urgent + others):
                send(step + number, number < urgent)
            fleet.clock.advance(INTERVAL_MS)
        return admitted

    def test_urgent_requests_are_admitted_first(self):
        """Guards against urgent requests that pay for those that can wait."""
        admitted = self.play(URGENT, OTHERS)
        sent = URGENT * LOAD_MS // INTERVAL_MS
        self.assertGreaterEqual(admitted[True], 0.95 * sent)
        limit = RATE * LOAD_MS / 1_000 / COST
        self.assertGreaterEqual(sum(admitted.values()), 0.9 * limit)

    def test_others_use_the_quota_without_urgent_ones(self):
        """Guards against a reserve that nobody uses."""
        admitted = self.play(0, URGENT + OTHERS)
        limit = RATE * LOAD_MS / 1_000 / COST
        self.assertGreaterEqual(admitted[False], 0.9 * limit)


if __name__ == "__main__":
    unittest.main()
