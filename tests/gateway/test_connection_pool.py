"""Tests of connections that are given up, over TCP."""

from __future__ import annotations

import unittest

from twisted.internet import protocol
from twisted.internet import reactor

from balsamwall.gateway import connection_pool
from balsamwall.gateway import connection_source
from tests.fixtures import gateway_harness
from tests.fixtures import reactor_thread

RESPONSE = b"HTTP/1.1 200 OK\r\nx-id: %s\r\ncontent-length: 2\r\n\r\nok"
END = b"\r\n\r\n"
Source = connection_source.ConnectionSource


class Server(protocol.Factory):
    """Server that responds to the requests of all connections."""

    noisy = False

    def __init__(self):
        self.connections = 0
        self.requests = []

    def buildProtocol(self, addr):  # noqa: N802
        self.connections += 1
        return ServedConnection(self)


class ServedConnection(protocol.Protocol):
    """Connection that the server responds on."""

    def __init__(self, server):
        self.server = server
        self.received = b""

    def dataReceived(self, data):  # noqa: N802
        self.received += data
        while END in self.received:
            head, self.received = self.received.split(END, 1)
            attempt_id = head.split(b"x-id: ")[1]
            self.server.requests.append(attempt_id)
            self.transport.write(RESPONSE % attempt_id)


class Request:
    """Request that is sent as soon as there is a connection."""

    def __init__(self, attempt_id, done=None):
        self.attempt_id = attempt_id
        self.connection = None
        self.events = []
        self._done = done

    def _end(self, event):
        self.events.append(event)
        if self._done is not None:
            self._done(self)

    def on_connected(self, connection):
        self.connection = connection
        fields = [(b"host", b"h"), (b"x-id", self.attempt_id)]
        body = gateway_harness.make_body(b"")
        connection.send(b"GET", b"/", fields, body, self)

    def on_not_connected(self, detail):
        self._end("not connected")

    def on_written(self):
        pass

    def on_head(self, status, fields, framing):
        self.events.append(status)

    def on_data(self, data):
        self.events.append(data)

    def on_end(self):
        self._end("end")

    def on_broken(self, reason, detail):
        self._end(reason)


class SameTurnReactor:
    """Reactor that calls functions just before and after a new connection.

    They run in the reactor turn in which the connection is delivered.
    """

    def __init__(self):
        self.before = self.after = None
        self.connectTCP = reactor.connectTCP

    def callLater(self, delay_s, function, *arguments):  # noqa: N802
        if self.before is not None:
            reactor.callLater(0, self.before)
        reactor.callLater(delay_s, function, *arguments)
        if self.after is not None:
            reactor.callLater(0, self.after)
        self.before = self.after = None


class GivenUpConnectionTest(unittest.TestCase):
    """A connection that its user has given up serves the next, or nobody."""

    def setUp(self):
        self.server = Server()
        self.reactor = SameTurnReactor()
        self.opened = []
        reactor_thread.run(self.listen)
        self.addCleanup(reactor_thread.run, self.stop)

    def listen(self):
        self.listener = reactor.listenTCP(0, self.server, 50, "127.0.0.1")
        self.record = gateway_harness.make_record(
            "s1", host="127.0.0.1", port=self.listener.getHost().port
        )
        self.pool = connection_pool.ConnectionPool(
            self.reactor,
            reactor_thread.clock,
            b"x-id",
            on_opened=self.opened.append,
        )

    def stop(self):
        self.pool.close_idle("s1")
        self.listener.stopListening()

    def test_connect_that_is_cancelled_when_it_is_made(self):
        """Guards against a request on a connection that is being closed.

        It reached the server, and its response could not arrive.
        """

        def start(done):
            first = Request(b"q1")
            cancel = self.pool.acquire(self.record, first)
            second = Request(b"q2", lambda item: done(first, item))
            self.reactor.before = cancel
            self.reactor.after = lambda: self.pool.acquire(self.record, second)

        first, second = reactor_thread.call(start)
        self.assertEqual(first.events, [])
        self.assertEqual(second.events, [200, b"ok", "end"])
        self.assertEqual(self.server.requests, [b"q2"])
        self.assertEqual(self.opened, [Source.NONE_IDLE])
        self.assertEqual(self.server.connections, 1)

    def test_idle_connection_in_the_turn_in_which_it_is_closed(self):
        """Guards against a request that is never sent on a closed connection.

        A second copy of a response makes this process close it.
        """
        used = reactor_thread.call(
            lambda done: self.pool.acquire(self.record, Request(b"q1", done))
        )

        def start(done):
            used.connection.dataReceived(RESPONSE % b"q1")
            has_idle = self.pool.has_idle(self.record)
            self.pool.acquire(
                self.record, Request(b"q2", lambda item: done(item, has_idle))
            )

        second, has_idle = reactor_thread.call(start)
        self.assertEqual(second.events, [200, b"ok", "end"])
        self.assertFalse(has_idle)
        self.assertEqual(self.server.requests, [b"q1", b"q2"])
        self.assertEqual(self.opened, [Source.NONE_IDLE, Source.TOO_OLD])

    def test_closed_connection_does_not_hide_the_others(self):
        """Guards against a new connection while an open one is idle."""

        def request(attempt_id, is_fresh):
            return reactor_thread.call(
                lambda done: self.pool.acquire(
                    self.record, Request(attempt_id, done), is_fresh
                )
            )

        request(b"q1", True)
        used = request(b"q2", True)

        def start(done):
            used.connection.dataReceived(RESPONSE % b"q2")
            has_idle = self.pool.has_idle(self.record)
            self.pool.acquire(
                self.record, Request(b"q3", lambda item: done(item, has_idle))
            )

        third, has_idle = reactor_thread.call(start)
        self.assertEqual(third.events, [200, b"ok", "end"])
        self.assertTrue(has_idle)
        self.assertEqual(self.server.connections, 2)

    def test_new_connection_that_is_closed_before_its_delivery(self):
        """Guards against a request that is never sent on a closed connection.

        The server writes before any request.
        """
        made = []
        make = self.pool.make_connection

        class Pool(connection_pool.ConnectionPool):
            def make_connection(self, record, source):
                made.append(make(record, source))
                return made[0]

        def start(done):
            pool = Pool(self.reactor, reactor_thread.clock, b"x-id")
            self.reactor.before = lambda: made[0].dataReceived(b"x")
            pool.acquire(self.record, Request(b"q1", done))

        first = reactor_thread.call(start)
        self.assertEqual(first.events, ["not connected"])
        self.assertEqual(self.server.requests, [])
