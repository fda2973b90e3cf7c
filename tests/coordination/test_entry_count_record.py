"""Tests of the record of the number of entries."""

from __future__ import annotations

import unittest

from balsamwall.coordination import entry_count_record
from balsamwall.limits import fleet_size
from balsamwall.logs import decision_log
from balsamwall.timing import virtual_clock
from tests.fixtures import memory_key_value

KEY = "balsamwall/entries"
ASSUMED = 100
INTERVAL_MS = entry_count_record.WRITE_INTERVAL_MS


class EntryCountRecordTest(unittest.TestCase):
    """Load pattern: all entries restart at once, under load."""

    def setUp(self):
        self.clock = virtual_clock.VirtualClock(start_ms=1_000)
        self.store = memory_key_value.MemoryKeyValue(self.clock)
        self.size, self.record = self.make_entry()

    def make_entry(self):
        size = fleet_size.FleetSize(self.clock, ASSUMED)
        record = entry_count_record.EntryCountRecord(
            self.clock,
            self.store,
            KEY,
            size,
            decision_log.DecisionLog(self.clock),
        )
        record.start()
        self.clock.advance(INTERVAL_MS)
        return size, record

    def write(self, count):
        self.record.update(count)
        self.clock.advance(INTERVAL_MS)

    def test_restarted_entry_assumes_the_record(self):
        """Guards against shares that refuse most requests after a restart."""
        self.assertEqual(self.size.count, ASSUMED)
        self.write(31)
        size, _ = self.make_entry()
        self.assertEqual(size.count, 31)
        size.observe(25)
        self.assertEqual(size.count, 25)

    def test_small_change_is_not_written(self):
        """Guards against a write for each entry that restarts."""
        self.write(31)
        self.write(29)
        self.assertEqual(self.make_entry()[0].count, 31)
        self.write(40)
        self.assertEqual(self.make_entry()[0].count, 40)

    def test_unreadable_record_is_ignored(self):
        """Guards against a share of 0 or of everything by a bad record."""
        for text in (b"", b"0", b"-3", b"many", b"9" * 30):
            self.store.put(KEY, text, lambda result: None)
            self.clock.advance(INTERVAL_MS)
            self.assertEqual(self.make_entry()[0].count, ASSUMED)


if __name__ == "__main__":
    unittest.main()
