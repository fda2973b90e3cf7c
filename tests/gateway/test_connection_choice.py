"""Tests of the preference for servers with an idle connection."""

from __future__ import annotations

import unittest

from balsamwall.gateway import server_choice
from tests.fixtures import gateway_harness

REQUESTS = 50


class ConnectionChoiceTest(unittest.TestCase):
    """Load pattern: an entry sends to each server less than once a second."""

    def setUp(self):
        self.harness = gateway_harness.GatewayHarness(
            gateway_harness.make_route()
        )
        self.harness.add_servers("s1", "s2", "s3")
        self.idle = {"s2"}
        self.harness.dependencies.choice.prefer_idle(
            lambda record: record.server_id in self.idle
        )

    def count(self, server_id):
        """Return how many of the requests go to a server."""
        start = len(self.harness.pool.connections)
        for _ in range(REQUESTS):
            self.harness.send_request()
            self.harness.last_connection.respond()
        sent = self.harness.pool.connections[start:]
        return sum(item.server_id == server_id for item in sent)

    def test_equal_server_with_an_idle_connection_is_preferred(self):
        """Guards against a new connection that is not needed."""
        self.assertEqual(self.count("s2"), REQUESTS)

    def test_busy_server_is_not_preferred(self):
        """Guards against load that gathers at servers in use."""
        server = self.harness.directory.get("s2")
        server.in_flight = 4
        self.assertLess(
            server_choice.NEW_CONNECTION_PENALTY_MS,
            server_choice.load_penalty_ms(4, 8),
        )
        self.assertEqual(self.count("s2"), 0)

    def test_servers_without_idle_connections_share_the_requests(self):
        """Guards against one server that gets all requests."""
        self.idle.clear()
        self.assertLess(self.count("s2"), REQUESTS * 2 // 3)
