"""Tests of the quota of a workspace, over all entries together."""

from __future__ import annotations

import unittest

from balsamwall.gateway import workspace as workspace_module
from tests.fixtures import quota_fleet

SIZES = (3, 25, 60)
# Rate, which is also the burst, and the range of the costs of requests.
LARGE = (200_000, (2_000, 16_000))
SMALL = (4_200, (800, 3_000))
OVERLOAD = 10
STEADY = 0.55
MIN_USE = 0.9
OVERSHOOT = 0.1
SLACK = 17_000
ELECTION_MS = 4_000
# Wait for room, then one query without a response.
MAX_WAIT_MS = 150 + 40


def allowed(rate, burst):
    """Return the tokens that the page allows in a window."""
    window_s = quota_fleet.WINDOW_MS / 1_000
    return (rate * window_s + burst) * (1 + OVERSHOOT) + SLACK


class OverloadTest(unittest.TestCase):
    """Load pattern: a workspace sends ten times its quota everywhere."""

    def play(self, disturb, restore=None, duration_ms=ELECTION_MS):
        """Overload fleets, disturb them for a time, and check the sum."""
        for rate, costs in (LARGE, SMALL):
            for size in SIZES:
                fleet = quota_fleet.QuotaFleet(size, rate, rate, costs)
                load = OVERLOAD * rate
                fleet.load(load, 4_000, fleet.at_random)
                disturb(fleet)
                fleet.load(load, duration_ms, fleet.at_random)
                if restore is not None:
                    restore(fleet)
                fleet.load(load, 8_000, fleet.at_random)
                with self.subTest(rate=rate, entries=size):
                    self.assertTrue(fleet.passed)
                    self.assertLessEqual(
                        fleet.most_in_window(), allowed(rate, rate)
                    )
                    self.assertLessEqual(
                        max(fleet.waits_ms), 250 + duration_ms
                    )

    def test_saved_burst(self):
        """Guards against tokens saved at the entries and at the bucket."""
        self.play(lambda fleet: fleet.clock.advance(10_000))

    def test_frozen_entries(self):
        """Guards against use of grants from before a pause."""

        def freeze(fleet):
            for entry in fleet.entries[1::2]:
                entry.clock.pause()

        def wake(fleet):
            for entry in fleet.entries[1::2]:
                entry.clock.resume()

        self.play(freeze, wake)

    def test_partitioned_entries(self):
        """Guards against shares that are granted twice."""

        def cut(fleet):
            for number in range(1, len(fleet.entries), 2):
                fleet.fleet.silence_entry(number)

        self.play(cut, duration_ms=10_000)

    def test_killed_entries(self):
        """Guards against the loss of the limit when entries restart."""

        def kill(fleet):
            for number in range(1, len(fleet.entries), 2):
                fleet.fleet.stop_entry(number)

        def start(fleet):
            for number in range(1, len(fleet.entries), 2):
                fleet.fleet.restart_entry(number)

        self.play(kill, start)

    def test_coordinator_killed_and_replaced(self):
        """Guards against two terms that each grant the burst."""

        self.play(
            lambda fleet: fleet.lose_coordinator(),
            lambda fleet: fleet.fleet.elect(1),
        )

    def test_limit_of_requests(self):
        """Guards against a tolerance of tokens in a quota of requests."""
        rate = 20
        for size in SIZES:
            fleet = quota_fleet.QuotaFleet(
                size,
                rate,
                rate,
                (1, 1),
                workspace_module.QuotaUnit.REQUESTS,
            )
            fleet.load(OVERLOAD * rate, 6_000, fleet.at_random)
            fleet.lose_coordinator()
            fleet.load(OVERLOAD * rate, ELECTION_MS, fleet.at_random)
            fleet.fleet.elect(1)
            fleet.load(OVERLOAD * rate, 8_000, fleet.at_random)
            with self.subTest(entries=size):
                most = fleet.most_in_window()
                self.assertLessEqual(most, allowed(rate, rate) - SLACK)

    def test_coordinator_frozen(self):
        """Guards against tokens that accrue while nobody could grant them."""
        self.play(
            lambda fleet: fleet.entries[0].clock.pause(),
            lambda fleet: fleet.entries[0].clock.resume(),
            duration_ms=2_500,
        )

    def test_coordinator_frozen_and_replaced(self):
        """Guards against a former coordinator that grants when it wakes."""

        def replace(fleet):
            fleet.fleet.elect(1)
            fleet.load(OVERLOAD * 4_200, 1_000, fleet.at_random)
            fleet.entries[0].clock.resume()

        self.play(lambda fleet: fleet.entries[0].clock.pause(), replace)

    def test_all_entries_killed(self):
        """Guards against a request in advance at each of many new entries."""

        def restart(fleet):
            for number in range(len(fleet.entries)):
                fleet.fleet.stop_entry(number)
            fleet.fleet.holder = ""
            for number in range(len(fleet.entries)):
                fleet.fleet.restart_entry(number)

        self.play(restart, lambda fleet: fleet.fleet.elect(1))


class SurgeTest(unittest.TestCase):
    """Load pattern: the overload begins as the coordinator is lost."""

    def surge(self, rate, costs, sizes):
        for size in sizes:
            fleet = quota_fleet.QuotaFleet(size, rate, rate, costs)
            fleet.load(STEADY * rate, 6_000, fleet.in_turn())
            fleet.lose_coordinator()
            fleet.load(OVERLOAD * rate, ELECTION_MS, fleet.at_random)
            fleet.fleet.elect(1)
            fleet.load(OVERLOAD * rate, 8_000, fleet.at_random)
            self.assertLessEqual(
                fleet.most_in_window(), allowed(rate, rate), size
            )

    def test_surge_of_a_large_workspace(self):
        """Guards against a share that exceeds what the fleet has left."""
        self.surge(*LARGE, SIZES)

    def test_surge_of_a_small_workspace_at_few_entries(self):
        """Guards against requests in advance that are not repaid."""
        self.surge(*SMALL, SIZES[:1])

    def test_surge_of_a_small_workspace_at_many_entries(self):
        """Guards against a request in advance at each of many entries."""
        self.surge(*SMALL, SIZES[1:])


class UseTest(unittest.TestCase):
    """Load pattern: a workspace uses its quota, at one entry or at all."""

    def test_one_entry_gets_the_limit(self):
        """Guards against fixed shares of an entry."""
        for rate, costs in (LARGE, SMALL):
            for size in SIZES:
                fleet = quota_fleet.QuotaFleet(size, rate, rate, costs)
                fleet.load(OVERLOAD * rate, 4_000, lambda: 1)
                since_ms = fleet.clock.now_ms()
                fleet.load(OVERLOAD * rate, 10_000, lambda: 1)
                with self.subTest(rate=rate, entries=size):
                    self.assertGreaterEqual(
                        fleet.passed_tokens(since_ms), MIN_USE * rate * 10
                    )

    def check_steady(self, disturb=None, spread=None):
        for rate, costs in (LARGE, SMALL):
            for size in SIZES:
                fleet = quota_fleet.QuotaFleet(size, rate, rate, costs)
                choose = fleet.in_turn() if spread is None else spread(fleet)
                fleet.load(STEADY * rate, 20_000, choose)
                if disturb is not None:
                    disturb(fleet, choose, STEADY * rate)
                    fleet.load(STEADY * rate, 10_000, choose)
                with self.subTest(rate=rate, entries=size):
                    count = len(fleet.refused)
                    self.assertEqual(
                        count, 0, f"of {len(fleet.passed) + count}"
                    )

    def test_steady_traffic(self):
        """Guards against refusals below the limit."""
        self.check_steady()

    def test_steady_traffic_at_random_entries(self):
        """Guards against reserves that lapse unused."""
        self.check_steady(spread=lambda fleet: fleet.at_random)

    def test_steady_traffic_at_one_entry(self):
        """Guards against refusals of a workspace with one caller."""
        self.check_steady(spread=lambda fleet: lambda: 1)

    def test_steady_traffic_with_a_new_coordinator(self):
        """Guards against refusals as a term begins with empty buckets."""

        def replace(fleet, choose, load):
            fleet.fleet.elect(1)

        self.check_steady(replace)

    def test_steady_traffic_while_the_coordinator_is_lost(self):
        """Guards against an election in which a workspace gets nothing."""

        def lose(fleet, choose, load):
            fleet.fleet.silence_entry(0)
            fleet.load(load, ELECTION_MS, choose)
            fleet.fleet.elect(1)

        self.check_steady(lose)


class DecisionTest(unittest.TestCase):
    """Load pattern: single requests at the bounds of a grant."""

    def setUp(self):
        self.fleet = quota_fleet.QuotaFleet(3, 4_200, 4_200, SMALL[1])

    def outcome(self, number, cost):
        """Send a request; return None if it passed, else the outcome."""
        refused = len(self.fleet.refused)
        self.fleet.send(number, cost)
        self.fleet.clock.advance(MAX_WAIT_MS)
        if len(self.fleet.refused) == refused:
            return None
        return self.fleet.refused[-1][2]

    def test_reserve_is_not_used_after_a_pause(self):
        """Guards against a woken entry that uses what it held before."""
        for _ in range(2):
            self.fleet.send(1, 500)
            self.fleet.clock.advance(20)
        balance = self.fleet.entries[1].harness.quotas._balances["w1"]
        self.assertGreater(balance.granted.available, 0)
        self.fleet.entries[1].clock.pause()
        self.fleet.clock.advance(1_000)
        self.fleet.entries[1].clock.resume()
        self.assertEqual(balance.granted.available, 0)

    def test_grant_on_the_way_is_not_used_after_a_pause(self):
        """Guards against a grant whose life begins when it is read."""
        entry = self.fleet.entries[1]
        self.fleet.send(1, 500)
        self.fleet.clock.advance(1)
        entry.clock.pause()
        self.fleet.clock.advance(1_000)
        balance = entry.harness.quotas._balances["w1"]
        entry.harness.quotas.on_grant(1, 4_000, 0, False)
        self.assertEqual(balance.granted.available, 0)
        self.assertTrue(balance.is_local)

    def test_age_of_a_grant_includes_its_way(self):
        """Guards against a grant that lives longer after a short pause."""
        entry = self.fleet.entries[1]
        self.fleet.send(1, 500)
        self.fleet.clock.advance(1)
        entry.clock.pause()
        self.fleet.clock.advance(30)
        entry.harness.quotas.on_grant(1, 4_000, 0, False)
        balance = entry.harness.quotas._balances["w1"]
        self.assertEqual(balance.granted.available, 3_500)
        self.fleet.clock.advance(770)
        self.assertEqual(balance.granted.available, 0)

    def test_small_request_passes_a_denied_large_one(self):
        """Guards against a denial that is applied to smaller requests."""
        self.assertIsNone(self.outcome(1, 3_000))
        for cost in (18_000, 800):
            self.fleet.send(1, cost)
        self.fleet.clock.advance(MAX_WAIT_MS)
        self.assertEqual(len(self.fleet.refused), 1)
        self.assertEqual(self.fleet.passed[-1][1], 800)

    def test_request_larger_than_the_quota_is_refused(self):
        """Guards against a cost, as callers state it, above any limit."""
        for cost in (4_200 + SLACK + 1, 10**9):
            outcome = self.outcome(1, cost)
            self.assertEqual(outcome.reason, "its size")
        self.assertIsNone(self.outcome(1, 3_000))

    def test_retry_after_is_the_time_of_room(self):
        """Guards against callers who are told a time that is too early."""
        while (outcome := self.outcome(1, 3_000)) is None:
            pass
        refused_ms = self.fleet.refused[-1][0]
        self.assertGreater(outcome.retry_after_ms, 150)
        self.assertLessEqual(outcome.retry_after_ms, 1_000)
        due_ms = refused_ms + outcome.retry_after_ms
        self.fleet.clock.run_until(due_ms - 200)
        self.assertIsNotNone(self.outcome(1, 3_000))
        self.fleet.clock.run_until(due_ms)
        self.assertIsNone(self.outcome(2, 3_000))

    def test_request_above_the_burst_is_served(self):
        """Guards against large prompts that a small quota never admits."""
        self.assertIsNone(self.outcome(1, 6_000))
        self.assertIsNotNone(self.outcome(1, 800))


class ConfigurationTest(unittest.TestCase):
    """Load pattern: a new configuration changes the limit in overload."""

    def change(self, rate):
        fleet = quota_fleet.QuotaFleet(25, LARGE[0], *LARGE)
        load = OVERLOAD * LARGE[0]
        fleet.load(load, 4_000, fleet.at_random)
        fleet.workspace = quota_fleet.make_workspace(rate, rate)
        fleet.fleet.configure(
            workspace_module.WorkspaceTable([fleet.workspace])
        )
        in_force_ms = fleet.clock.now_ms()
        fleet.load(load, quota_fleet.WINDOW_MS, fleet.at_random)
        return fleet, load, in_force_ms

    def test_lower_rate(self):
        """Guards against a bucket that keeps its former rate or burst."""
        rate = 50_000
        fleet, load, in_force_ms = self.change(rate)
        fleet.load(load, 10_000, fleet.at_random)
        since_ms = in_force_ms + quota_fleet.WINDOW_MS
        self.assertLessEqual(
            fleet.most_in_window(since_ms), allowed(rate, rate)
        )

    def test_higher_rate(self):
        """Guards against a bucket that ignores a new configuration."""
        rate = 400_000
        fleet, load, in_force_ms = self.change(rate)
        passed = fleet.passed_tokens(in_force_ms)
        window_s = quota_fleet.WINDOW_MS / 1_000
        self.assertGreaterEqual(passed, MIN_USE * rate * window_s)
        self.assertLessEqual(fleet.most_in_window(), allowed(rate, rate))
