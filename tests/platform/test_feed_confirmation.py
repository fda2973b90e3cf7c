"""Tests of the age of the copy of the store."""

from __future__ import annotations

import unittest

from balsamwall.platform import feed_confirmation
from tests.fixtures import pausing_clock

PAUSE_MS = 10_000


class FeedConfirmationTest(unittest.TestCase):
    """Load pattern: a paused process reads what came during the pause."""

    def setUp(self):
        self.clock = pausing_clock.PausingClock(start_ms=10_000)
        self.confirmation = feed_confirmation.FeedConfirmation(self.clock)
        self.confirmation.on_call()
        self.clock.advance(1_500)

    def test_response_and_relayed_update(self):
        """Guards against an entry that never is confirmed."""
        self.assertIsNone(self.confirmation.at_ms)
        self.assertTrue(self.confirmation.on_response())
        self.assertEqual(self.confirmation.at_ms, 11_500)
        self.clock.advance(700)
        self.assertTrue(self.confirmation.on_relayed())
        self.assertEqual(self.confirmation.at_ms, 12_200)

    def test_response_from_before_a_pause(self):
        """Guards against an old response that counts as the present."""
        self.clock.pause(PAUSE_MS)
        self.assertFalse(self.confirmation.on_response())
        self.assertEqual(self.confirmation.at_ms, 10_000)
        self.assertEqual(self.confirmation.resumed_ms, 21_500)
        self.confirmation.on_call()
        self.assertTrue(self.confirmation.on_response())
        self.assertEqual(self.confirmation.at_ms, 21_500)

    def test_timers_that_run_first_do_not_hide_a_pause(self):
        """Guards against a pause seen only where messages come first."""
        self.clock.pause(PAUSE_MS)
        self.clock.advance(5)
        self.assertFalse(self.confirmation.on_response())

    def test_relayed_updates_from_before_a_pause(self):
        """Guards against buffered updates that confirm the present."""
        self.confirmation.on_response()
        self.clock.pause(PAUSE_MS)
        self.assertFalse(self.confirmation.on_relayed())
        self.clock.advance(100)
        self.assertFalse(self.confirmation.on_relayed())
        self.confirmation.on_call()
        self.clock.advance(5)
        self.confirmation.on_response()
        self.assertTrue(self.confirmation.on_relayed())
        self.assertEqual(self.confirmation.at_ms, self.clock.now_ms())

    def test_late_timers_are_no_pause(self):
        """Guards against refusals whenever the process is busy."""
        self.clock.pause(900)
        self.clock.advance(900)
        self.assertIsNone(self.confirmation.resumed_ms)
