"""Tests of permits for requests that end before the permit comes."""

from __future__ import annotations

import unittest

from balsamwall.gateway import coordinator_queries
from balsamwall.gateway import server_limits
from balsamwall.limits import limit_book
from tests.fixtures import gateway_harness

# With it the entry, one of 100, has a turn of 1 s in each 1.3 s.
LIMIT_PER_S = 100.0


class FakeCoordinator:
    """Link to a coordinator whose responses are given by the test."""

    def __init__(self):
        self.numbers = []

    def send_permit_query(self, number, server_id):
        self.numbers.append(number)
        return True

    def report_limits(self, found):
        pass


class GivenUpPermitTest(unittest.TestCase):
    """A server has a limit, and the caller of a request leaves."""

    def setUp(self):
        self.harness = gateway_harness.GatewayHarness(
            gateway_harness.make_route()
        )
        # The turns of the entry begin with those of the clock.
        self.harness.random.random = lambda: 0.0
        self.harness.add_servers("s1")
        self.coordinator = FakeCoordinator()
        self.limits = self.harness.limits
        self.limits.set_link(self.coordinator)
        self.limits.on_observation(
            limit_book.LimitObservation(
                "s1", 1, LIMIT_PER_S, self.harness.clock.now_ms()
            )
        )

    def leave(self):
        """Send a request whose caller leaves before the permit comes."""
        exchange = self.harness.send_request()
        exchange.listener.on_caller_disconnected()

    def wait(self):
        self.harness.clock.advance(coordinator_queries.QUERY_TIMEOUT_MS + 1)

    @property
    def sent(self):
        return [item.request_id for item in self.harness.pool.connections]

    def test_turn_is_left_to_the_next_request(self):
        """Guards against a turn of this entry that nobody uses.

        The coordinator is silent; with a low limit the next turn is seconds
        away.
        """
        self.leave()
        self.wait()
        self.harness.send_request(attempt_id=b"q2")
        self.wait()
        self.assertEqual(self.sent, [b"q2"])

    def test_open_queries_are_given_back(self):
        """Guards against a server that stays closed to all requests."""
        for answer in (True, False):
            self.setUp()
            for _ in range(server_limits.MAX_OPEN_QUERIES):
                self.leave()
            server = self.harness.directory.get("s1")
            self.assertFalse(self.limits.is_open(server))
            if answer:
                for number in self.coordinator.numbers:
                    self.limits.on_permit(number, 0)
            else:
                self.wait()
            with self.subTest(answer):
                self.assertTrue(self.limits.is_open(server))
                self.assertEqual(self.sent, [])
