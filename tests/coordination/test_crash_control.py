"""Tests of the exchange of evidence on crashes with the entries."""

from __future__ import annotations

import unittest

from balsamwall.coordination import content_evidence
from balsamwall.coordination import crash_control
from balsamwall.coordination import crash_evidence
from balsamwall.coordination import messages_fleet
from balsamwall.gateway import quarantine
from balsamwall.logs import decision_log
from balsamwall.timing import virtual_clock

CONTENT, REQUEST = [b"c" * 16], b"r" * 16


class CrashControlTest(unittest.TestCase):
    """What is held back is the same at all entries."""

    def setUp(self):
        self.clock = virtual_clock.VirtualClock(start_ms=10_000)
        self.sent = []
        self.control = crash_control.CrashControl(
            self.clock, self, decision_log.DecisionLog(self.clock)
        )

    def broadcast(self, item):
        if isinstance(item, messages_fleet.QuarantineNotice):
            self.sent.append(item.remaining_ms)

    def crash_servers(self, *processes):
        """Let an entry report requests that broke on each of the servers."""
        for number, process in enumerate(processes):
            self.clock.advance(content_evidence.ROUND_MS if number else 0)
            self.control.on_message(
                messages_fleet.BrokenRequestReport(
                    process, REQUEST, CONTENT, True, 0
                )
            )
            self.control.on_message(messages_fleet.ProcessLost(process))

    def notify(self, remaining_ms):
        self.control.on_message(
            messages_fleet.QuarantineNotice(CONTENT, remaining_ms)
        )

    def test_known_content_is_announced_once_until_it_expires(self):
        """Guards against entries that forget before the coordinator."""
        self.notify(quarantine.QUARANTINE_MS)
        self.clock.advance(1_000)
        self.notify(quarantine.QUARANTINE_MS)
        self.assertEqual(self.sent, [quarantine.QUARANTINE_MS])
        self.clock.advance(quarantine.QUARANTINE_MS - 1_000)
        self.notify(quarantine.QUARANTINE_MS)
        self.assertEqual(len(self.sent), 2)

    def test_entry_that_connects_is_asked_for_proofs(self):
        """Guards against proofs that an entry had while it was not asked."""
        self.crash_servers("s1", "s2")
        self.clock.advance(1_000)
        (query,) = [
            item for item in self.control.notices() if item.content in CONTENT
        ]
        self.assertEqual(query.within_ms, 1_300)

    def test_proof_from_before_the_crashes_releases_nothing(self):
        """Guards against content that servers responded to until a change."""
        self.notify(quarantine.QUARANTINE_MS)
        self.crash_servers("s1", "s2")
        self.control.on_message(messages_fleet.ProofReport(CONTENT))
        self.assertNotIn(0, self.sent)
        self.clock.advance(crash_evidence.DECISION_DELAY_MS)
        self.control.on_message(messages_fleet.ProofReport(CONTENT))
        self.assertIn(0, self.sent)

    def test_released_content_is_not_held_back_by_an_old_notice(self):
        """Guards against an entry that missed the release."""
        self.notify(5_000)
        self.control.on_message(messages_fleet.ProofReport(CONTENT))
        self.notify(4_000)
        self.assertEqual(self.sent, [5_000, 0, 0])
        self.assertEqual(self.control.notices(), [])
