"""Tests of callers that read their responses slowly."""

from __future__ import annotations

import unittest
from unittest import mock

from twisted.internet import error
from twisted.python import failure

from balsamwall.gateway import caller_connection
from balsamwall.gateway import crash_suspects
from balsamwall.gateway import unread_time
from balsamwall.gateway import unsent_bytes
from balsamwall.logs import decision_log
from balsamwall.timing import virtual_clock
from tests.fixtures import gateway_harness
from tests.fixtures import wire_harness

Kind = gateway_harness.Kind
View = wire_harness.View
CHUNKED = b"transfer-encoding: chunked\r\n"
EVENT = b"id: 1\ndata: a\n\n"


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def make(kind=Kind.STREAMING, is_resumable=False):
    route = gateway_harness.make_route(
        kind=kind, is_resumable=is_resumable, timeout_ms=9_000
    )
    return wire_harness.WireHarness(route)


class BackPressureTest(unittest.TestCase):
    """A slow caller slows down its own response and blames no server."""

    def cut(self, unread_ms, kind=error.ConnectionLost, after_ms=None):
        """Let a server cut a stream that was not read for some time."""
        harness = make(is_resumable=True)
        harness.respond(CHUNKED, chunk(EVENT))
        harness.caller.pauseProducing()
        self.assertTrue(harness.server.transport.is_paused)
        harness.clock.advance(unread_ms)
        if after_ms is not None:
            harness.caller.resumeProducing()
            harness.clock.advance(after_ms)
        with mock.patch.object(
            crash_suspects.CrashSuspects, "on_broken_response"
        ) as report:
            harness.close(kind)
        servers = harness.gateway.directory.all_servers()
        share = max(server.failure_share for server in servers)
        return share, report.called, harness

    def test_server_that_cuts_an_unread_response_is_not_blamed(self):
        """Guards against ejecting servers because of a slow caller."""
        for after_ms in (None, 100):
            with self.subTest(after_ms):
                share, is_suspect, harness = self.cut(3_000, after_ms=after_ms)
                self.assertEqual((share, is_suspect), (0.0, False))
                self.assertEqual(len(harness.pool.connections), 2)

    def test_server_that_cuts_a_response_that_is_read_is_blamed(self):
        """Guards against faults of servers that slow callers hide."""
        for unread_ms, after_ms in (
            (unread_time.MIN_UNREAD_MS - 100, None),
            (3_000, unread_time.AFTER_PAUSE_MS + 100),
        ):
            with self.subTest(unread_ms):
                share, is_suspect, _ = self.cut(unread_ms, after_ms=after_ms)
                self.assertGreater(share, 0.0)
                self.assertTrue(is_suspect)

    def test_connection_is_read_again_for_the_next_request(self):
        """Guards against a request that waits on a paused connection.

        The pause came with the last bytes of the response before.
        """
        harness = make(Kind.IDEMPOTENT)
        harness.caller.transport.write = lambda data: (
            harness.caller.pauseProducing()
        )
        harness.respond(b"content-length: 2\r\n", b"ok")
        self.assertEqual(harness.pool.idle, [harness.server])
        self.assertFalse(harness.server.transport.is_paused)

    def test_server_may_finish_for_a_caller_that_is_gone(self):
        """Guards against a server that waits for a caller that left."""
        harness = make(Kind.NON_IDEMPOTENT)
        harness.respond(CHUNKED, chunk(b"part"))
        harness.caller.pauseProducing()
        harness.caller.connectionLost(failure.Failure(error.ConnectionLost()))
        self.assertFalse(harness.server.transport.is_paused)


class RecordingCaller:
    """Caller that does not read, and may be cut off."""

    is_aborted = False

    def abort(self):
        self.is_aborted = True


class UnsentBytesTest(unittest.TestCase):
    """Load pattern: many callers stop reading at once."""

    def setUp(self):
        clock = virtual_clock.VirtualClock()
        log = decision_log.DecisionLog(clock)
        self.unsent = unsent_bytes.UnsentBytes(log)

    def test_bytes_for_all_callers_are_bounded(self):
        """Guards against memory that grows with the number of callers."""
        size = 128 * 1024
        fitting = unsent_bytes.MAX_TOTAL_BYTES // size
        callers = [RecordingCaller() for _ in range(fitting + 10)]
        for caller in callers:
            self.unsent.add(caller, size)
        cut = [caller.is_aborted for caller in callers]
        self.assertEqual(cut, [True] * 10 + [False] * fitting)
        self.assertEqual(self.unsent.total, unsent_bytes.MAX_TOTAL_BYTES)

    def test_bytes_for_one_caller_are_bounded(self):
        """Guards against one caller that uses the memory of all."""
        caller, other = RecordingCaller(), RecordingCaller()
        self.unsent.add(other, 1)
        self.unsent.add(caller, unsent_bytes.MAX_CALLER_BYTES + 1)
        self.assertEqual((caller.is_aborted, other.is_aborted), (True, False))

    def test_caller_that_reads_again_is_not_counted(self):
        """Guards against callers that are cut off for an earlier pause."""
        harness = make()
        unsent = harness.gateway.gateway.unsent
        harness.caller.pauseProducing()
        harness.respond(CHUNKED, chunk(EVENT))
        self.assertGreater(unsent.total, caller_connection.SEND_BUFFER_BYTES)
        harness.caller.resumeProducing()
        self.assertEqual(unsent.total, 0)
        harness.caller.pauseProducing()
        harness.caller.connectionLost(failure.Failure(error.ConnectionLost()))
        self.assertEqual(unsent.total, 0)
