"""Tests of an entry's stream to the holder of the orders."""

from __future__ import annotations

import unittest

from balsamwall.coordination import fleet_client
from balsamwall.coordination import messages_fleet
from balsamwall.gateway import backend_directory
from balsamwall.gateway import residency_waits
from balsamwall.gateway import wait_forecast
from balsamwall.logs import decision_log
from balsamwall.timing import virtual_clock


class FakeStream:
    """Stream whose messages are kept."""

    def __init__(self):
        self.sent = []

    def send(self, item):
        self.sent.append(item)

    def close(self):
        pass


class FleetClientTest(unittest.TestCase):
    """An entry finds its holder without pressing one that is none."""

    def setUp(self):
        self.clock = virtual_clock.VirtualClock(start_ms=1_000)
        self.dials = []
        self.entries = []
        self.client = fleet_client.FleetClient(
            self.clock,
            "f1",
            backend_directory.BackendDirectory(self.clock.now_ms),
            list,
            dict,
            dict,
            self.dial,
            self.entries.append,
            residency_waits.ResidencyWaits(self.clock, lambda wanted: None),
            wait_forecast.WaitForecast(self.clock),
            lambda content: None,
            decision_log.DecisionLog(self.clock),
        )
        self.client.start()

    def dial(self, address):
        self.dials.append(self.clock.now_ms())
        return None

    def refuse(self):
        stream = FakeStream()
        self.client.on_stream_opened(stream)
        self.client.on_stream_closed(stream)

    def test_holder_that_closes_at_once_is_dialled_less_often(self):
        """Guards against dials five times a second without an end."""
        self.client.on_coordinator_changed("10.0.0.1:7")
        for _ in range(50):
            self.refuse()
            self.clock.advance(100)
        self.assertLessEqual(len(self.dials), 9)

    def test_new_holder_is_dialled_at_once(self):
        """Guards against a pause that belongs to an earlier holder."""
        self.client.on_coordinator_changed("10.0.0.1:7")
        self.refuse()
        self.client.on_coordinator_changed("10.0.0.2:7")
        self.assertEqual(len(self.dials), 2)

    def test_lost_holder_is_dialled_soon(self):
        """Guards against old knowledge after a short cut."""
        self.client.on_coordinator_changed("10.0.0.1:7")
        stream = FakeStream()
        self.client.on_stream_opened(stream)
        self.client.on_message(messages_fleet.FleetState(3, {}, {}, {}))
        self.clock.advance(5_000)
        self.client.on_stream_closed(stream)
        self.clock.advance(2 * fleet_client.REPORT_INTERVAL_MS)
        self.assertEqual(len(self.dials), 2)
        self.assertEqual(self.entries, [3])
