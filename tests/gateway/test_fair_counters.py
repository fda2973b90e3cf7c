"""Tests of the counters of served tokens over all entries."""

from __future__ import annotations

import unittest

from balsamwall.gateway import fair_counters
from balsamwall.gateway import fair_order
from tests.fixtures import fake_waiter

TARGET = ("app", "m1", "")
COST = 100
CREDIT = COST * fair_counters.SPARSE_CREDIT_REQUESTS


class FairCountersTest(unittest.TestCase):
    """Load pattern: an entry sees a part of the requests of all entries."""

    def setUp(self):
        self.counters = fair_counters.FairCounters()
        self.now_ms = 10_000

    def wait(self, *workspaces):
        for workspace in workspaces:
            self.counters.add_waiting(TARGET, workspace, self.now_ms)

    def leave(self, workspace):
        self.counters.remove_waiting(TARGET, workspace)

    def charge(self, workspace, count=1):
        for _ in range(count):
            charged = self.counters.charge(
                TARGET, workspace, COST, self.now_ms
            )
        return charged

    def use(self, **tokens):
        self.counters.add_fleet_use(tokens, self.now_ms)

    def play_backlog(self):
        """Let `usual` wait at another entry, and `large` here alone."""
        self.wait("large", "usual")
        self.charge("large", 50)
        self.charge("usual")
        self.wait("small")
        self.charge("small")
        self.leave("small")
        self.leave("usual")
        self.use(usual=COST)

    def test_own_charges_count_only_while_requests_wait(self):
        """Guards against a penalty for use that took nothing from others."""
        self.assertEqual(self.charge("a"), 0)
        self.counters.set_waiting_elsewhere(self.now_ms)
        self.assertEqual(self.charge("a"), COST)
        self.now_ms += fair_counters.ELSEWHERE_MEMORY_MS + 1
        self.assertEqual(self.charge("a"), 0)

    def test_idle_workspace_is_raised_to_those_that_wait_elsewhere(self):
        """Guards against a small workspace raised to a large one.

        Only the large one waits at this entry, for a moment.
        """
        self.play_backlog()
        usual = self.counters.served["usual"]
        self.assertLess(usual, self.counters.served["large"])
        self.wait("new")
        self.assertEqual(self.counters.served["new"], usual - CREDIT)

    def test_backlog_elsewhere_is_forgotten(self):
        """Guards against credit while only a large workspace waits."""
        self.play_backlog()
        self.now_ms += fair_counters.ELSEWHERE_MEMORY_MS + 1
        self.wait("new")
        large = self.counters.served["large"]
        self.assertEqual(self.counters.served["new"], large - CREDIT)

    def test_no_credit_for_what_others_got_elsewhere(self):
        """Guards against an idle workspace that is served alone.

        No request waited here while another workspace was served elsewhere.
        """
        self.wait("busy")
        self.charge("busy")
        self.leave("busy")
        for _ in range(100):
            self.use(busy=COST)
        self.wait("idle", "busy")
        lead = self.counters.served["busy"] - self.counters.served["idle"]
        self.assertLessEqual(lead, CREDIT)

    def test_use_elsewhere_of_an_idle_workspace_counts_in_full(self):
        """Guards against a burst at other entries that is not seen here."""
        self.wait("busy", "other")
        self.charge("busy", 50)
        self.charge("other", 50)
        self.use(burst=10 * COST)
        self.wait("burst")
        lead = self.counters.served["burst"] - self.counters.served["busy"]
        self.assertGreater(lead, 0)

    def test_workspace_with_a_backlog_is_not_sparse(self):
        """Guards against room of later sends for those with a backlog.

        One of them always has the lowest counter.
        """
        self.wait("first", "second")
        self.charge("first")
        self.assertFalse(self.counters.is_sparse("second", self.now_ms))
        self.now_ms += fair_counters.SPARSE_AFTER_MS + 1
        self.assertTrue(self.counters.is_sparse("second", self.now_ms))

    def test_workspace_below_its_share_is_sparse(self):
        """Guards against a small workspace that waits for a share of room.

        Urgent requests of others are sent before it at any counter.
        """
        self.wait("large")
        self.charge("large", 5)
        self.wait("small")
        self.charge("large", 5)
        self.assertTrue(self.counters.is_sparse("small", self.now_ms))
        self.leave("large")
        self.assertFalse(self.counters.is_sparse("small", self.now_ms))


class FleetPositionTest(unittest.TestCase):
    """Refusals by position use the counters of the fleet."""

    def setUp(self):
        self.order = fair_order.FairOrder()
        for name in ("a", "b"):
            for _ in range(10):
                self.order.add(self.waiter(name), 0)
            self.order.on_sent(self.waiter(name), 0)

    def waiter(self, name):
        return fake_waiter.FakeWaiter(None, None, workspace_name=name)

    def position(self):
        return self.order.position(self.waiter("a"), 0)

    def test_position_follows_use_at_other_entries(self):
        """Guards against refusals that the fair order does not call for."""
        self.assertGreater(self.position().ahead, 15)
        self.order.add_fleet_use([("app", "b", 1_000 * COST)], 0)
        self.assertEqual(self.position().ahead, 10)

    def test_requests_before_all_others_are_not_paced(self):
        """Guards against a small workspace refused for its second request.

        It is sent before those of the others, not at the pace of its share.
        """
        self.assertEqual(self.position().own, 10)
        self.order.add_fleet_use([("app", "b", 4 * COST)], 0)
        self.assertEqual(self.position().own, 6)
