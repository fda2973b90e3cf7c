"""Tests of the store in the key-value service."""

from __future__ import annotations

import random
import unittest

from returns.result import Success

from balsamwall.configuration import configuration_store
from balsamwall.configuration import document_codec
from balsamwall.configuration import exceptions
from balsamwall.results import result_code
from balsamwall.timing import virtual_clock
from tests.configuration import fakes

CODE = result_code.ResultCode


class ConfigurationStoreTest(unittest.TestCase):
    """Guard against lost and doubled changes."""

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

    def test_lost_answer_is_resolved_by_reading_back(self) -> None:
        """A write repeated after a lost answer must not count twice."""
        self.service.lost_answers = 1
        results = self.write("c1", 0)
        self.clock.advance(4_000)
        self.assertEqual(1, results[0].unwrap().revision)
        self.assertEqual(1, self.read().revision)
        again = self.write("c1", 0)
        self.clock.advance(100)
        self.assertEqual(1, again[0].unwrap().revision)
        self.assertEqual(1, self.service.revision)

    def test_late_first_swap_takes_effect_once(self) -> None:
        """A swap that arrives after its retry must not be applied again."""
        self.service.swap_delay_ms = 2_500
        results = self.write("c1", 0)
        self.clock.advance(10_000)
        self.assertEqual(1, len(results))
        self.assertEqual(1, results[0].unwrap().revision)
        self.assertEqual(1, self.service.revision)

    def test_racing_writers_get_one_winner_and_a_conflict(self) -> None:
        """Both operators would believe that their change is in force."""
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
        """The claim that nothing was written needs that no swap was sent."""
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
        """A document above 1 MB is refused by the key-value service."""
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
        """R8: a store that lost its data must not lead back."""
        results = self.write("c1", 0, floor=41)
        self.clock.advance(100)
        self.assertEqual(42, results[0].unwrap().revision)
