"""Tests of the lease of a background task."""

from __future__ import annotations

import unittest

from returns.result import Failure
from returns.result import Success

from balsamwall.placement import lease_keeper
from balsamwall.results import result_code
from balsamwall.timing import virtual_clock

_Code = result_code.ResultCode
TIMES = lease_keeper.LeaseTimes(ttl_ms=3_000, renew_ms=700, margin_ms=500)


class ScriptedStore:
    """Lease store whose renewal result is set by the test."""

    def __init__(self):
        self.renewal = Success(3_000)
        self.expected = []  # revisions at which the key was written

    def lease(self, ttl_ms, callback):
        callback(Success(1))

    def compare_and_swap(self, key, revision, value, callback, lease_id=0):
        self.expected.append(revision)
        callback(Success(9))

    def keep_alive(self, lease_id, callback):
        callback(self.renewal)

    def revoke(self, lease_id, callback):
        callback(Success(0))


class LeaseKeeperTest(unittest.TestCase):
    """Guard against holders that act without a valid lease."""

    def setUp(self):
        self.clock = virtual_clock.VirtualClock()
        self.store = ScriptedStore()
        self.is_candidate = True
        self.keeper = lease_keeper.LeaseKeeper(
            self.clock,
            self.store,
            "task",
            "a",
            lambda: self.is_candidate,
            TIMES,
        )
        self.keeper.start()

    def test_failed_renewal_is_known_before_the_lease_ends(self):
        """A short outage of the store must not interrupt orders."""
        self.store.renewal = Failure(_Code.PLATFORM_UNAVAILABLE)
        self.clock.advance(TIMES.renew_ms)
        self.assertTrue(self.keeper.is_held)
        self.assertTrue(self.keeper.is_renewal_failing)
        self.store.renewal = Success(3_000)
        self.clock.advance(TIMES.renew_ms)
        self.assertFalse(self.keeper.is_renewal_failing)

    def test_ended_lease_is_no_failed_renewal(self):
        """A holder must stop when the store reports that its lease expired."""
        self.is_candidate = False
        self.store.renewal = Failure(_Code.COMPARE_FAILED)
        self.clock.advance(TIMES.renew_ms)
        self.assertFalse(self.keeper.is_held)
        self.assertFalse(self.keeper.is_renewal_failing)

    def test_lease_ends_by_the_clock_of_the_holder(self):
        """A lease must expire locally when it cannot be renewed."""
        self.store.renewal = Failure(_Code.PLATFORM_OUTCOME_UNKNOWN)
        self.clock.advance(TIMES.ttl_ms - TIMES.margin_ms)
        self.assertFalse(self.keeper.is_held)

    def test_own_record_without_a_lease_is_replaced(self):
        """Guards against a restored record that blocks its own writer."""
        revision = 0
        keeper = lease_keeper.LeaseKeeper(
            self.clock,
            self.store,
            "task",
            "a",
            lambda: True,
            TIMES,
            lambda: revision,
        )
        revision = 7
        self.store.expected.clear()
        keeper.start()
        self.assertEqual(self.store.expected, [7])

    def test_renewal_before_the_key_is_written_gives_no_lease(self):
        """Guards against a fencing token of an earlier term.

        The compare-and-swap is slower than the renewal of the bare lease.
        """
        pending = []
        self.store.compare_and_swap = (
            lambda key, revision, value, callback, lease_id=0: pending.append(
                callback
            )
        )
        self.is_candidate = False
        self.clock.advance(TIMES.renew_ms)
        self.is_candidate = True
        self.clock.advance(3 * TIMES.renew_ms)
        self.assertFalse(self.keeper.is_held)
        pending[-1](Success(12))
        self.assertTrue(self.keeper.is_held)
        self.assertEqual(self.keeper.revision, 12)
