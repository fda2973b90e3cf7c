"""Tests of how long idle connections to backend servers are kept."""

from __future__ import annotations

import random
import unittest

from twisted.internet import error
from twisted.python import failure

from balsamwall.gateway import connection_pool
from balsamwall.gateway import idle_timeout
from balsamwall.timing import virtual_clock
from tests.fixtures import gateway_harness
from tests.fixtures import recording_transport

SERVERS = 26
REQUESTS_PER_S = 10.0
RESPONSE = b"HTTP/1.1 200 OK\r\nx-id: %s\r\ncontent-length: 0\r\n"


class Service:
    """Servers that drop idle connections without notice."""

    def __init__(self, stated_s, lifetime_ms):
        self.clock = virtual_clock.VirtualClock(start_ms=10_000)
        self.stated_s = stated_s
        self.lifetime_ms = lifetime_ms
        self.opened = self.requests = self.reuses = self.resets = 0
        self.connection = None
        self.last_used_ms = {}
        self.pool = connection_pool.ConnectionPool(self, self.clock, b"x-id")
        self.pool.start()
        self.records = [
            gateway_harness.make_record(f"s{i}") for i in range(SERVERS)
        ]

    # Reactor

    def connectTCP(self, host, port, factory, timeout):  # noqa: N802
        self.opened += 1
        connection = factory.buildProtocol(None)
        connection.connectionMade = lambda: None
        transport = recording_transport.RecordingTransport()
        connection.makeConnection(transport)
        return transport

    def callLater(self, delay_s, function, *args):  # noqa: N802
        self.clock.call_later(int(1_000 * delay_s), function, *args)

    # Receiver and waiter of a request

    @property
    def attempt_id(self):
        return b"q%d" % self.requests

    def on_connected(self, connection):
        self.connection = connection
        connection.send(b"GET", b"/", [(b"host", b"h")], b"", self)

    def on_head(self, status, fields, framing):
        pass

    def on_end(self):
        pass

    def on_broken(self, reason, detail):
        self.resets += 1

    def request(self, record, **changes):
        self.requests += 1
        opened = self.opened
        self.pool.acquire(record, self, **changes)
        self.clock.advance(1)
        connection, now_ms = self.connection, self.clock.now_ms()
        idle_ms = now_ms - self.last_used_ms.get(connection, now_ms)
        self.reuses += opened == self.opened
        if idle_ms > self.lifetime_ms:
            connection.connectionLost(failure.Failure(error.ConnectionLost()))
            return
        self.last_used_ms[connection] = now_ms
        stated = b""
        if self.stated_s:
            stated = b"keep-alive: timeout=%d\r\n" % self.stated_s
        response = RESPONSE % self.attempt_id
        connection.dataReceived(response + stated + b"\r\n")

    def run(self, seconds, **changes):
        """Send requests at random; return opened per request and resets."""
        source = random.Random(3)
        self.opened = self.requests = self.reuses = self.resets = 0
        end_ms = self.clock.now_ms() + 1_000 * seconds
        while self.clock.now_ms() < end_ms:
            gap_ms = 1_000 * source.expovariate(REQUESTS_PER_S)
            self.clock.advance(int(gap_ms))
            self.request(source.choice(self.records), **changes)
        return self.opened / self.requests, self.resets / self.reuses


class IdleTimeoutTest(unittest.TestCase):
    """Load pattern: fewer requests per second than pairs with a server."""

    def check(self, service, max_opened, max_resets=0.005, seconds=180):
        opened, resets = service.run(seconds, is_repeatable=True)
        self.assertLessEqual(opened, max_opened)
        self.assertLessEqual(resets, max_resets)

    def test_stated_time_that_is_kept_is_used(self):
        """Guards against a new connection for most of the requests."""
        service = Service(15, 15_000)
        self.check(service, 0.3, 0.0, seconds=60)
        self.check(service, 0.05, 0.0)

    def test_connections_that_are_dropped_early_are_not_reused(self):
        """Guards against requests that are reset."""
        self.check(Service(15, 5_000), 0.35)

    def test_servers_that_state_nothing(self):
        """Guards against resets without any stated time, and against none."""
        self.check(Service(0, 8_000), 0.25)
        self.check(Service(0, 60_000), 0.15, 0.0)

    def test_short_stated_time_is_respected(self):
        """Guards against a request that meets the close of its connection."""
        service = Service(2, 2_000)
        self.check(service, 1.0, 0.0)

    def test_time_that_becomes_shorter_is_learned_again(self):
        """Guards against resets that go on after a change of the servers."""
        service = Service(15, 15_000)
        service.run(60, is_repeatable=True)
        service.lifetime_ms = 5_000
        self.check(service, 0.35, 0.008)
        self.check(service, 0.35)

    def test_time_that_becomes_longer_is_learned_again(self):
        """Guards against a short time that is kept for ever."""
        service = Service(15, 5_000)
        service.run(120, is_repeatable=True)
        service.lifetime_ms = 15_000
        service.run(300, is_repeatable=True)
        self.check(service, 0.05, 0.0)

    def test_request_that_must_not_be_repeated_tries_no_longer_time(self):
        """Guards against requests that are lost to learn the time."""
        service = Service(15, idle_timeout.INITIAL_MS)
        _, resets = service.run(120)
        self.assertEqual(resets, 0.0)

    def test_failed_server_does_not_shorten_the_time(self):
        """Guards against new connections after the crash of one server."""
        service = Service(15, 15_000)
        service.run(60, is_repeatable=True)
        service.lifetime_ms = 0
        for _ in range(3):
            service.request(service.records[0], is_repeatable=True)
        service.lifetime_ms = 15_000
        self.check(service, 0.05, 0.0)

    def test_connection_of_an_unrepeatable_request_is_kept(self):
        """Guards against a new connection for the request that follows."""
        service = Service(15, 15_000)
        service.request(service.records[0], is_fresh=True)
        self.assertTrue(service.pool.has_idle(service.records[0]))
        service.request(service.records[0], is_repeatable=True)
        self.assertEqual(service.opened, 1)

    def test_least_recently_used_connection_is_closed_first(self):
        """Guards against keeping connections that were idle for longest."""
        service = Service(15, 15_000)
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
        service = Service(15, 15_000)
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
        service = Service(15, 15_000)
        service.request(service.records[0])
        old = service.connection
        service.request(
            gateway_harness.make_record("s0", host="10.0.0.2", started_ms=2)
        )
        self.assertEqual(service.opened, 2)
        self.assertTrue(old.transport.disconnecting)
