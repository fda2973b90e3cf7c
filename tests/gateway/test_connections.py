"""Tests of caller and backend HTTP connections, without sockets."""

from __future__ import annotations

import unittest
from unittest import mock

from twisted.internet import error
from twisted.python import failure

from balsamwall.gateway import backend_connection
from balsamwall.gateway import caller_connection
from balsamwall.gateway import gateway_configuration
from balsamwall.gateway import held_bodies
from balsamwall.gateway import refusal
from balsamwall.gateway import unsent_bytes
from balsamwall.logs import decision_log
from balsamwall.results import result_code
from balsamwall.timing import virtual_clock
from tests.fixtures import gateway_harness
from tests.fixtures import recording_transport

HEAD = b"POST /a/1 HTTP/1.1\r\nHost: h\r\n"
LENGTH = b"Content-Length: %d\r\n\r\n"


class RecordingSite:
    """Site that records the requests of caller connections."""

    def __init__(self):
        self.clock = virtual_clock.VirtualClock(start_ms=1_000)
        self.limits = gateway_configuration.CallerLimits(1_024, 1_000)
        self.is_closing = False
        self.bodies = held_bodies.HeldBodies(
            self.clock, decision_log.DecisionLog(self.clock)
        )
        self.unsent = unsent_bytes.UnsentBytes(
            decision_log.DecisionLog(self.clock)
        )
        self.requests = []
        self.rejected = []

    def on_opened(self, connection):
        pass

    def on_closed(self, connection):
        pass

    def on_request(self, exchange):
        self.requests.append((exchange.head, exchange.body.data))
        self.exchange = exchange

    def on_rejected(self, status, reason):
        self.rejected.append(status)


class CallerConnectionTest(unittest.TestCase):
    """Only requests with unambiguous framing reach the gateway."""

    def setUp(self):
        self.site = RecordingSite()
        self.transport = recording_transport.RecordingTransport()
        self.connection = caller_connection.CallerConnection(self.site)
        self.connection.makeConnection(self.transport)

    def respond(self, body=b"ok"):
        self.site.exchange.begin(200, [], len(body))
        self.site.exchange.write(body)
        self.site.exchange.finish()

    def assert_rejected(self, data, status=400):
        self.connection.dataReceived(data)
        self.assertEqual(self.site.requests, [])
        self.assertEqual(self.site.rejected, [status])
        self.assertTrue(self.transport.disconnecting)

    def test_length_and_coding_are_rejected(self):
        """Guards against request smuggling by conflicting framing."""
        self.assert_rejected(
            HEAD + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"0\r\n\r\nGET /x HTTP/1.1\r\nHost: h\r\n\r\n"
        )

    def test_two_lengths_are_rejected(self):
        """Guards against request smuggling by two different lengths."""
        self.assert_rejected(
            HEAD + b"Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcd"
        )

    def test_space_before_the_colon_is_rejected(self):
        """Guards against request smuggling by a malformed field name."""
        self.assert_rejected(
            HEAD + b"Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n"
        )

    def test_unknown_coding_is_rejected(self):
        """Guards against a body with unknown framing."""
        self.assert_rejected(
            HEAD + b"Transfer-Encoding: xchunked\r\n\r\nabc", 501
        )

    def test_large_head_is_rejected(self):
        """Guards against unbounded memory for one head."""
        self.assert_rejected(HEAD + b"X: " + b"a" * 4_000, 431)

    def test_large_body_is_rejected(self):
        """Guards against unbounded memory for one body."""
        self.assert_rejected(HEAD + b"Content-Length: 1001\r\n\r\n", 413)

    def test_slow_head_is_rejected(self):
        """Guards against connections that never send a request."""
        self.connection.dataReceived(HEAD)
        self.site.clock.advance(3_001)
        self.assertEqual(self.site.rejected, [408])

    def test_chunked_body_is_read_in_whole(self):
        """Guards against forwarding an incomplete body."""
        self.connection.dataReceived(
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"
        )
        self.assertEqual(self.site.requests, [])
        self.connection.dataReceived(b"1\r\nc\r\n0\r\n\r\n")
        self.assertEqual(self.site.requests[0][1], b"abc")

    def test_next_request_waits_for_the_response(self):
        """Guards against responses to pipelined requests out of order."""
        request = HEAD + b"Content-Length: 0\r\n\r\n"
        self.connection.dataReceived(request + request)
        self.assertEqual(len(self.site.requests), 1)
        self.respond()
        self.assertEqual(len(self.site.requests), 2)
        self.assertEqual(self.transport.value().count(b"HTTP/1.1 200"), 1)

    def test_many_requests_sent_ahead_are_answered(self):
        """Guards against calls that nest with each request sent ahead."""
        code = result_code.ResultCode.UNKNOWN_PATH
        self.site.on_request = lambda item: refusal.write(item, code, "")
        self.connection.dataReceived(500 * (HEAD + LENGTH % 0))
        self.assertEqual(self.transport.value().count(b"HTTP/1.1 404"), 500)

    def test_request_that_is_refused_while_it_is_read_is_not_handled(self):
        """Guards against a run of a request that was refused as not run."""
        for part, rest, max_bytes, status in (
            (HEAD, LENGTH % 0, 9, b"408"),
            (HEAD + LENGTH % 2 + b"a", b"b", 9, b"408"),
            (HEAD + LENGTH % 2 + b"a", b"b", 0, b"503"),
        ):
            self.setUp()
            with mock.patch.object(held_bodies, "MAX_TOTAL_BYTES", max_bytes):
                self.connection.dataReceived(part)
                self.site.clock.advance(self.site.limits.idle_timeout_ms)
            self.connection.dataReceived(rest + HEAD + LENGTH % 0)
            with self.subTest(part=part, status=status):
                self.assertEqual(self.transport.value()[9:12], status)
                self.assertEqual(self.site.requests, [])

    def test_request_that_has_ended_does_not_reach_the_next_one(self):
        """Guards against a response or a body of another request."""
        self.connection.dataReceived(
            HEAD
            + b"Content-Length: 2\r\n\r\nq1"
            + HEAD
            + b"Content-Length: 2\r\n\r\nq2"
        )
        first = self.site.exchange
        self.respond()
        written = self.transport.value()
        first.begin(503, [], 0)
        first.write(b"x")
        first.cut()
        first.finish()
        self.assertEqual(self.transport.value(), written)
        self.assertEqual(first.body.size, 2)
        first.release_body()
        self.assertEqual(self.site.exchange.body.data, b"q2")

    def test_response_in_a_drain_closes_the_connection(self):
        """Guards against connections kept open to a draining entry."""
        self.connection.dataReceived(HEAD + b"Content-Length: 0\r\n\r\n")
        self.site.is_closing = True
        self.respond()
        self.assertIn(b"connection: close", self.transport.value().lower())
        self.assertTrue(self.transport.disconnecting)

    def test_request_that_has_arrived_is_read_before_a_close(self):
        """Guards against a request without a response in a drain.

        It has arrived, but the process closes the connection first.
        """
        self.site.clock.advance(caller_connection.MIN_IDLE_MS)
        self.transport.unread = HEAD
        self.connection.close_if_idle()
        self.assertFalse(self.transport.disconnecting)
        self.site.clock.advance(
            self.site.limits.idle_timeout_ms + caller_connection.IDLE_MARGIN_MS
        )
        self.assertFalse(self.transport.disconnecting)
        self.transport.unread = b""
        self.connection.close_if_idle()
        self.site.clock.advance(caller_connection.MIN_IDLE_MS)
        self.connection.close_if_idle()
        self.assertTrue(self.transport.disconnecting)

    def test_new_connection_is_not_closed_in_a_drain(self):
        """Guards against a reset of a request that is on its way."""
        self.connection.close_if_idle()
        self.assertFalse(self.transport.disconnecting)

    def test_unread_bytes_do_not_reset_the_last_response(self):
        """Guards against a response that is lost to a reset.

        The caller has sent another request while the response was written.
        """
        self.connection.dataReceived(HEAD + b"Content-Length: 0\r\n\r\n")
        self.site.is_closing = True
        self.transport.unread = HEAD
        self.respond()
        self.assertFalse(self.transport.disconnecting)
        self.assertTrue(self.transport.is_half_closed)
        self.site.clock.advance(caller_connection.CLOSE_TIMEOUT_MS)
        self.assertTrue(self.transport.is_aborted)

    def test_cut_response_has_no_end(self):
        """Guards against a truncated response that looks complete."""
        self.connection.dataReceived(HEAD + b"Content-Length: 0\r\n\r\n")
        self.site.exchange.begin(200, [], None)
        self.site.exchange.write(b"part")
        self.site.exchange.cut()
        self.assertNotIn(b"0\r\n\r\n", self.transport.value())
        self.assertTrue(self.transport.disconnecting)


class RecordingReceiver:
    """Receiver that records the events of one response."""

    def __init__(self, attempt_id):
        self.attempt_id = attempt_id
        self.events = []

    def on_written(self):
        pass

    def on_head(self, status, fields, framing):
        self.events.append(status)

    def on_data(self, data):
        self.events.append(data)

    def on_end(self):
        self.events.append("end")

    def on_broken(self, reason, detail):
        self.events.append(reason)


class BackendConnectionTest(unittest.TestCase):
    """A response only reaches the request that it belongs to."""

    def setUp(self):
        self.idle = []
        self.transport = recording_transport.RecordingTransport()
        self.connection = backend_connection.BackendConnection(
            b"x-id", self.idle.append, lambda connection: None
        )
        # The recording transport has no socket to configure.
        self.connection.connectionMade = lambda: None
        self.connection.makeConnection(self.transport)
        self.receiver = RecordingReceiver(b"q1")
        fields = [(b"host", b"h"), (b"content-length", b"2")]
        body = gateway_harness.make_body(b"ab")
        self.connection.send(b"POST", b"/a", fields, body, self.receiver)

    def receive(self, data):
        self.connection.dataReceived(data)

    def lose(self, kind):
        self.connection.connectionLost(failure.Failure(kind()))

    def test_complete_response_frees_the_connection(self):
        """Guards against opening a new connection for each request."""
        self.receive(b"HTTP/1.1 200 OK\r\nx-id: q1\r\ncontent-length: 2\r\n")
        self.receive(b"\r\nok")
        self.assertEqual(self.receiver.events, [200, b"ok", "end"])
        self.assertEqual(self.idle, [self.connection])

    def test_extra_bytes_end_the_connection(self):
        """Guards against extra bytes that the next request would receive."""
        self.receive(
            b"HTTP/1.1 200 OK\r\nx-id: q1\r\ncontent-length: 2\r\n\r\nokHTTP"
        )
        self.assertEqual(self.receiver.events, [200, b"ok", "end"])
        self.assertEqual(self.idle, [])
        self.assertTrue(self.transport.disconnecting)

    def test_response_of_an_earlier_request_is_skipped(self):
        """Guards against delivering the response to another request."""
        self.receive(
            b"HTTP/1.1 200 OK\r\nx-id: q0\r\ncontent-length: 3\r\n\r\nold"
            b"HTTP/1.1 200 OK\r\nx-id: q1\r\ncontent-length: 3\r\n\r\nnew"
        )
        self.assertEqual(self.receiver.events, [200, b"new", "end"])

    def test_clean_close_ends_a_response_without_length(self):
        """Guards against a failure of a complete response."""
        self.receive(b"HTTP/1.1 200 OK\r\nx-id: q1\r\n\r\nok")
        self.lose(error.ConnectionDone)
        self.assertEqual(self.receiver.events, [200, b"ok", "end"])

    def test_reset_breaks_a_response_without_length(self):
        """Guards against a truncated response that counts as complete."""
        self.receive(b"HTTP/1.1 200 OK\r\nx-id: q1\r\n\r\nok")
        self.lose(error.ConnectionLost)
        self.assertEqual(
            self.receiver.events[-1], backend_connection.BreakReason.CLOSED
        )

    def test_bytes_that_are_no_response_are_invalid(self):
        """Guards against forwarding bytes that are not HTTP."""
        self.receive(b"\x00\x01garbage\r\n\r\n")
        self.assertEqual(
            self.receiver.events, [backend_connection.BreakReason.INVALID]
        )

    def test_early_response_leaves_the_body_in_order(self):
        """Guards against other bytes in place of the rest of a body."""
        sent = self.transport.value()
        self.assertTrue(sent.endswith(b"\r\n\r\nab"))
