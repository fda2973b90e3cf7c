"""Tests of entries whose servers announce in responses that they leave."""

from __future__ import annotations

import time
import unittest

from soak import ledger as ledger_module
from tests.fixtures import entry_fleet

DRAIN_S = 2.0
OBSERVED_S = 3.0
# Each entry has passed on a response of each server by then.
ANNOUNCED_S = 1.5


class LeavingServerProcessTest(unittest.TestCase):
    """Three entries and three servers, of which one leaves."""

    def setUp(self):
        self.fleet = entry_fleet.EntryFleet(self)

    def test_announced_leaving_is_obeyed_without_a_record(self):
        """Guards against requests to a server that says it leaves.

        Its record in the store stays ready.
        """
        traffic = entry_fleet.Traffic(self.fleet, "first", 0.01)
        leaving = self.fleet.servers[0]
        leaving.leaving.begin()
        time.sleep(ANNOUNCED_S + DRAIN_S)
        since_ms = ledger_module.now_ms()
        time.sleep(OBSERVED_S)
        traffic.stop()
        self.assertEqual(set(traffic.statuses()), {200})
        self.assertEqual(self.fleet.runs_since(leaving.server_id, since_ms), 0)
