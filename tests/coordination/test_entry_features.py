"""Tests of the messages that builds of the fleet accept."""

from __future__ import annotations

import unittest

from balsamwall.coordination import entry_features
from balsamwall.coordination import messages_fleet
from balsamwall.coordination import speed_exchange
from balsamwall.gateway import workspace as workspace_module
from balsamwall.timing import virtual_clock
from tests.fixtures import fleet_harness
from tests.fixtures import quota_fleet

MARK = speed_exchange.ACCEPTS_SPEEDS_KEY


class FeatureTest(unittest.TestCase):
    """Load pattern: entries of two builds during an update."""

    def play(self, workspaces):
        """Return a fleet and the messages that its entries sent."""
        fleet = fleet_harness.FleetHarness(3, servers=0, workspaces=workspaces)
        numbers = []
        for entry in fleet.entries:
            link = entry.client._link
            send = link.send

            def record(item, send=send):
                numbers.append(item.NUMBER)
                send(item)

            link.send = record
            entry.client._features.restart()
        fleet.clock.advance(1_000)
        return fleet, numbers

    def test_each_entry_tells_once(self):
        """Guards against features that are sent in each interval."""
        table = workspace_module.WorkspaceTable(
            [quota_fleet.make_workspace(10, 10)]
        )
        fleet, numbers = self.play(table)
        self.assertEqual(numbers.count(messages_fleet.EntryFeatures.NUMBER), 3)
        # Nothing is reported of speeds without work times.
        self.assertNotIn(messages_fleet.ServerSpeeds.NUMBER, numbers)
        features = fleet.entries[0].coordinator._features
        self.assertTrue(features.accepts("front-0"))
        self.assertEqual(features.address("front-2"), "2")

    def test_nothing_new_without_workspaces(self):
        """Guards against a changed exchange in other deployments."""
        fleet, numbers = self.play(None)
        self.assertNotIn(messages_fleet.EntryFeatures.NUMBER, numbers)
        self.assertEqual(fleet.entries[0].coordinator._features.vms, [])

    def test_coordinator_of_an_earlier_build(self):
        """Guards against features sent to a build that closes the stream."""
        announcement = entry_features.FeatureAnnouncement("10.0.0.1:7")
        self.assertIsNone(announcement.on_loads({"s0": 1}))
        self.assertFalse(announcement.is_accepted)
        self.assertEqual(
            announcement.on_loads({MARK: 0}).address, "10.0.0.1:7"
        )
        self.assertIsNone(announcement.on_loads({MARK: 0}))
        announcement.restart()
        self.assertFalse(announcement.is_accepted)

    def test_entry_that_reconnects_with_an_earlier_build(self):
        """Guards against what was known of an earlier stream."""
        table = entry_features.FeatureTable(
            virtual_clock.VirtualClock(start_ms=1_000)
        )
        table.on_connected("f1")
        self.assertFalse(table.accepts("f1"))
        table.on_features("f1", messages_fleet.EntryFeatures("10.0.0.1:7"))
        self.assertTrue(table.accepts("f1"))
        table.on_connected("f1")
        self.assertFalse(table.accepts("f1"))
