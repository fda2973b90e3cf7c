"""Tests of the configuration store."""

from __future__ import annotations

import random
import unittest

import hypothesis
from hypothesis import strategies
from returns.result import Success

from balsamwall.configuration import configuration_store
from balsamwall.configuration import document_codec
from balsamwall.configuration import exceptions
from balsamwall.results import result_code
from balsamwall.timing import virtual_clock
from tests.configuration import fakes

CODE = result_code.ResultCode


class ConfigurationStoreTest(unittest.TestCase):
    """Guard against lost and duplicate changes."""

    def setUp(self) -> None:
        self.clock = virtual_clock.VirtualClock()
        self.service = fakes.FakeKeyValue(self.clock)
        self.store = configuration_store.ConfigurationStore(
            self.service, self.clock
        )

    def write(self, change_id, base, results=None, files=None, floor=0):
        results = [] if results is None else results
        change = configuration_store.Change(
            fakes.parse(),
            files or {"a.ini": change_id},
            change_id,
            "ana",
            base,
            floor_revision=floor,
        )
        self.store.write(change, results.append)
        return results

    def read(self):
        results = []
        self.store.read("kovacevic", results.append)
        self.clock.advance(100)
        return results[0].unwrap()

    def test_lost_response_is_resolved_by_reading_back(self) -> None:
        """A write repeated after a lost response must not apply twice."""
        self.service.lost_responses = 1
        results = self.write("c1", 0)
        self.clock.advance(4_000)
        self.assertEqual(1, results[0].unwrap().revision)
        self.assertEqual(1, self.read().revision)
        again = self.write("c1", 0)
        self.clock.advance(100)
        self.assertEqual(1, again[0].unwrap().revision)
        self.assertEqual(1, self.service.revision)

    def test_late_first_swap_takes_effect_once(self) -> None:
        """A delayed swap that arrives around its retry must apply once."""
        for delay_ms in (2_245, *range(2_249, 2_254), 2_500):
            self.setUp()
            self.service.delay_ms = 1
            self.service.swap_delay_ms = delay_ms
            results = self.write("c1", 0)
            self.clock.advance(10_000)
            self.assertEqual(1, len(results))
            self.assertEqual(1, results[0].unwrap().revision)
            self.assertEqual(1, self.service.revision)

    def test_racing_writers_get_one_winner_and_a_conflict(self) -> None:
        """Without a conflict both operators would think that they won."""
        results = self.write("c1", 0)
        self.write("c2", 0, results)
        self.clock.advance(1_000)
        won = [r for r in results if isinstance(r, Success)]
        lost = [r.failure() for r in results if not isinstance(r, Success)]
        self.assertEqual((1, 1), (len(won), len(lost)))
        self.assertIsInstance(lost[0], exceptions.ConfigurationConflict)
        self.assertEqual(won[0].unwrap().head, lost[0].current.head)
        self.assertNotEqual(
            lost[0].current.head.change_id, lost[0].proposed.change_id
        )

    def test_outage_before_and_during_a_write(self) -> None:
        """Unavailable must not be reported once a swap may have been sent."""
        self.service.is_down = True
        results = self.write("c1", 0)
        self.clock.advance(20_000)
        self.assertIs(
            CODE.CONFIGURATION_UNAVAILABLE, results[0].failure().code
        )
        self.service.is_down = False
        results = self.write("c2", 0)
        self.service.swap_delay_ms = 15_000
        self.clock.advance(12)
        self.service.is_down = True
        self.clock.advance(13_000)
        self.assertIs(
            CODE.CONFIGURATION_OUTCOME_UNKNOWN, results[0].failure().code
        )

    def test_history_is_bounded_in_bytes_and_entries(self) -> None:
        """The key-value service rejects documents above 1 MB."""
        source = random.Random(3)
        for number in range(12):
            noise = source.randbytes(100_000).hex()
            results = self.write(f"c{number}", number, None, {"a": noise})
            self.clock.advance(100)
            self.assertEqual(number + 1, results[0].unwrap().revision)
        document = self.read()
        self.assertTrue(1 < len(document.entries) < 12)
        size = len(document_codec.encode_document(document))
        self.assertLess(size, 1_000_000)

    def test_revision_stays_above_the_known_one(self) -> None:
        """R8: a store that lost its data must not reuse a revision."""
        results = self.write("c1", 0, floor=41)
        self.clock.advance(100)
        self.assertEqual(42, results[0].unwrap().revision)

    @hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
    @hypothesis.given(strategies.integers(0, 10**6))
    def test_racing_writers_with_faults(self, seed: int) -> None:
        """Any mix of faults must apply a change once or not at all."""
        self.setUp()
        source = random.Random(seed)
        results: dict[str, list] = {}
        for number in range(12):
            change_id = f"c{number}"
            base = self.stored_revision()
            results[change_id] = []
            self.write(change_id, base, results[change_id])
            if source.random() < 0.4:
                self.service.lost_responses += 1
            if source.random() < 0.3:
                self.service.swap_delay_ms = source.randrange(6_000)
            if source.random() < 0.3:
                self.service.is_down = True
                self.clock.call_later(
                    source.randrange(15_000), self.service.end_outage
                )
            self.clock.advance(source.choice([1, 20, 400, 5_000]))
        self.clock.advance(60_000)
        self.service.end_outage()
        document = self.read()
        written = [e.change_id for e in document.entries] if document else []
        self.assertEqual(len(set(written)), len(written))
        if document is not None:
            revisions = [e.revision for e in document.entries]
            self.assertEqual(list(range(len(written), 0, -1)), revisions)
        for change_id, answers in results.items():
            self.assertEqual(1, len(answers))
            answer = answers[0]
            if isinstance(answer, Success):
                self.assertIn(change_id, written)
            elif answer.failure().code is not (
                CODE.CONFIGURATION_OUTCOME_UNKNOWN
            ):
                # This failure states that nothing was written.
                self.assertNotIn(change_id, written)

    def stored_revision(self):
        entry = self.service.entries.get("balsamwall/configuration/kovacevic")
        if entry is None:
            return 0
        return document_codec.decode_document(entry.value).revision
