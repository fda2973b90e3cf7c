"""Tests of crash attribution."""

from __future__ import annotations

import unittest

from balsamwall.execution import crash_attribution
from balsamwall.timing import virtual_clock

SUSPECT = crash_attribution.FingerprintStatus.SUSPECT
CLEAN = crash_attribution.FingerprintStatus.CLEAN


class CrashAttributionTest(unittest.TestCase):
    """Guard against crash judgements that differ between agents."""

    def setUp(self):
        self.clock = virtual_clock.VirtualClock()
        self.sent = []
        self.peers = [
            crash_attribution.CrashAttribution(
                self.clock, name, self.sent.append
            )
            for name in ("a", "b", "c")
        ]

    def deliver(self):
        while self.sent:
            item = self.sent.pop(0)
            for peer in self.peers:
                peer.on_verdict(item)

    def test_suspicion_reaches_other_agents(self):
        """Otherwise a resend to another agent would crash its server too."""
        self.peers[0].on_crash([b"p"], None)
        self.deliver()
        self.assertIs(SUSPECT, self.peers[2].status(b"p"))
        self.peers[1].on_trial_passed(b"p")
        self.deliver()
        self.assertIs(CLEAN, self.peers[2].status(b"p"))

    def test_late_suspicion_keeps_quarantine(self):
        """A later suspicion must not replace a quarantine in force.

        The crashing request would run again.
        """
        self.peers[0].on_crash([], b"p")
        self.deliver()
        self.clock.advance(10)
        self.peers[1]._issue_judgement(b"p", "suspect", 1_000, "late")
        self.deliver()
        self.assertTrue(self.peers[0].is_quarantined(b"p"))

    def test_expiry_and_clear(self):
        """Quarantines must end; else a request would be refused for ever."""
        self.peers[0].on_crash([], b"p")
        self.deliver()
        self.assertEqual(1, len(self.peers[1].active_judgements()))
        self.assertTrue(self.peers[1].clear(b"p", "operator"))
        self.deliver()
        self.assertFalse(self.peers[0].is_quarantined(b"p"))
        self.peers[0].on_crash([], b"q")
        self.clock.advance(crash_attribution.QUARANTINE_DURATION_MS)
        self.assertFalse(self.peers[0].is_quarantined(b"q"))

    def test_one_trial_at_a_time(self):
        """Concurrent trials of one request could crash several servers."""
        self.assertTrue(self.peers[1].claim_trial(b"p", 9_000))
        self.assertTrue(self.peers[0].claim_trial(b"p", 9_000))
        self.deliver()
        holders = [peer.has_trial(b"p") for peer in self.peers]
        self.assertEqual([True, False, False], holders)
        self.peers[0].end_trial(b"p")
        self.deliver()
        self.assertTrue(self.peers[2].claim_trial(b"p", 9_000))
