"""Tests of all ways in which a server's response can end."""

from __future__ import annotations

import unittest

from twisted.internet import error
from twisted.python import failure

from balsamwall.gateway import attempt
from balsamwall.gateway import backend_connection
from tests.fixtures import gateway_harness
from tests.fixtures import wire_harness

Kind = gateway_harness.Kind
View = wire_harness.View
FIRST = b"id: 1\ndata: a\n\n"
SECOND = b"id: 2\ndata: b\n\n"
PART = b"id: 2\nda"
CHUNKED = b"transfer-encoding: chunked\r\n"
RESET = error.ConnectionLost


def length(size):
    return b"content-length: %d\r\n" % size


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


LAST_CHUNK = chunk(b"")


def make(kind=Kind.STREAMING, is_resumable=False, **changes):
    route = gateway_harness.make_route(
        kind=kind, is_resumable=is_resumable, timeout_ms=9_000
    )
    return wire_harness.WireHarness(route, **changes)


class StreamEndTest(unittest.TestCase):
    """A stream ends as complete only at the end of an event."""

    def check(self, expected, fields, data, close=None, body=None, **changes):
        harness = make(**changes)
        harness.respond(fields, data)
        if close is not None:
            harness.close(close)
        view, received = harness.view()
        self.assertEqual(view, expected)
        if body is not None:
            self.assertEqual(received, body)
        return harness

    def test_whole_stream_with_a_length(self):
        """Guards against cutting off a stream with a length."""
        self.check(View.COMPLETE, length(15), FIRST, body=FIRST)

    def test_whole_stream_in_chunks(self):
        """Guards against cutting off a chunked stream."""
        data = chunk(FIRST) + LAST_CHUNK
        self.check(View.COMPLETE, CHUNKED, data, body=FIRST)

    def test_whole_stream_that_ends_with_its_connection(self):
        """Guards against cutting off a stream without length and chunks."""
        done = error.ConnectionDone
        self.check(View.COMPLETE, b"", FIRST, done, FIRST)
        self.check(View.CLOSED, b"", FIRST, done, FIRST, version=b"1.0")

    def test_stream_that_stops_inside_an_event(self):
        """Guards against a broken stream that looks complete."""
        data, done = FIRST + PART, error.ConnectionDone
        for version in (b"1.1", b"1.0"):
            with self.subTest(version):
                self.check(View.BROKEN, b"", data, done, version=version)
                in_chunks = chunk(data) + LAST_CHUNK
                self.check(View.BROKEN, CHUNKED, in_chunks, version=version)

    def test_stream_that_stops_inside_an_event_at_its_length(self):
        """Guards against a broken stream that looks complete."""
        data = FIRST + PART
        self.check(View.BROKEN, length(len(data)), data)

    def test_stream_without_any_event(self):
        """Guards against an empty response of a server that has crashed."""
        self.check(View.BROKEN, b"", b"", error.ConnectionDone)

    def test_stream_that_is_reset(self):
        """Guards against a reset stream that looks complete."""
        for fields, data in (
            (b"", FIRST),
            (CHUNKED, chunk(FIRST)),
            (length(30), FIRST),
        ):
            with self.subTest(fields):
                self.check(View.BROKEN, fields, data, RESET)

    def test_framed_stream_that_is_closed_early(self):
        """Guards against a truncated stream that looks complete."""
        for fields, data in (
            (CHUNKED, chunk(FIRST)),
            (length(30), FIRST),
        ):
            with self.subTest(fields):
                self.check(View.BROKEN, fields, data, error.ConnectionDone)

    def test_stream_with_other_line_ends(self):
        """Guards against cutting off streams with CR or CR LF."""
        for mark in (b"\r\n", b"\r"):
            data = FIRST.replace(b"\n", mark)
            with self.subTest(mark):
                self.check(View.COMPLETE, length(len(data)), data, body=data)


class ResumedStreamEndTest(unittest.TestCase):
    """A stream that stops inside an event is resumed where possible."""

    def check_resumed(self, fields, data, close=None):
        harness = make(is_resumable=True)
        harness.respond(fields, data)
        if close is not None:
            harness.close(close)
        self.assertEqual(len(harness.pool.connections), 2)
        return harness

    def test_stream_that_stops_inside_an_event_is_resumed(self):
        """Guards against a cut although another server can resume."""
        data = FIRST + PART
        for fields, sent, close in (
            (CHUNKED, chunk(data) + LAST_CHUNK, None),
            (CHUNKED, chunk(data), error.ConnectionDone),
            (length(len(data)), data, None),
        ):
            with self.subTest(fields):
                harness = self.check_resumed(fields, sent, close)
                harness.respond(CHUNKED, chunk(SECOND) + LAST_CHUNK)
                expected = (View.COMPLETE, FIRST + SECOND)
                self.assertEqual(harness.view(), expected)

    def test_resumed_stream_without_length_is_whole(self):
        """Guards against cutting off a resumed stream without chunks."""
        harness = self.check_resumed(b"", FIRST + PART, error.ConnectionDone)
        harness.respond(b"", SECOND)
        harness.close()
        self.assertEqual(harness.view(), (View.COMPLETE, FIRST + SECOND))

    def test_resumed_stream_that_stops_again_is_cut(self):
        """Guards against a broken resume that looks complete."""
        for data in (b"", PART):
            with self.subTest(data):
                harness = self.check_resumed(CHUNKED, chunk(FIRST), RESET)
                harness.respond(b"", data)
                harness.close()
                self.assertEqual(harness.view(), (View.BROKEN, FIRST))

    def test_whole_stream_without_length(self):
        """Guards against cutting off a whole stream."""
        harness = make(is_resumable=True)
        harness.respond(b"", FIRST)
        harness.close()
        self.assertEqual(harness.view(), (View.COMPLETE, FIRST))


class BodyEndTest(unittest.TestCase):
    """A body ends as complete only where the server marks its end."""

    def check(self, expected, fields, data, close=None, **changes):
        harness = make(Kind.NON_IDEMPOTENT, **changes)
        harness.respond(fields, data)
        if close is not None:
            harness.close(close)
        self.assertEqual(harness.view()[0], expected)
        return harness

    def test_whole_bodies(self):
        """Guards against cutting off a whole body."""
        self.check(View.COMPLETE, length(2), b"ok")
        self.check(View.COMPLETE, CHUNKED, chunk(b"ok") + LAST_CHUNK)

    def test_body_that_ends_with_its_connection(self):
        """Guards against cutting off a body without length and chunks."""
        done = error.ConnectionDone
        self.check(View.COMPLETE, b"", b"ok", done)
        self.check(View.CLOSED, b"", b"ok", done, version=b"1.0")

    def test_truncated_bodies(self):
        """Guards against a truncated body that looks complete."""
        for close in (error.ConnectionDone, RESET):
            with self.subTest(close.__name__):
                self.check(View.BROKEN, length(3), b"ok", close)
                self.check(View.BROKEN, CHUNKED, chunk(b"ok"), close)
        self.check(View.BROKEN, b"", b"ok", RESET)
        self.check(View.BROKEN, b"", b"ok", RESET, version=b"1.0")

    def test_head_without_a_body(self):
        """Guards against waiting for the body of a response to HEAD."""
        harness = self.check(View.COMPLETE, b"", b"", method=b"HEAD")
        self.assertFalse(harness.transport.disconnecting)

    def test_next_request_after_a_framed_body(self):
        """Guards against a connection that is closed without need."""
        harness = self.check(View.COMPLETE, length(2), b"ok")
        harness.send()
        self.assertEqual(len(harness.pool.connections), 2)

    def test_next_request_after_a_body_without_length(self):
        """Guards against bytes of a second response after the first."""
        harness = make(Kind.NON_IDEMPOTENT)
        harness.respond(b"", b"ok")
        harness.send()
        self.assertEqual(len(harness.pool.connections), 1)
        harness.close()
        self.assertEqual(harness.view(), (View.COMPLETE, b"ok"))
        self.assertFalse(harness.transport.disconnecting)
        self.assertEqual(len(harness.pool.connections), 2)

    def test_loss_of_this_process_inside_a_body_without_length(self):
        """Guards against a truncated body that looks complete."""
        harness = make(Kind.NON_IDEMPOTENT)
        harness.respond(b"", b"ok")
        # The system closes the connections of a process that was killed.
        harness.transport.loseConnection()
        self.assertEqual(harness.view(), (View.BROKEN, b"ok"))


class AbortTest(unittest.TestCase):
    """What has been received reaches the caller before an abort."""

    def test_head_is_sent_before_the_abort(self):
        """Guards against a close without any response."""
        harness = make(version=b"1.0")
        harness.respond(b"", FIRST + PART)
        harness.close()
        self.assertFalse(harness.transport.is_aborted)
        self.assertIn(FIRST, harness.transport.value())
        self.assertEqual(harness.view(), (View.BROKEN, FIRST + PART))


class EndlessResponseTest(unittest.TestCase):
    """Bytes without end hold neither a request nor a connection for ever."""

    REFUSAL = b"balsamwall-not-executed: 1\r\n"

    def refuse(self, data):
        harness = make(Kind.NON_IDEMPOTENT)
        head = wire_harness.RESPONSE_HEAD.replace(b"200 OK", b"503 Busy")
        harness.server.dataReceived(head + self.REFUSAL + b"\r\n" + data)
        return harness

    def test_endless_refusal_is_sent_to_another_server(self):
        """Guards against a request that waits for the end of a refusal."""
        for data in (b"x", b"x" * (attempt.MAX_DISCARDED_BYTES + 1)):
            with self.subTest(size=len(data)):
                harness = self.refuse(data)
                harness.clock.advance(300)
                first, second = harness.pool.connections
                self.assertTrue(first.transport.disconnecting)
                harness.respond(length(2), b"ok")
                self.assertEqual(harness.view(), (View.COMPLETE, b"ok"))

    def test_endless_response_without_a_caller_is_closed(self):
        """Guards against connections that are read for ever."""
        harness = make(Kind.NON_IDEMPOTENT)
        harness.caller.connectionLost(failure.Failure(RESET()))
        self.assertFalse(harness.server.transport.disconnecting)
        harness.clock.advance(9_000)
        self.assertTrue(harness.server.transport.disconnecting)

    def test_endless_head_is_broken_off(self):
        """Guards against unbounded memory for a head."""
        harness = make(Kind.NON_IDEMPOTENT)
        size = backend_connection.MAX_RESPONSE_HEAD_BYTES
        harness.server.dataReceived(b"HTTP/1.1 200 OK\r\nx: " + b"a" * size)
        self.assertTrue(harness.server.transport.disconnecting)
        self.assertIn(b"HTTP/1.1 502", harness.transport.value())

    def test_endless_informational_responses_end_at_the_deadline(self):
        """Guards against a request that never ends."""
        harness = make(Kind.NON_IDEMPOTENT)
        for _ in range(90):
            harness.server.dataReceived(b"HTTP/1.1 102 Processing\r\n\r\n")
            harness.clock.advance(100)
        self.assertTrue(harness.server.transport.disconnecting)
        self.assertIn(b"HTTP/1.1 504", harness.transport.value())
