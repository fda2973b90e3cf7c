"""Tests of the streams of the entries at the coordinator."""

from __future__ import annotations

import unittest

from balsamwall.coordination import fleet_server
from balsamwall.coordination import messages_fleet


class FakeStream:
    """Stream that records the sent messages."""

    def __init__(self):
        self.vm = ""
        self.sent = []

    def send(self, item):
        self.sent.append(item)

    def send_frame(self, frame):
        self.sent.append(frame)


class FakeCoordinator:
    """Coordinator that records which entries disconnected."""

    is_active = True

    def __init__(self):
        self.disconnected = []

    def on_entry_connected(self, vm):
        return []

    def on_entry_disconnected(self, vm):
        self.disconnected.append(vm)


class FleetServerTest(unittest.TestCase):
    """Load pattern: entries reconnect while older streams still close."""

    def setUp(self):
        self.local = []
        self.server = fleet_server.FleetServer("f0", self.local.append)
        self.coordinator = FakeCoordinator()
        self.server.set_coordinator(self.coordinator)

    def connect(self, vm):
        stream = FakeStream()
        self.server.on_stream_opened(stream)
        self.server.on_stream_message(stream, messages_fleet.FleetHello(vm))
        return stream

    def test_end_of_a_replaced_stream_keeps_the_entry(self):
        """Guards against demand that is dropped while the entry reports it."""
        old, new = self.connect("f1"), self.connect("f1")
        self.server.on_stream_closed(old)
        self.assertEqual(self.coordinator.disconnected, [])
        self.assertEqual(self.server.count, 2)
        self.server.on_stream_closed(new)
        self.assertEqual(self.coordinator.disconnected, ["f1"])

    def test_response_goes_to_one_entry(self):
        """Guards against assignments that other entries apply."""
        first, second = self.connect("f1"), self.connect("f2")
        item = messages_fleet.PromptAssignment(1, "e1")
        self.server.send("f2", item)
        self.server.send("f0", item)
        self.server.send("f3", item)
        self.assertEqual(
            (first.sent, second.sent, self.local), ([], [item], [item])
        )
