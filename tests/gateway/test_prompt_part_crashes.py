"""Tests of prompt parts that crash each server that responds to them."""

from __future__ import annotations

import unittest

from tests.fixtures import crash_harness

# Time within which the evidence of all entries must have met.
CONTACT_MS = 3_000
# Requests that may reach servers after the fifth crash and CONTACT_MS.
MAX_LATE_SENDS = 3
CRASHES = 5


class PromptPartTest(unittest.TestCase):
    """A part that crashes servers is refused, and sound requests are not."""

    def check(self, fleet, crashes=CRASHES, min_share=0.9):
        """Check the sends after the crashes and the sound requests."""
        crashes_ms = fleet.crashes_ms
        if len(crashes_ms) >= crashes:
            since_ms = crashes_ms[crashes - 1] + CONTACT_MS
            late = fleet.poison_arrivals_since(since_ms)
            self.assertLessEqual(len(late), MAX_LATE_SENDS)
        self.assertEqual(fleet.sound_quarantined(), [])
        last_ms = crashes_ms[min(len(crashes_ms), crashes) - 1]
        share = fleet.sound_share(
            last_ms + 2 * CONTACT_MS, fleet.clock.now_ms() - 1_000
        )
        self.assertGreaterEqual(share, min_share)

    def run_day(self, entries, parts=("bad1",), share=0.06, **changes):
        fleet = crash_harness.CrashFleet(entries, **changes)
        fleet.load(50, 3_000)
        fleet.poison_parts = frozenset(parts)
        fleet.load(50, 20_000, share)
        return fleet

    def test_part_is_refused_at_all_entries(self):
        """Guards against requests that crash one server after the other."""
        for entries, seed in ((3, 1), (25, 2), (68, 3)):
            with self.subTest(f"entries {entries}"):
                self.check(self.run_day(entries, seed=seed))

    def test_two_parts_are_refused(self):
        """Guards against evidence of one part that hides another."""
        self.check(self.run_day(5, ("bad1", "bad2"), 0.1, seed=4), 10)

    def test_part_is_refused_where_streams_are_resumed(self):
        """Guards against retries that crash a further server."""
        self.check(self.run_day(5, is_resumable=True, seed=5))

    def test_part_is_refused_after_the_loss_of_the_coordinator(self):
        """Guards against evidence that is lost with a process."""
        fleet = crash_harness.CrashFleet(5, seed=6)
        fleet.load(50, 3_000)
        fleet.poison_parts = frozenset(["bad1"])
        while len(fleet.crashes_ms) < 2:
            fleet.load(50, 100, 0.06)
        fleet.stop_entry(0)
        fleet.elect(1)
        fleet.load(50, 18_000, 0.06)
        self.check(fleet)
        fleet.elect(2)
        since_ms = fleet.clock.now_ms()
        fleet.load(50, 3_000, 0.06)
        self.assertEqual(fleet.poison_arrivals_since(since_ms), [])

    def test_equal_sound_requests_are_not_refused(self):
        """Guards against blaming a frequent request for crashes around it."""
        fleet = crash_harness.CrashFleet(3, seed=7)
        exchanges = []
        for number in range(60):
            if number % 10 == 9:
                servers = fleet.servers.values()
                max(servers, key=lambda item: len(item.connections)).crash()
            for _ in range(6):
                exchanges.append(fleet.send(["first0", "second1"], b"same"))
                fleet.clock.advance(50)
        names = [item.data for item in exchanges if item.status == 503]
        self.assertFalse([name for name in names if b"QUARANTINED" in name])

    def test_loss_of_a_zone_convicts_nothing(self):
        """Guards against refusals after servers that crash for themselves."""
        fleet = crash_harness.CrashFleet(5, servers=9, seed=8)
        for _ in range(4):
            fleet.load(50, 4_000)
            for server in list(fleet.servers.values())[:4]:
                server.crash()
        fleet.load(50, 5_000)
        self.assertEqual(fleet.sound_quarantined(), [])

    def test_outage_of_all_servers_by_one_part(self):
        """Guards against blaming content whose reports arrive first."""
        for seed in (31, 37, 43):
            fleet = crash_harness.CrashFleet(
                3, servers=3, seed=seed, restart_ms=800
            )
            fleet.load(60, 500, subjects=8)
            fleet.poison_parts = frozenset(["bad1"])
            fleet.load(60, 8_000, 0.15, subjects=8)
            with self.subTest(f"seed {seed}"):
                self.assertEqual(fleet.sound_quarantined(), [])

    def test_outage_where_all_responses_are_at_their_begin(self):
        """Guards against blaming parts that were responded to before."""
        for seed in (2, 4, 6):
            fleet = crash_harness.CrashFleet(
                3, servers=3, seed=seed, restart_ms=800, first_event_ms=100
            )
            fleet.load(60, 2_000, subjects=8)
            fleet.poison_parts = frozenset(["bad1"])
            fleet.load(60, 8_000, 0.15, subjects=8)
            with self.subTest(f"seed {seed}"):
                self.assertEqual(fleet.sound_quarantined(), [])
                self.assertLess(len(fleet.crashes_ms), 12)

    def test_coordinators_change_during_an_outage(self):
        """Guards against decisions before all entries have connected."""
        for seed in (5, 6):
            fleet = crash_harness.CrashFleet(
                3, servers=3, seed=seed, restart_ms=800, first_event_ms=100
            )
            fleet.load(60, 2_000, subjects=8)
            fleet.poison_parts = frozenset(["bad1"])
            for number in (1, 2):
                fleet.load(60, 900, 0.15, subjects=8)
                fleet.restart_entry(fleet.holder)
                fleet.elect(number)
            fleet.load(60, 5_000, 0.15, subjects=8)
            with self.subTest(f"seed {seed}"):
                self.assertEqual(fleet.sound_quarantined(), [])

    def test_proofs_count_at_a_new_coordinator(self):
        """Guards against blaming sound content on reports sent again."""
        for seed in range(10, 14):
            fleet = crash_harness.CrashFleet(4, servers=9, seed=seed)
            for _ in range(4):
                fleet.load(50, 1_500, subjects=6)
                for server in list(fleet.servers.values())[:3]:
                    server.crash()
                fleet.load(50, crash_harness.RESTART_MS, subjects=6)
            fleet.elect(1)
            fleet.load(50, 2_000, subjects=6)
            with self.subTest(f"seed {seed}"):
                self.assertEqual(fleet.sound_quarantined(), [])
