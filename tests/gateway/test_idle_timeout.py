"""Tests of how long idle connections to backend servers are kept."""

from __future__ import annotations

import unittest

from balsamwall.gateway import connection_pool
from balsamwall.gateway import idle_timeout
from tests.fixtures import dropping_service
from tests.fixtures import gateway_harness


class IdleTimeoutTest(unittest.TestCase):
    """Load pattern: fewer requests per second than pairs with a server."""

    def check(self, service, max_opened, max_resets=0.005, seconds=180):
        opened, resets = service.run(seconds, is_repeatable=True)
        self.assertLessEqual(opened, max_opened)
        self.assertLessEqual(resets, max_resets)

    def test_stated_time_that_is_kept_is_used(self):
        """Guards against a new connection for most of the requests."""
        service = dropping_service.DroppingService(15, 15_000)
        self.check(service, 0.3, 0.0, seconds=60)
        self.check(service, 0.05, 0.0)

    def test_connections_that_are_dropped_early_are_not_reused(self):
        """Guards against requests that are reset."""
        self.check(dropping_service.DroppingService(15, 5_000), 0.35)

    def test_servers_that_state_nothing(self):
        """Guards against resets without any stated time, and against none."""
        self.check(dropping_service.DroppingService(0, 8_000), 0.25)
        self.check(dropping_service.DroppingService(0, 60_000), 0.15, 0.0)

    def test_short_stated_time_is_respected(self):
        """Guards against a request that meets the close of its connection."""
        service = dropping_service.DroppingService(2, 2_000)
        self.check(service, 1.0, 0.0)

    def test_time_that_becomes_shorter_is_learned_again(self):
        """Guards against resets that go on after a change of the servers."""
        service = dropping_service.DroppingService(15, 15_000)
        service.run(60, is_repeatable=True)
        service.lifetime_ms = 5_000
        self.check(service, 0.35, 0.008)
        self.check(service, 0.35)

    def test_time_that_becomes_longer_is_learned_again(self):
        """Guards against a short time that is kept for ever."""
        service = dropping_service.DroppingService(15, 5_000)
        service.run(120, is_repeatable=True)
        service.lifetime_ms = 15_000
        service.run(300, is_repeatable=True)
        self.check(service, 0.05, 0.0)

    def test_request_that_must_not_be_repeated_tries_no_longer_time(self):
        """Guards against requests that are lost to learn the time."""
        service = dropping_service.DroppingService(15, idle_timeout.INITIAL_MS)
        _, resets = service.run(120)
        self.assertEqual(resets, 0.0)

    def test_failed_server_does_not_shorten_the_time(self):
        """Guards against new connections after the crash of one server."""
        service = dropping_service.DroppingService(15, 15_000)
        service.run(60, is_repeatable=True)
        service.lifetime_ms = 0
        for _ in range(3):
            service.request(service.records[0], is_repeatable=True)
        service.lifetime_ms = 15_000
        self.check(service, 0.05, 0.0)

    def test_connection_of_an_unrepeatable_request_is_kept(self):
        """Guards against a new connection for the request that follows."""
        service = dropping_service.DroppingService(15, 15_000)
        service.request(service.records[0], is_fresh=True)
        self.assertTrue(service.pool.has_idle(service.records[0]))
        service.request(service.records[0], is_repeatable=True)
        self.assertEqual(service.opened, 1)

    def test_least_recently_used_connection_is_closed_first(self):
        """Guards against keeping connections that were idle for longest."""
        service = dropping_service.DroppingService(15, 15_000)
        service.pool = connection_pool.ConnectionPool(
            service, service.clock, b"x-id", lambda record: 1
        )
        record = service.records[0]
        service.request(record, is_fresh=True)
        first = service.connection
        service.request(record, is_fresh=True)
        self.assertTrue(first.transport.disconnecting)
        self.assertFalse(service.connection.transport.disconnecting)

    def test_idle_connections_leave_room_for_busy_ones(self):
        """Guards against more connections than a server accepts in total."""
        self.assertEqual(connection_pool.max_idle(100, 32, 28), 2)
        self.assertEqual(connection_pool.max_idle(100, 32, 1), 16)
        self.assertEqual(connection_pool.max_idle(20, 32, 28), 1)

    def test_identifier_in_use_again_gets_another_connection(self):
        """Guards against a late second response to an earlier request.

        Callers choose the identifiers, and two of them may choose the same.
        """
        service = dropping_service.DroppingService(15, 15_000)
        service.request(service.records[0])
        service.requests -= 1
        service.request(service.records[0])
        self.assertEqual(service.opened, 2)
        service.request(service.records[0])
        self.assertEqual(service.opened, 2)

    def test_connection_to_the_process_before_is_not_reused(self):
        """Guards against requests to a server that was replaced.

        A request to it has ended after its connections were closed.
        """
        service = dropping_service.DroppingService(15, 15_000)
        service.request(service.records[0])
        old = service.connection
        service.request(
            gateway_harness.make_record("s0", host="10.0.0.2", started_ms=2)
        )
        self.assertEqual(service.opened, 2)
        self.assertTrue(old.transport.disconnecting)
