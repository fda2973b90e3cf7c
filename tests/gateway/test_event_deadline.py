"""Tests of streams that are slow, and of streams that hang."""

from __future__ import annotations

import unittest

from balsamwall.gateway import route
from tests.fixtures import gateway_harness
from tests.fixtures import wire_harness

View = wire_harness.View
CHUNKED = b"transfer-encoding: chunked\r\n"
EVENT = b"id: 1\ndata: a\n\n"
TIMEOUT_MS = 2_400  # eight targets of the gap


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def make(is_resumable=False):
    streams = gateway_harness.make_route(
        kind=gateway_harness.Kind.STREAMING,
        is_resumable=is_resumable,
        timeout_ms=60_000,
        gap_target_ms=300,
    )
    harness = wire_harness.WireHarness(streams, deadline_ms=60_000)
    harness.respond(CHUNKED, chunk(EVENT))
    return harness


class EventDeadlineTest(unittest.TestCase):
    """Load pattern: a server hangs while its connection stays alive."""

    def trickle(self, harness, data, interval_ms, seconds):
        server = harness.server
        for _ in range(1_000 * seconds // interval_ms):
            harness.clock.advance(interval_ms)
            if server.transport.disconnecting:
                return
            server.dataReceived(chunk(data))

    def test_bytes_without_an_event_end_the_stream(self):
        """Guards against a stalled stream that goes on until its deadline."""
        for data in (b"x", b": keep-alive\n\n"):
            with self.subTest(data):
                harness = make()
                start_ms = harness.clock.now_ms()
                self.trickle(harness, data, 50, 30)
                taken_ms = harness.clock.now_ms() - start_ms
                self.assertEqual(harness.view()[0], View.BROKEN)
                self.assertLess(taken_ms, TIMEOUT_MS + 500)

    def test_stalled_stream_is_resumed(self):
        """Guards against a cut although another server can resume."""
        harness = make(is_resumable=True)
        self.trickle(harness, b"x", 500, 30)
        self.assertEqual(len(harness.pool.connections), 2)
        second = b"id: 2\ndata: b\n\n"
        harness.respond(CHUNKED, chunk(second) + chunk(b""))
        self.assertEqual(harness.view(), (View.COMPLETE, EVENT + second))

    def test_slow_stream_goes_on(self):
        """Guards against cutting off a stream that is slow but sound."""
        harness = make()
        for _ in range(20):
            harness.clock.advance(TIMEOUT_MS - 100)
            harness.server.dataReceived(chunk(b"data: b\r"))
            harness.server.dataReceived(chunk(b"\n\r\n"))
        self.assertEqual(harness.view()[0], View.OPEN)

    def test_caller_that_does_not_read_is_no_stall_of_the_server(self):
        """Guards against blaming a server for a slow caller."""
        harness = make()
        harness.caller.pauseProducing()
        harness.clock.advance(3 * TIMEOUT_MS)
        harness.caller.resumeProducing()
        harness.clock.advance(TIMEOUT_MS - 100)
        self.assertEqual(harness.view()[0], View.OPEN)
        harness.clock.advance(100 + route.CUT_DELAY_MS)
        self.assertEqual(harness.view()[0], View.BROKEN)

    def test_stalled_stream_is_not_cut_before_its_caller_leaves(self):
        """Guards against a cut while the caller still waits for an event.

        The caller sees each event later than the entry, and its departure
        takes as long to come back.
        """
        harness = make()
        harness.clock.advance(TIMEOUT_MS + 300)
        self.assertEqual(harness.view()[0], View.OPEN)
