"""Tests of the attribution of crashes to the content of requests."""

from __future__ import annotations

import unittest

from balsamwall.coordination import content_evidence
from balsamwall.coordination import crash_evidence
from balsamwall.gateway import broken_request
from balsamwall.gateway import caller_exchange
from balsamwall.gateway import crash_suspects
from balsamwall.gateway import fingerprints
from balsamwall.gateway import incoming_request
from balsamwall.gateway import quarantine
from balsamwall.logs import decision_log
from balsamwall.timing import virtual_clock
from tests.fixtures import gateway_harness

BAD, SOUND, FIRST = b"b" * 16, b"s" * 16, b"f" * 16


class CrashEvidenceTest(unittest.TestCase):
    """Three crashed processes quarantine content, fewer do not."""

    def setUp(self):
        self.clock = virtual_clock.VirtualClock(start_ms=10_000)
        self.quarantine = quarantine.Quarantine(self.clock)
        self.evidence = crash_evidence.CrashEvidence(
            self.clock, self.quarantine
        )
        self.quarantined = []
        self.released = []
        self.watched = []
        self.requests = 0

    def apply(self, findings):
        self.quarantined += findings.quarantined
        self.released += findings.released
        for content in findings.quarantined:
            self.quarantine.add(content, 1_000_000)
        self.watched += [watch.content for watch in findings.watches]
        if self.evidence.is_decision_due:
            self.clock.call_later(
                crash_evidence.DECISION_DELAY_MS,
                lambda: self.apply(self.evidence.decide()),
            )

    def break_request(self, process, parts, at_ms, is_at_begin=True):
        """Let an entry report a request with these parts."""
        self.requests += 1
        found = fingerprints.RequestFingerprints(
            self.requests.to_bytes(16, "big"), frozenset(parts)
        )
        broken = broken_request.BrokenRequest(
            process, found, is_at_begin, at_ms
        )
        self.apply(self.evidence.on_broken(broken))

    def crash(self, process, *requests, gap_ms=1_000, is_at_begin=True):
        """Let three entries report requests and the loss of a process."""
        now_ms = self.clock.now_ms()
        for _ in range(3):
            for parts in requests:
                self.break_request(process, parts, now_ms, is_at_begin)
            self.apply(self.evidence.on_lost(process))
        self.clock.advance(gap_ms)

    def test_one_crash_with_many_equal_requests_does_not_quarantine(self):
        """Guards against quarantining a frequent request after one crash."""
        self.crash("s1", *[[SOUND]] * 5)
        self.assertEqual((self.quarantined, self.watched), ([], []))

    def test_third_crashed_process_quarantines(self):
        """Guards against a request that crashes further servers."""
        self.crash("s1@1", [BAD])
        self.crash("s2@1", [BAD])
        self.assertEqual(self.quarantined, [])
        self.crash("s1@2", [BAD])
        self.assertIn(frozenset([BAD]), self.quarantined)

    def crash_in_succession(self, name, request, parts):
        """Let one request follow the crashes of three servers."""
        found = fingerprints.RequestFingerprints(request, frozenset(parts))
        for number in range(3):
            sent_ms = self.clock.now_ms()
            self.clock.advance(50)
            process = f"{name}{number}"
            self.apply(
                self.evidence.on_broken(
                    broken_request.BrokenRequest(
                        process, found, True, sent_ms + 50, sent_ms
                    )
                )
            )
            self.apply(self.evidence.on_lost(process))
        self.clock.advance(1_000)

    def test_parts_of_a_request_that_is_held_back_stay_suspects(self):
        """Guards against a part that is acquitted by the request it is in."""
        self.crash_in_succession("s", b"1" * 16, [BAD, FIRST])
        self.assertEqual(self.quarantined, [frozenset([b"1" * 16])])
        for number, name in enumerate("tu"):
            self.evidence.on_proven(frozenset([FIRST]))
            self.crash(f"{name}1", [BAD, FIRST])
            self.assertEqual(frozenset([BAD]) in self.quarantined, number == 1)

    def test_request_that_is_moved_with_the_one_at_fault_is_not_blamed(self):
        """Guards against blame for a sound request on the same servers."""
        bad, sound = b"1" * 16, b"2" * 16
        for number in range(4):
            sent_ms = self.clock.now_ms()
            self.clock.advance(50)
            for request in (bad, sound) if number < 3 else (bad,):
                found = fingerprints.RequestFingerprints(request, frozenset())
                self.apply(
                    self.evidence.on_broken(
                        broken_request.BrokenRequest(
                            f"s{number}", found, False, sent_ms + 50, sent_ms
                        )
                    )
                )
            self.apply(self.evidence.on_lost(f"s{number}"))
            self.clock.advance(1_000 if number == 2 else 0)
            if number == 2:
                self.assertEqual(self.quarantined, [])
        self.clock.advance(1_000)
        self.assertEqual(self.quarantined, [frozenset([bad])])

    def test_request_that_is_moved_with_a_part_at_fault_is_not_blamed(self):
        """Guards against blame for a stream that is resumed at each crash."""
        for number in range(3):
            sent_ms = self.clock.now_ms()
            self.clock.advance(50)
            for request, parts in (
                (b"1" * 16, [FIRST]),
                (b"%d" % (2 + number) * 16, [FIRST, BAD]),
            ):
                found = fingerprints.RequestFingerprints(
                    request, frozenset(parts)
                )
                self.apply(
                    self.evidence.on_broken(
                        broken_request.BrokenRequest(
                            f"s{number}", found, True, sent_ms + 50, sent_ms
                        )
                    )
                )
            self.apply(self.evidence.on_lost(f"s{number}"))
        self.clock.advance(1_000)
        self.assertEqual(self.quarantined, [])

    def test_servers_that_crash_together_count_once(self):
        """Guards against blaming frequent content for the loss of a zone."""
        for number in range(6):
            self.crash(f"s{number}", [SOUND], gap_ms=10)
        self.assertEqual(self.quarantined, [])

    def test_proven_content_begins_again(self):
        """Guards against blaming content that servers respond to."""
        for number in range(6):
            self.crash(f"s{number}", [SOUND, BAD], [SOUND])
            self.evidence.on_proven(frozenset([SOUND]))
        self.assertEqual(set(self.quarantined), {frozenset([BAD])})

    def test_report_from_before_a_proof_is_void(self):
        """Guards against evidence that a new coordinator gets again."""
        at_ms = self.clock.now_ms()
        self.clock.advance(1_000)
        self.evidence.on_proven(frozenset([SOUND]))
        for process in ("s1", "s2", "s3"):
            self.evidence.on_lost(process)
            self.break_request(process, [SOUND], at_ms)
            at_ms += content_evidence.ROUND_MS
        self.clock.advance(crash_evidence.DECISION_DELAY_MS)
        self.assertEqual((self.quarantined, self.watched), ([], []))

    def test_content_seen_only_together_is_held_back_together(self):
        """Guards against a caller that has the content of others refused."""
        for number in range(3):
            self.crash(f"s{number}", [BAD, SOUND])
        self.assertEqual(set(self.quarantined), {frozenset([BAD, SOUND])})
        self.crash("s3", [BAD])
        self.assertIn(frozenset([BAD]), self.quarantined)
        self.assertNotIn(frozenset([SOUND]), self.quarantined)

    def test_requests_that_waited_need_more_crashes(self):
        """Guards against blaming content that only waited at the servers."""
        for number in range(5):
            self.crash(f"s{number}", [SOUND], is_at_begin=False)
        self.assertEqual(self.quarantined, [])
        self.crash("s5", [SOUND], is_at_begin=False)
        self.assertEqual(set(self.quarantined), {frozenset([SOUND])})

    def test_crashes_of_known_content_say_nothing_of_other_content(self):
        """Guards against blaming content that comes with what is at fault."""
        for number in range(3):
            now_ms = self.clock.now_ms()
            self.break_request(f"s{number}", [SOUND], now_ms, False)
            self.crash(f"s{number}", [BAD])
        self.assertEqual(set(self.quarantined), {frozenset([BAD])})
        self.quarantine.add(frozenset([BAD]), 1_000_000)
        for number in range(3, 6):
            self.crash(f"s{number}", [BAD, FIRST, SOUND])
        self.assertEqual(set(self.quarantined), {frozenset([BAD])})

    def test_part_that_always_comes_with_the_one_at_fault(self):
        """Guards against refusing all requests that begin in the same way."""
        for number in range(4):
            now_ms = self.clock.now_ms()
            self.break_request(f"s{number}", [FIRST, SOUND], now_ms, False)
            self.break_request(f"s{number}", [FIRST], now_ms, False)
            self.crash(f"s{number}", [FIRST, BAD])
        self.assertEqual(self.quarantined[0], frozenset([FIRST, BAD]))
        self.assertTrue(all(BAD in content for content in self.quarantined))
        self.assertFalse(self.quarantine.match(frozenset([FIRST, SOUND])))

    def test_reports_of_one_entry_are_missing(self):
        """Guards against blame for a part that is in more of the reports."""
        for number in range(3):
            now_ms = self.clock.now_ms()
            self.break_request(f"s{number}", [FIRST], now_ms, False)
            self.crash(f"s{number}", [FIRST, BAD], gap_ms=50)
            self.crash(f"t{number}", [FIRST], is_at_begin=False)
        self.assertEqual(self.quarantined, [frozenset([FIRST, BAD])])
        self.assertFalse(self.quarantine.match(frozenset([FIRST, SOUND])))

    def test_part_in_waiting_requests_is_held_back_with_the_one_at_fault(self):
        """Guards against refusing a shared part whose reports are stronger."""
        self.crash("s9", [BAD], is_at_begin=False)
        for number in range(3):
            now_ms = self.clock.now_ms()
            self.break_request(f"s{number}", [FIRST, SOUND], now_ms, False)
            self.crash(f"s{number}", [FIRST, BAD])
        self.assertFalse(self.quarantine.match(frozenset([FIRST, SOUND])))
        self.assertTrue(self.quarantine.match(frozenset([FIRST, BAD])))

    def test_content_is_released_once_other_content_explains_it(self):
        """Guards against blame that stays when late reports explain it."""
        for number in range(3):
            self.crash(f"s{number}", [SOUND])
        self.assertEqual(set(self.quarantined), {frozenset([SOUND])})
        self.quarantine.add(frozenset([SOUND]), 1_000_000)
        for number in range(3):
            at_ms = 10_000 + 1_000 * number
            self.break_request(f"s{number}", [BAD], at_ms)
        self.crash("s3", [BAD])
        self.assertIn(frozenset([BAD]), self.quarantined)
        self.assertEqual(self.released, [frozenset([SOUND])])

    def test_content_proven_before_the_crashes_needs_twice_as_many(self):
        """Guards against blame while the servers crash too fast for proofs."""
        for number in range(6):
            self.assertNotIn(frozenset([FIRST]), self.quarantined)
            self.crash(f"s{number}", [FIRST], gap_ms=0)
            if number == 1:
                self.assertIn(FIRST, self.watched)
                self.evidence.on_proven(frozenset([FIRST]))
            self.clock.advance(1_000)
        self.assertIn(frozenset([FIRST]), self.quarantined)

    def test_content_that_was_never_proven_is_judged_first(self):
        """Guards against blame for a part that is in more of the reports."""
        for number in range(6):
            requests = [[FIRST], [FIRST, BAD]][: 1 if number < 3 else 2]
            self.crash(f"s{number}", *requests, gap_ms=0)
            if number == 1:
                self.evidence.on_proven(frozenset([FIRST]))
            self.clock.advance(1_000)
        self.assertTrue(self.quarantined)
        self.assertTrue(all(BAD in content for content in self.quarantined))

    def test_content_of_fewer_requests_is_judged_first(self):
        """Guards against blame for a part that is in all crashes by chance."""
        for first, bad in ((b"f" * 16, b"b" * 16), (b"b" * 16, b"f" * 16)):
            self.setUp()
            for number in range(3):
                parts = [first, bytes([number]) * 16]
                self.crash(f"s{number}", [bad], parts, [first])
            self.assertEqual(self.quarantined, [frozenset([bad])])

    def test_whole_request_that_waited_is_judged_after_a_part(self):
        """Guards against blame for equal requests at servers that crash.

        The soak with seed 1 held back three of them for 300 s.
        """
        same = fingerprints.RequestFingerprints(SOUND, frozenset([FIRST]))
        for number in range(3):
            process, now_ms = f"s{number}", self.clock.now_ms()
            waited = broken_request.BrokenRequest(process, same, False, now_ms)
            self.evidence.on_broken(waited)
            self.crash(process, [FIRST, BAD])
        self.assertEqual(set(self.quarantined), {frozenset([FIRST, BAD])})

    def test_new_term_decides_when_all_entries_have_connected(self):
        """Guards against decisions on the reports of the first entry."""
        self.apply(self.evidence.restart())
        for number in range(3):
            now_ms = self.clock.now_ms() - 1_000 * (3 - number)
            self.break_request(f"s{number}", [SOUND], now_ms)
            self.apply(self.evidence.on_lost(f"s{number}"))
        self.clock.advance(crash_evidence.SETTLE_MS - 1)
        self.assertEqual(self.quarantined, [])
        self.clock.advance(3 * crash_evidence.DECISION_DELAY_MS)
        self.assertEqual(self.quarantined, [frozenset([SOUND])])

    def test_new_term_asks_for_proofs_again(self):
        """Guards against proofs that another coordinator got meanwhile."""
        for number in range(2):
            self.crash(f"s{number}", [SOUND])
        self.watched.clear()
        self.apply(self.evidence.restart())
        self.assertIn(SOUND, self.watched)

    def test_loss_without_a_broken_request_is_ignored(self):
        """Guards against blaming requests that broke long before."""
        for process in ("s1", "s2", "s3"):
            now_ms = self.clock.now_ms()
            self.break_request(process, [SOUND], now_ms)
            self.clock.advance(crash_evidence.CONFIRMATION_MS + 1)
            self.apply(self.evidence.on_lost(process))
        self.assertEqual(self.quarantined, [])

    def test_loss_may_be_known_before_the_request(self):
        """Guards against evidence of an entry that learns of it late."""
        for process in ("s1", "s2", "s3"):
            self.evidence.on_lost(process)
            now_ms = self.clock.now_ms()
            self.clock.advance(400)
            self.break_request(process, [BAD], now_ms)
        self.clock.advance(crash_evidence.DECISION_DELAY_MS)
        self.assertEqual(self.quarantined, [frozenset([BAD])])

    def test_memory_is_bounded(self):
        """Guards against memory growth with each broken connection."""
        for number in range(3 * crash_evidence.MAX_CONTENTS):
            process = f"s{number // 50}"
            self.break_request(process, [], self.clock.now_ms())
            self.evidence.on_lost(process)
        self.assertLessEqual(
            len(self.evidence._evidence), crash_evidence.MAX_CONTENTS
        )
        self.assertLessEqual(
            len(self.evidence._processes), crash_evidence.MAX_PROCESSES
        )


class FingerprintsTest(unittest.TestCase):
    """Requests have one digest only if all of their content is equal."""

    def test_requests_that_differ_in_the_last_part(self):
        """Guards against blame for requests whose prompts are not equal."""
        head = caller_exchange.RequestHead(b"POST", b"/x", [])
        parts = (incoming_request.PromptPart("first", 40),)
        found = [
            fingerprints.of_request(
                head,
                b"",
                incoming_request.IncomingRequest(
                    b"q", "h", None, shared_parts=parts, own_part_id=own
                ),
            )
            for own in ("own1", "own2", "own2")
        ]
        self.assertEqual(found[0].parts, found[1].parts)
        self.assertNotEqual(found[0].request, found[1].request)
        self.assertEqual(found[1].request, found[2].request)


class QuarantineTest(unittest.TestCase):
    """Requests with all fingerprints of a set are held back for a time."""

    def setUp(self):
        self.clock = virtual_clock.VirtualClock(start_ms=10_000)
        self.quarantine = quarantine.Quarantine(self.clock)

    def test_only_the_whole_set_matches(self):
        """Guards against refusing requests that share a part."""
        content = frozenset([BAD, SOUND])
        self.quarantine.add(content, 1_000)
        self.assertFalse(self.quarantine.match(frozenset([SOUND, FIRST])))
        found = self.quarantine.match(frozenset([BAD, SOUND, FIRST]))
        self.assertEqual(found, content)

    def test_quarantine_expires(self):
        """Guards against content that is refused for ever."""
        self.quarantine.add(frozenset([BAD]), 1_000)
        self.clock.advance(1_001)
        self.assertFalse(self.quarantine.match(frozenset([BAD])))
        self.assertEqual(len(self.quarantine), 0)

    def test_memory_is_bounded(self):
        """Guards against memory growth with each quarantined content."""
        for number in range(2 * quarantine.MAX_ENTRIES):
            content = number.to_bytes(16, "big")
            self.quarantine.add(frozenset([content]), 1_000)
        self.assertEqual(len(self.quarantine), quarantine.MAX_ENTRIES)


class CrashSuspectsTest(unittest.TestCase):
    """An entry keeps what a later coordinator needs, and no more."""

    def setUp(self):
        self.clock = virtual_clock.VirtualClock(start_ms=10_000)
        self.suspects = crash_suspects.CrashSuspects(
            self.clock, decision_log.DecisionLog(self.clock)
        )
        self.broken, self.lost, self.proven = [], [], []
        self.suspects.set_link(self)
        self.report_broken = self.broken.append
        self.report_lost = self.lost.append
        self.report_proven = self.proven.append
        self.record = gateway_harness.make_record("s1")
        self.request = fingerprints.RequestFingerprints(FIRST, frozenset())

    def test_reports_are_repeated_to_a_new_coordinator(self):
        """Guards against evidence that is lost with a coordinator."""
        self.suspects.on_broken_response(self.record, self.request, True, 1)
        self.suspects.on_server_lost(self.record)
        self.suspects.repeat_reports()
        self.assertEqual((len(self.broken), len(self.lost)), (2, 2))
        self.clock.advance(crash_suspects.REPORT_MAX_AGE_MS + 1)
        self.suspects.repeat_reports()
        self.assertEqual((len(self.broken), len(self.lost)), (2, 2))

    def test_loss_is_reported_once(self):
        """Guards against a report for each refused connection."""
        for _ in range(100):
            self.suspects.on_server_lost(self.record)
        self.assertEqual(self.lost, ["s1@1"])

    def test_proof_of_the_past_and_of_the_future(self):
        """Guards against sound content without a voice."""
        self.suspects.on_proven(frozenset([SOUND]), 10_500)
        self.suspects.watch(SOUND, 10_400)
        self.suspects.watch(FIRST, 10_400)
        self.assertEqual(self.proven, [[SOUND]])
        self.suspects.on_proven(frozenset([FIRST]), 10_600)
        self.assertEqual(self.proven[1:], [frozenset([FIRST])])
        self.suspects.watch(SOUND, 10_501)
        self.assertEqual(len(self.proven), 2)

    def test_memory_is_bounded(self):
        """Guards against memory growth with each request."""
        for number in range(2 * crash_suspects.MAX_PROVEN):
            content = frozenset([number.to_bytes(16, "big")])
            self.suspects.on_proven(content, 1)
            self.suspects.on_broken_response(
                self.record, self.request, True, 1
            )
            self.suspects.watch(number.to_bytes(16, "big"), 100)
        self.assertEqual(
            len(self.suspects._proven_ms), crash_suspects.MAX_PROVEN
        )
        self.assertEqual(
            len(self.suspects._broken), crash_suspects.MAX_REPORTS
        )
        self.assertLessEqual(
            len(self.suspects._watched), crash_suspects.MAX_WATCHED
        )
