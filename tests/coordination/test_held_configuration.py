"""Tests of a configuration that only the coordinator holds."""

from __future__ import annotations

import unittest

from balsamwall.coordination import held_configuration
from balsamwall.coordination import messages_fleet
from balsamwall.gateway import configuration_holder
from balsamwall.timing import virtual_clock
from tests.fixtures import gateway_harness


def make_holder(version, stored_version=None):
    holder = configuration_holder.ConfigurationHolder()
    configuration = gateway_harness.make_configuration(version)
    holder.offer(configuration, b"document %d" % version)
    holder.on_stored(stored_version or version)
    return holder


class HeldConfigurationTest(unittest.TestCase):
    """Load pattern: an entry starts while the store has an older version."""

    def setUp(self):
        self.clock = virtual_clock.VirtualClock(start_ms=1_000)
        self.applied = []
        self.reader = held_configuration.HeldConfigurationReader(
            self.clock, make_holder(4), self.applied.append
        )

    def test_lost_version_is_passed_on(self):
        """Guards against an older configuration at an entry that starts."""
        coordinator = make_holder(9, stored_version=4)
        loads = held_configuration.with_version(coordinator, {"s1": 2})
        query = self.reader.on_loads(loads)
        self.assertEqual(query, messages_fleet.ConfigurationQuery(4))
        self.reader.apply(held_configuration.respond(coordinator))
        self.assertEqual(self.applied, [b"document 9"])

    def test_nothing_is_sent_while_the_store_has_it(self):
        """Guards against messages that earlier builds do not know."""
        coordinator = make_holder(9)
        self.assertEqual(held_configuration.with_version(coordinator, {}), {})
        self.assertIsNone(held_configuration.respond(coordinator))
        coordinator.on_stored(4)
        coordinator.on_stored(9)
        self.assertEqual(held_configuration.with_version(coordinator, {}), {})

    def test_query_is_repeated_after_a_time(self):
        """Guards against a document for each state of the fleet."""
        loads = {held_configuration.VERSION_KEY: 9}
        self.assertIsNotNone(self.reader.on_loads(loads))
        self.assertIsNone(self.reader.on_loads(loads))
        self.clock.advance(held_configuration.QUERY_INTERVAL_MS)
        self.assertIsNotNone(self.reader.on_loads(loads))

    def test_entry_with_the_version_does_not_ask(self):
        """Guards against a query of every entry after each restore."""
        loads = {held_configuration.VERSION_KEY: 4}
        self.assertIsNone(self.reader.on_loads(loads))

    def test_document_beyond_a_frame_is_not_offered(self):
        """Guards against a stream that ends again and again."""
        coordinator = configuration_holder.ConfigurationHolder()
        coordinator.offer(
            gateway_harness.make_configuration(9),
            b"x" * (held_configuration.MAX_DOCUMENT_BYTES + 1),
        )
        coordinator.on_stored(4)
        self.assertEqual(held_configuration.with_version(coordinator, {}), {})
        self.assertIsNone(held_configuration.respond(coordinator))
