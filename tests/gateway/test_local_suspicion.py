"""Tests of holding requests back without a coordinator."""

from __future__ import annotations

import unittest

from balsamwall.gateway import local_suspicion
from balsamwall.timing import virtual_clock


class LocalSuspicionTest(unittest.TestCase):
    """Load pattern: one request crashes two servers, and never returns."""

    def setUp(self):
        self.clock = virtual_clock.VirtualClock(start_ms=1_000)
        self.local = local_suspicion.LocalSuspicion(self.clock)
        for number in range(local_suspicion.MIN_CRASHES):
            self.local.on_broken(b"r", f"s{number}", self.clock.now_ms())
            self.clock.advance(10)

    def test_others_need_a_digest_only_while_it_is_held_back(self):
        """Guards against digests of all requests for ever."""
        self.clock.advance(local_suspicion.FIRST_HOLD_MS - 30)
        self.assertTrue(self.local)
        self.clock.advance(30)
        self.assertFalse(self.local)

    def test_later_crash_holds_it_back_again(self):
        """Guards against a request that is forgotten with its hold."""
        self.clock.advance(local_suspicion.FIRST_HOLD_MS)
        self.assertFalse(self.local)
        self.local.on_broken(b"r", "s9", self.clock.now_ms())
        self.assertTrue(self.local)
        left_ms = self.local.remaining_ms(b"r", is_coordinated=False)
        self.assertEqual(left_ms, 2 * local_suspicion.FIRST_HOLD_MS)

    def test_second_send_to_a_crashed_process_is_no_crash(self):
        """Guards against sound requests that are held back after one crash.

        The loss of the process is not known yet at the second send.
        """
        for _ in range(3):
            self.local.on_broken(b"sound", "s1", self.clock.now_ms())
            self.clock.advance(5)
        left_ms = self.local.remaining_ms(b"sound", is_coordinated=False)
        self.assertEqual(left_ms, 0)
