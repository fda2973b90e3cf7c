"""Tests of entries whose servers ask for a back-off with Retry-After."""

from __future__ import annotations

import time
import unittest

from tests.fixtures import entry_fleet
from tests.fixtures import reactor_thread

BACKOFF_S = 3.0
OBSERVED_S = 5.0


class ServerBackoffProcessTest(unittest.TestCase):
    """Three entries, and three servers that turn all requests away."""

    def setUp(self):
        self.fleet = entry_fleet.EntryFleet(self)
        self.traffic = entry_fleet.Traffic(self.fleet, "first", 0.01)

    def violations(self):
        return [
            text
            for item in self.fleet.servers
            for text in item.backoff.violations(item.server_id, {})
        ]

    def test_server_gets_no_request_within_its_backoff(self):
        """Guards against requests to a server that asked for none."""
        for item in self.fleet.servers:
            reactor_thread.run(lambda item=item: item.backoff.begin(BACKOFF_S))
        time.sleep(OBSERVED_S)
        for item in self.fleet.servers:
            reactor_thread.run(item.backoff.end)
        time.sleep(BACKOFF_S)
        self.traffic.stop()
        self.assertEqual(self.violations(), [])
        self.assertEqual(set(self.traffic.statuses()), {200, 503})
        self.assertEqual(set(self.traffic.statuses()[-10:]), {200})
