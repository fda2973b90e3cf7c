"""Tests of the memory ledger."""

from __future__ import annotations

import unittest

from balsamwall.residency import memory_ledger


class MemoryLedgerTest(unittest.TestCase):
    """Guard against charges above the capacity."""

    def setUp(self) -> None:
        self.ledger = memory_ledger.MemoryLedger(100)

    def test_full_ledger_charges_nothing(self) -> None:
        """A part of a refused charge would never be released."""
        self.assertTrue(self.ledger.charge("a", 60))
        self.assertFalse(self.ledger.charge("b", 41))
        self.assertEqual(60, self.ledger.committed_bytes)

    def test_repeated_charge_counts_once(self) -> None:
        """A repeated order must not use its memory twice."""
        self.ledger.charge("a", 60)
        self.assertTrue(self.ledger.charge("a", 60))
        self.assertEqual(60, self.ledger.committed_bytes)
        self.ledger.release("a")
        self.ledger.release("a")
        self.assertEqual(0, self.ledger.committed_bytes)

    def test_adopted_memory_leaves_nothing_free(self) -> None:
        """What the engine holds counts even above the capacity."""
        self.ledger.charge_existing("a", 120)
        self.assertEqual(0, self.ledger.free_bytes)
        self.assertFalse(self.ledger.charge("b", 1))

    def test_part_is_kept_until_all_is_charged(self) -> None:
        """A load would starve if requests took each freed byte first."""
        self.ledger.charge("kv", 70)
        self.assertFalse(self.ledger.charge_up_to("load", 50))
        self.assertEqual(0, self.ledger.free_bytes)
        self.ledger.release("kv")
        self.assertTrue(self.ledger.charge_up_to("load", 50))
        self.assertEqual(50, self.ledger.free_bytes)
