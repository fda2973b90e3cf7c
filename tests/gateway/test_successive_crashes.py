"""Tests of requests that crash one server after the other."""

from __future__ import annotations

import unittest
from unittest import mock

from balsamwall.coordination import crash_reports
from balsamwall.coordination import messages_fleet
from balsamwall.gateway import broken_request
from balsamwall.gateway import fingerprints
from tests.fixtures import repeat_harness

# Time within which the evidence of all entries must have met.
CONTACT_MS = 3_000
# Requests that may reach servers after the third crash and CONTACT_MS.
MAX_LATE_SENDS = 3
CRASHES = 3
DAY_MS = 22_000
# Time without a coordinator after the loss of one.
ELECTION_MS = 3_500


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

    def lose_coordinator(self, fleet, how, bad_per_s):
        """Lose the coordinator at the second crash, and elect another."""
        others = range(1, len(fleet.entries))
        fleet.load(20, 2_000)
        while len(fleet.crashes_ms) < CRASHES - 1:
            fleet.load(20, 20, bad_per_s)
        if how == "kill":
            fleet.stop_entry(0)
        elif how == "freeze":
            fleet.entries[0].clock.pause()
        else:
            fleet.cut(0, others)
        fleet.load(20, 1_000, bad_per_s)
        fleet.end_streams(0)
        fleet.load(20, ELECTION_MS - 1_000, bad_per_s)
        fleet.elect(1)
        if how == "freeze":
            fleet.entries[0].clock.resume()
        fleet.load(20, DAY_MS - ELECTION_MS, bad_per_s)

    def faults_without_coordinator(self, entries, servers, bad_per_s):
        faults = {}
        for how in ("kill", "freeze", "cut"):
            for seed in range(1, 4):
                fleet = repeat_harness.RepeatFleet(entries, servers, seed)
                self.lose_coordinator(fleet, how, bad_per_s)
                faults[how, seed] = self.faults(fleet)
        return {key: found for key, found in faults.items() if found}

    def test_request_is_refused_after_the_loss_of_the_coordinator(self):
        """Guards against sends until another coordinator has decided."""
        self.assertEqual(self.faults_without_coordinator(5, 3, 0.4), {})

    def test_frequent_request_is_refused_after_the_loss_of_the_coordinator(
        self,
    ):
        """Guards against a crash at each entry before it holds back."""
        self.assertEqual(self.faults_without_coordinator(4, 4, 3.0), {})

    def test_servers_of_a_zone_that_fail_one_by_one_convict_nothing(self):
        """Guards against blaming requests that are moved on in a zone."""
        faults = {}
        for servers, victims, gap_ms, paths in (
            (3, 3, 60, 5),
            (3, 3, 100, 200),
            (9, 4, 0, 5),
            (6, 6, 40, 8),
        ):
            for seed in (1, 2):
                fleet = repeat_harness.RepeatFleet(5, servers, seed)
                for _ in range(4):
                    fleet.load(60, 4_000, paths=paths)
                    for server in list(fleet.servers.values())[:victims]:
                        server.crash()
                        fleet.load(60, gap_ms, paths=paths)
                held_back = fleet.sound_quarantined()
                if held_back:
                    faults[servers, gap_ms, seed] = held_back
        self.assertEqual(faults, {})

    def test_responses_that_live_servers_break_off_convict_nothing(self):
        """Guards against broken responses that count as crashes.

        There is no coordinator, and one server after the other crashes.
        """
        faults = {}
        for per_s, paths in ((300, 40), (100, 5), (60, 1)):
            for seed in range(1, 4):
                fleet = repeat_harness.RepeatFleet(3, 3, seed)
                fleet.stop_entry(0)
                fleet.load(per_s, ELECTION_MS, paths=paths)
                fleet.broken_share = 0.1
                for server in fleet.servers.values():
                    fleet.load(per_s, 1_500, paths=paths)
                    server.crash()
                fleet.load(per_s, 1_500, paths=paths)
                held_back = fleet.sound_quarantined()
                if held_back:
                    faults[per_s, paths, seed] = len(held_back)
        self.assertEqual(faults, {})


class CrashReportsTest(unittest.TestCase):
    """Load pattern: entries of this build and a coordinator of the last."""

    def test_time_of_the_send_is_reported_only_when_asked_for(self):
        """Guards against a message that an older coordinator rejects."""
        broken = broken_request.BrokenRequest(
            "s1@0",
            fingerprints.RequestFingerprints(b"r", frozenset([b"p"])),
            False,
            at_ms=90,
            sent_ms=50,
        )
        reports = crash_reports.CrashReports()
        first = reports.encode(broken, 100)
        self.assertIs(type(first), messages_fleet.BrokenRequestReport)
        self.assertFalse(reports.on_loads({"s1": 3}))
        self.assertTrue(reports.on_loads({crash_reports.ACCEPTS_SENDS_KEY: 1}))
        self.assertEqual(
            crash_reports.decode(reports.encode(broken, 100), 1_100),
            broken_request.BrokenRequest(
                "s1@0", mock.ANY, False, at_ms=1_090, sent_ms=1_050
            ),
        )
        reports.restart()
        again = reports.encode(broken, 100)
        self.assertIs(type(again), messages_fleet.BrokenRequestReport)
