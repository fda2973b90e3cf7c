"""Tests of requests that crash one server after the other."""

from __future__ import annotations

import unittest

from tests.fixtures import repeat_harness

# Time within which the evidence of all entries must have met.
CONTACT_MS = 3_000
# Requests that may reach servers after the third crash and CONTACT_MS.
MAX_LATE_SENDS = 3
CRASHES = 3
DAY_MS = 22_000


class SuccessiveCrashTest(unittest.TestCase):
    """Load pattern: few servers crash within 300 ms, again and again.

    One request is repeated by its entry and by its caller, and crashes all
    servers of a service before the first one is back.
    """

    def faults(self, fleet):
        """Return which bounds a day has broken."""
        crashes_ms = fleet.crashes_ms
        self.assertGreaterEqual(len(crashes_ms), CRASHES)
        since_ms = crashes_ms[CRASHES - 1] + CONTACT_MS
        late = len(fleet.bad_arrivals_since(since_ms))
        held_back = len(fleet.sound_quarantined())
        found = [f"{late} late sends"] if late > MAX_LATE_SENDS else []
        return found + ([f"{held_back} held back"] if held_back else [])

    def test_request_that_is_moved_from_crash_to_crash_is_refused(self):
        """Guards against a count of all crashes within 300 ms as one."""
        faults = {}
        for entries, servers, bad_per_s in (
            (5, 3, 0.4),
            (4, 4, 2.0),
            (25, 3, 1.0),
            (5, 12, 1.0),
        ):
            for seed in range(1, 4):
                fleet = repeat_harness.RepeatFleet(entries, servers, seed)
                fleet.load(20, 2_000)
                fleet.load(20, DAY_MS, bad_per_s)
                faults[entries, servers, bad_per_s, seed] = self.faults(fleet)
        self.assertEqual({k: v for k, v in faults.items() if v}, {})
