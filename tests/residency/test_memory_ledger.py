"""Tests of the memory ledger."""

from __future__ import annotations

import unittest

from balsamwall.residency import memory_ledger


class MemoryLedgerTest(unittest.TestCase):
    """Guard against charges above the capacity."""

    def setUp(self) -> None:
        self.ledger = memory_ledger.MemoryLedger(100)

    def test_full_ledger_charges_nothing(self) -> None:
        """Part of a refused charge would never be released."""
        self.assertTrue(self.ledger.charge("a", 60))
        self.assertFalse(self.ledger.charge("b", 41))
        self.assertEqual(60, self.ledger.committed_bytes)

    def test_repeated_charge_counts_once(self) -> None:
        """A repeated order would be charged twice."""
        self.ledger.charge("a", 60)
        self.assertTrue(self.ledger.charge("a", 60))
        self.assertEqual(60, self.ledger.committed_bytes)
        self.ledger.release("a")
        self.ledger.release("a")
        self.assertEqual(0, self.ledger.committed_bytes)

    def test_existing_use_above_capacity_leaves_nothing_free(self) -> None:
        """Ignoring memory in use above the capacity would overcommit."""
        self.ledger.charge_existing("a", 120)
        self.assertEqual(0, self.ledger.free_bytes)
        self.assertFalse(self.ledger.charge("b", 1))

    def test_partial_charge_is_kept_until_complete(self) -> None:
        """A load would starve if requests took all freed memory first."""
        self.ledger.charge("kv", 70)
        self.assertFalse(self.ledger.charge_up_to("load", 50))
        self.assertEqual(0, self.ledger.free_bytes)
        self.ledger.release("kv")
        self.assertTrue(self.ledger.charge_up_to("load", 50))
        self.assertEqual(50, self.ledger.free_bytes)
