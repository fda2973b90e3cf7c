"""Tests of the parts that share a limit among entries."""

from __future__ import annotations

import random
import unittest

from balsamwall.limits import fleet_size
from balsamwall.limits import leased_tokens
from balsamwall.limits import limit_book
from balsamwall.limits import paced_share
from balsamwall.limits import token_bucket
from balsamwall.timing import virtual_clock

LIFETIME_MS = 800


class LimitBookTest(unittest.TestCase):
    """The newest observation counts, whoever has made it."""

    def setUp(self):
        self.clock = virtual_clock.VirtualClock(start_ms=50_000)
        self.changes = []
        self.book = limit_book.LimitBook(
            self.clock, lambda found, before: self.changes.append(found.per_s)
        )

    def observe(self, per_s, observed_ms, started_ms=1):
        found = limit_book.LimitObservation(
            "s1", started_ms, per_s, observed_ms
        )
        return self.book.observe(found)

    def test_older_observation_is_ignored(self):
        """Guards against a late message that brings an ended limit back."""
        self.observe(2.0, 100)
        self.observe(None, 200)
        self.assertFalse(self.observe(2.0, 150))
        self.assertIsNone(self.book.limit_of("s1"))
        self.assertEqual(self.changes, [2.0, None])

    def test_new_process_of_the_server_begins_anew(self):
        """Guards against a limit that outlives the process that named it."""
        self.observe(2.0, 300)
        self.observe(None, 200, started_ms=2)
        self.assertIsNone(self.book.limit_of("s1"))

    def test_server_without_a_limit_is_not_kept(self):
        """Guards against memory for each server that has never a limit."""
        self.assertFalse(self.observe(None, 100))
        self.assertEqual(self.book.observations(), [])

    def test_limit_of_a_lost_server_ends(self):
        """Guards against a limit that stays in the metrics for good."""
        self.observe(2.0, 50_000)
        self.clock.advance(limit_book.LIMIT_MEMORY_MS + 1)
        self.assertEqual(self.book.observations(), [])
        self.assertEqual(self.changes, [2.0, None])

    def test_ended_limit_is_forgotten_later(self):
        """Guards against reports of limits that have long ended."""
        self.observe(2.0, 49_000)
        self.observe(None, 50_000)
        self.assertEqual(len(self.book.observations()), 1)
        self.clock.advance(limit_book.ENDED_LIMIT_MEMORY_MS + 1)
        self.assertEqual(self.book.observations(), [])


class PacedShareTest(unittest.TestCase):
    """Load pattern: entries without a coordinator share a low limit."""

    PERIOD_MS = 20_000

    def test_unused_turns_lapse(self):
        """Guards against idle entries that send together afterwards."""
        source = random.Random(3)
        shares = [paced_share.PacedShare(source.random()) for _ in range(50)]
        sent = sum(
            share.take_or_wait_ms(60_000, self.PERIOD_MS) == 0
            for share in shares
        )
        # In the mean 50 entries have 2.5 turns in a second.
        self.assertLessEqual(sent, 8)

    def test_one_request_in_each_period(self):
        """Guards against a turn that is used twice."""
        share = paced_share.PacedShare(0.3)
        times_ms = [
            now_ms
            for now_ms in range(0, 200_000, 20)
            if share.take_or_wait_ms(now_ms, self.PERIOD_MS) == 0
        ]
        self.assertEqual(len(times_ms), 10)

    def test_wait_ends_in_a_turn(self):
        """Guards against waits that miss each turn."""
        share = paced_share.PacedShare(0.3)
        share.take_or_wait_ms(0, self.PERIOD_MS)
        wait_ms = share.take_or_wait_ms(1, self.PERIOD_MS)
        now_ms = 1 + wait_ms
        self.assertEqual(share.take_or_wait_ms(now_ms, self.PERIOD_MS), 0)

    def test_changed_period_gives_no_further_turn(self):
        """Guards against a send at each change of the number of entries."""
        share = paced_share.PacedShare(0.0)
        sent = sum(
            share.take_or_wait_ms(now_ms, self.PERIOD_MS + now_ms % 7) == 0
            for now_ms in range(0, 5_000, 10)
        )
        self.assertEqual(sent, 1)


class FleetSizeTest(unittest.TestCase):
    """Load pattern: a new coordinator counts entries that still connect."""

    def setUp(self):
        self.clock = virtual_clock.VirtualClock(start_ms=1_000)
        self.size = fleet_size.FleetSize(self.clock, 100)

    def test_assumed_until_the_first_count(self):
        """Guards against a share of the whole limit after a start."""
        self.assertEqual(self.size.count, 100)
        self.size.observe(5)
        self.assertEqual(self.size.count, 5)

    def test_low_count_of_a_new_coordinator_is_not_used(self):
        """Guards against shares that are too large after an outage."""
        self.size.observe(25)
        self.clock.advance(60_000)
        self.size.observe(1)
        self.assertEqual(self.size.count, 25)
        self.clock.advance(fleet_size.MEMORY_MS + 1)
        self.assertEqual(self.size.count, 1)


class TokenBucketDebtTest(unittest.TestCase):
    """Calls that are made in any case delay the others."""

    def test_charge_is_paid_by_later_tokens(self):
        """Guards against calls that are added on top of a limit."""
        clock = virtual_clock.VirtualClock(start_ms=1_000)
        bucket = token_bucket.TokenBucket(clock, 2.0, 1)
        bucket.drain()
        bucket.charge()
        clock.advance(900)
        self.assertFalse(bucket.take())
        clock.advance(100)
        self.assertTrue(bucket.take())

    def test_amounts(self):
        """Guards against an amount that is charged as one token."""
        clock = virtual_clock.VirtualClock(start_ms=1_000)
        bucket = token_bucket.TokenBucket(clock, 100.0, 50)
        self.assertEqual(bucket.take_or_wait_ms(30), 0)
        self.assertEqual(bucket.take_or_wait_ms(30), 101)
        self.assertEqual(bucket.tokens, 20)
        bucket.put_back(25)
        self.assertEqual(bucket.wait_ms(45), 0)
        bucket.charge(65)
        self.assertEqual(bucket.wait_ms(10), 301)
        clock.advance(500)
        bucket.skip_refill()
        self.assertEqual(bucket.tokens, -20)


class LeasedTokensTest(unittest.TestCase):
    """Grants expire by the time at which they were made."""

    def test_oldest_grants_are_used_first(self):
        """Guards against grants that lapse while younger ones are used."""
        clock = virtual_clock.VirtualClock(start_ms=1_000)
        tokens = leased_tokens.LeasedTokens(clock, LIFETIME_MS)
        tokens.add(100)
        clock.advance(500)
        tokens.add(10, granted_ms=900)
        tokens.add(50)
        self.assertFalse(tokens.take(161))
        self.assertTrue(tokens.take(40))
        self.assertEqual(tokens.available, 120)
        clock.advance(LIFETIME_MS - 500)
        self.assertEqual(tokens.available, 50)
        tokens.put_back(5)
        self.assertEqual(tokens.available, 55)
