"""Tests of responses that are repeated, of another kind, or cut off."""

from __future__ import annotations

import unittest

from twisted.internet import error
from twisted.python import failure

from balsamwall.gateway import connection_pool
from balsamwall.platform import header_codec
from balsamwall.timing import virtual_clock
from tests.fixtures import gateway_harness
from tests.fixtures import wire_harness
from tests.gateway import test_certified_refusal
from tests.gateway import test_response_end

Kind = gateway_harness.Kind
View = wire_harness.View
NOT_RUN_STATUSES = (408, 421, 429, 503)
BAD_GATEWAY = 502
OK = (
    b"HTTP/1.1 200 OK\r\nBalsamwall-Request-Id: q2\r\n"
    b"Balsamwall-Response-Signature: s1\r\nContent-Length: %d\r\n\r\n%s"
    % (len(test_response_end.FIRST), test_response_end.FIRST)
)
ENDS = (error.ConnectionDone, error.ConnectionLost)


def refusal(attempt_id):
    echo = b"Balsamwall-Request-Id: %s\r\n" % attempt_id if attempt_id else b""
    return test_certified_refusal.REFUSAL % (
        echo + b"Keep-Alive: timeout=9\r\n"
    )


class RepeatedRefusalTest(unittest.TestCase):
    """A server writes the refusal of one request a second time."""

    def make(self):
        """Let a server refuse a first request, which then ends."""
        self.clock = virtual_clock.VirtualClock(start_ms=10_000)
        self.reactor = test_certified_refusal.FakeReactor(self.clock)
        pool = connection_pool.ConnectionPool(
            self.reactor, self.clock, header_codec.REQUEST_ID
        )
        self.harness = gateway_harness.GatewayHarness(
            gateway_harness.make_route(kind=Kind.STREAMING),
            clock=self.clock,
            pool=pool,
        )
        self.harness.add_servers("s1")
        self.send(b"q1")
        kept = self.reactor.connections[0]
        kept.dataReceived(refusal(b"q1"))
        return kept

    def send(self, attempt_id):
        exchange = self.harness.send_request(
            method=b"POST", attempt_id=attempt_id
        )
        self.clock.advance(1)
        return exchange

    def sends(self, attempt_id):
        return sum(
            connection.transport.value().count(b": %s\r\n" % attempt_id)
            for connection in self.reactor.connections
        )

    def test_copy_is_not_taken_for_the_next_request(self):
        """Guards against a false "not run", and against a second run."""
        for copy in (refusal(b"q1"), refusal(b""), 2 * refusal(b"q1")):
            for cut in (len(copy), 30):
                kept = self.make()
                exchange = self.send(b"q2")
                self.assertIn(b": q2\r\n", kept.transport.value())
                kept.dataReceived(copy[:cut])
                kept.dataReceived(copy[cut:])
                self.clock.advance(100)
                with self.subTest((copy, cut)):
                    self.assertNotIn(exchange.status, NOT_RUN_STATUSES)
                    self.assertEqual(self.sends(b"q2"), 1)

    def test_next_response_is_found_after_a_copy(self):
        """Guards against the loss of a response behind a copy."""
        kept = self.make()
        exchange = self.send(b"q2")
        kept.dataReceived(refusal(b"q1") + OK)
        self.assertEqual(exchange.status, 200)
        self.assertEqual(exchange.data, test_response_end.FIRST)

    def test_copy_before_the_next_request_ends_the_connection(self):
        """Guards against bytes that wait on a connection for reuse."""
        for attempt_id in (b"q1", b""):
            kept = self.make()
            kept.dataReceived(refusal(attempt_id))
            self.assertTrue(kept.transport.is_aborted)
            kept.connectionLost(failure.Failure(error.ConnectionAborted()))
            exchange = self.send(b"q2")
            with self.subTest(attempt_id):
                self.assertNotIn(b": q2\r\n", kept.transport.value())
                self.reactor.connections[-1].dataReceived(OK)
                self.assertEqual(exchange.status, 200)


class ResumedStreamTest(unittest.TestCase):
    """The server that is to resume a stream responds with something else."""

    def resume(self, head, fields, data, close):
        """Break a stream after its first event; let the next respond."""
        harness = test_response_end.make(is_resumable=True)
        first = test_response_end.chunk(test_response_end.FIRST)
        harness.respond(
            b"content-type: text/event-stream\r\n" + test_response_end.CHUNKED,
            first,
        )
        harness.close(error.ConnectionLost)
        harness.server.dataReceived(head + fields + b"\r\n" + data)
        if close is not None and not harness.server.is_lost:
            harness.close(close)
        return harness.view()

    def test_error_does_not_reach_the_caller(self):
        """Guards against the text of an error inside a stream."""
        chunk = test_response_end.chunk
        for status in (b"200 OK", b"500 Error", b"503 Busy", b"404 Gone"):
            head = wire_harness.RESPONSE_HEAD.replace(b"200 OK", status)
            head += b"content-type: application/json\r\n"
            for data in (
                b'{"error": "x"}',
                b'{"error": "x"}\n\n',
                b"HTTP/1.1 500 Error\r\nid: 2\r\n\r\n",
                b"",
            ):
                for fields, sent, close in (
                    (test_response_end.length(len(data)), data, None),
                    (
                        test_response_end.CHUNKED,
                        (chunk(data) if data else b"") + chunk(b""),
                        None,
                    ),
                    (b"", data, error.ConnectionDone),
                    (b"", data, error.ConnectionLost),
                ):
                    view = self.resume(head, fields, sent, close)
                    with self.subTest((status, data, fields)):
                        self.assertEqual(
                            view, (View.BROKEN, test_response_end.FIRST)
                        )


class CutHeadTest(unittest.TestCase):
    """A server stops in the middle of the head of its response."""

    HEAD = (
        wire_harness.RESPONSE_HEAD
        + b"content-type: text/plain\r\ncontent-length: 2\r\n\r\n"
    )

    def test_cut_head_is_no_response(self):
        """Guards against an empty or short body that looks whole."""
        kinds = (Kind.NON_IDEMPOTENT, Kind.IDEMPOTENT, Kind.STREAMING)
        for size in range(len(self.HEAD)):
            for end in ENDS:
                for kind in kinds:
                    harness = test_response_end.make(kind)
                    for _ in range(2):
                        server = harness.server
                        server.dataReceived(self.HEAD[:size])
                        server.connectionLost(failure.Failure(end()))
                    status = harness.transport.value()[9:12]
                    with self.subTest((size, end, kind)):
                        self.assertEqual(status, b"%d" % BAD_GATEWAY)

    def test_cut_head_of_a_resumed_stream_does_not_end_it(self):
        """Guards against a stream that ends as if it were complete."""
        for size in range(len(self.HEAD)):
            for end in ENDS:
                harness = test_response_end.make(is_resumable=True)
                first = test_response_end.chunk(test_response_end.FIRST)
                harness.respond(test_response_end.CHUNKED, first)
                harness.close(error.ConnectionLost)
                harness.server.dataReceived(self.HEAD[:size])
                harness.close(end)
                with self.subTest((size, end)):
                    self.assertEqual(
                        harness.view(),
                        (View.BROKEN, test_response_end.FIRST),
                    )
