"""Tests of the holder of the orders around outages of the store."""

from __future__ import annotations

import unittest

from balsamwall.coordination import coordinator as coordinator_module
from balsamwall.gateway import backend_directory
from balsamwall.gateway import configuration_holder
from balsamwall.logs import decision_log
from balsamwall.timing import virtual_clock


class FakeLease:
    """Lease that a test gives and takes."""

    def __init__(self):
        self.is_held = False
        self.revision = 0


class FakeLinks:
    """Streams to a number of entries."""

    def __init__(self):
        self.count = 5
        self.sent = []

    def broadcast(self, item):
        self.sent.append(item)

    def close_all(self):
        self.count = 1


class CoordinatorTest(unittest.TestCase):
    """Orders stop when another entry may give them."""

    def setUp(self):
        self.clock = virtual_clock.VirtualClock(start_ms=1_000)
        self.lease = FakeLease()
        self.links = FakeLinks()
        self.is_connected = True
        self.coordinator = coordinator_module.Coordinator(
            self.clock,
            configuration_holder.ConfigurationHolder(),
            backend_directory.BackendDirectory(self.clock.now_ms),
            self.lease,
            None,
            self.links,
            decision_log.DecisionLog(self.clock),
            lambda: self.is_connected,
        )
        self.coordinator.start()
        self.lease.is_held, self.lease.revision = True, 7
        self.clock.advance(500)

    def lose_lease(self):
        self.lease.is_held = False
        self.clock.advance(500)

    def test_holder_has_the_token_of_its_lease(self):
        """Guards against orders without a fencing token."""
        self.assertEqual(self.coordinator.fencing_token, 7)

    def test_lost_lease_ends_the_orders(self):
        """Guards against two holders while the store is there."""
        self.lose_lease()
        self.assertEqual(self.coordinator.fencing_token, 0)

    def test_orders_go_on_while_the_store_is_away(self):
        """Guards against models that are not loaded in an outage."""
        self.is_connected = False
        self.lose_lease()
        self.assertEqual(self.coordinator.fencing_token, 7)
        self.is_connected = True
        self.assertEqual(self.coordinator.fencing_token, 0)

    def test_holder_that_is_cut_off_alone_stops(self):
        """Guards against a holder whose entries follow a newer one."""
        self.is_connected = False
        self.links.count = 2
        self.lose_lease()
        self.assertEqual(self.coordinator.fencing_token, 0)

    def test_refused_token_ends_the_orders(self):
        """Guards against orders after a newer holder's."""
        self.is_connected = False
        self.coordinator.on_fenced()
        self.clock.advance(500)
        self.assertEqual(self.coordinator.fencing_token, 0)

    def test_outage_without_end_ends_the_orders(self):
        """Guards against a VM that never learns of its successor."""
        self.is_connected = False
        self.lose_lease()
        self.clock.advance(coordinator_module.MAX_WITHOUT_LEASE_MS)
        self.assertEqual(self.coordinator.fencing_token, 0)
