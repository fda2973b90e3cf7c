"""Tests of elections after a restore of the store."""

from __future__ import annotations

import unittest

from balsamwall.coordination import election_delay
from balsamwall.timing import virtual_clock

LEASE_MS = 3_000


class ElectionDelayTest(unittest.TestCase):
    """Load pattern: the copy lacks the lease of the coordinator."""

    def setUp(self):
        self.clock = virtual_clock.VirtualClock()
        self.delay = election_delay.ElectionDelay(self.clock, LEASE_MS)

    def test_others_wait_until_the_forgotten_lease_has_ended(self):
        """Guards against two coordinators that send orders."""
        self.assertTrue(self.delay.is_over)
        self.delay.on_restored(is_holder=False)
        self.clock.advance(LEASE_MS - 1)
        self.assertFalse(self.delay.is_over)
        self.clock.advance(1)
        self.assertTrue(self.delay.is_over)

    def test_holder_is_elected_again_at_once(self):
        """Guards against models that nobody loads after each restore."""
        self.delay.on_restored(is_holder=True)
        self.assertTrue(self.delay.is_over)

    def test_second_restore_begins_the_delay_again(self):
        """Guards against a process that still counts as the holder."""
        self.delay.on_restored(is_holder=True)
        self.clock.advance(LEASE_MS)
        self.delay.on_restored(is_holder=False)
        self.assertFalse(self.delay.is_over)
