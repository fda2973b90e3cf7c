"""Tests of request bodies from the caller to the server."""

from __future__ import annotations

import json
import socket
import unittest
from unittest import mock

from twisted.internet import error
from twisted.python import failure

from balsamwall.gateway import backend_connection
from balsamwall.gateway import caller_connection
from balsamwall.gateway import crash_suspects
from balsamwall.gateway import held_bodies
from balsamwall.gateway import request_writer
from balsamwall.gateway import retry_policy
from balsamwall.results import result_code
from tests.fixtures import gateway_harness
from tests.fixtures import recording_transport
from tests.fixtures import wire_harness

# Method that is called for a request whose response broke.
REPORT_OF_BREAK = (crash_suspects.CrashSuspects, "on_broken_response")

Kind = gateway_harness.Kind
BODY = b"b" * 200_000
LENGTH = b"content-length: 2\r\n"
CHUNKED = b"transfer-encoding: chunked\r\n"
EVENT = b"f\r\nid: 1\ndata: a\n\n\r\n"
REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\nBalsamwall-Request-Id: q1\r\n"
    b"Balsamwall-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)
FULL = held_bodies.MAX_TOTAL_BYTES - held_bodies.RESERVED_BYTES


def make(kind=Kind.NON_IDEMPOTENT, is_stalled=False, body=BODY, **changes):
    route = gateway_harness.make_route(kind=kind, timeout_ms=9_000, **changes)
    return wire_harness.WireHarness(route, body=body, is_stalled=is_stalled)


def lose(connection):
    connection.connectionLost(failure.Failure(error.ConnectionLost()))


def total(harness):
    return harness.gateway.gateway.bodies.total


def bodies_sent(harness):
    """Return how often the body was written to a server in full."""
    values = [item.transport.value() for item in harness.pool.connections]
    return sum(value.endswith(b"\r\n\r\n" + BODY) for value in values)


class ReleaseTest(unittest.TestCase):
    """The bytes of a body are counted exactly as long as they are held."""

    def end_by_response(self, harness):
        harness.respond(LENGTH, b"ok")

    def end_by_cut(self, harness):
        harness.respond(CHUNKED, b"1\r\na\r\n")
        lose(harness.server)

    def end_by_loss_of_servers(self, harness):
        for _ in range(2):
            lose(harness.server)

    def end_by_refusals(self, harness):
        for _ in range(3):
            harness.server.dataReceived(REFUSAL)
            harness.clock.advance(100)

    def end_by_deadline(self, harness):
        harness.clock.advance(9_000)

    def end_by_caller(self, harness):
        lose(harness.caller)
        # A server may be left to finish a request.
        lose(harness.server)

    def end_by_error_status(self, harness):
        head = wire_harness.RESPONSE_HEAD.replace(b"200 OK", b"500 Error")
        for _ in range(2):
            harness.server.dataReceived(head + LENGTH + b"\r\nok")

    def end_by_exit(self, harness):
        harness.gateway.gateway.begin_drain(0, lambda: None)
        harness.clock.advance(5_000)

    def test_count_returns_to_0_at_each_end(self):
        """Guards against a count that grows until nothing is read."""
        for name in [name for name in dir(self) if name.startswith("end_by")]:
            for kind in Kind:
                for is_stalled in (False, True):
                    with self.subTest(name, kind=kind, is_stalled=is_stalled):
                        harness = make(kind, is_stalled)
                        self.assertEqual(total(harness), len(BODY))
                        getattr(self, name)(harness)
                        self.assertEqual(total(harness), 0)

    def test_count_returns_to_0_for_requests_that_are_not_sent(self):
        """Guards against bytes that are counted for refused requests."""
        for body in (b"", BODY[:-1], BODY):
            harness = make(Kind.STREAMING, body=b"")
            harness.respond(CHUNKED, EVENT + b"0\r\n\r\n")
            harness.caller.dataReceived(
                b"POST /unknown HTTP/1.1\r\nHost: h\r\n"
                b"Content-Length: %d\r\n\r\n" % len(BODY) + body
            )
            lose(harness.caller)
            self.assertEqual(total(harness), 0)

    def test_body_is_released_when_the_response_begins(self):
        """Guards against bodies held for as long as a stream lasts."""
        harness = make(Kind.STREAMING)
        self.assertEqual(total(harness), len(BODY))
        harness.respond(CHUNKED, EVENT)
        self.assertEqual(total(harness), 0)

    def test_body_of_the_last_attempt_is_released(self):
        """Guards against bodies of streams that can't be resumed again."""
        harness = make(Kind.STREAMING, is_resumable=True, attempts=1)
        harness.respond(CHUNKED, EVENT)
        self.assertEqual(total(harness), 0)

    def test_stream_is_resumed_with_its_body(self):
        """Guards against a body released although it is sent again."""
        harness = make(Kind.STREAMING, is_resumable=True, attempts=2)
        harness.respond(CHUNKED, EVENT)
        lose(harness.server)
        self.assertEqual(bodies_sent(harness), 2)
        # The server of the second send may refuse it.
        harness.server.dataReceived(REFUSAL)
        harness.clock.advance(100)
        self.assertEqual(bodies_sent(harness), 3)

    def test_certified_refusal_is_repeated_with_the_body(self):
        """Guards against a body released although it is sent again."""
        harness = make()
        harness.server.dataReceived(REFUSAL)
        harness.clock.advance(100)
        self.assertEqual(bodies_sent(harness), 2)

    def test_early_refusal_is_repeated_with_the_body(self):
        """Guards against a body that is released too early.

        A server may refuse a request before it has read all of its body.
        """
        head, _, _ = REFUSAL.partition(b"Content-Length")
        harness = make(is_stalled=True)
        for _ in range(2):
            harness.server.dataReceived(head + b"Content-Length: 1\r\n\r\n")
            harness.server.transport.is_stalled = False
            harness.server.transport.read()
            harness.server.dataReceived(b"x")
            harness.clock.advance(100)
        self.assertEqual(len(harness.pool.connections), 3)

    def test_body_is_released_before_the_last_refusal(self):
        """Guards against a body held although no attempt is left."""
        harness = make()
        for _ in range(2):
            self.assertEqual(total(harness), len(BODY))
            harness.server.dataReceived(REFUSAL)
            harness.clock.advance(100)
        self.assertEqual(total(harness), 0)
        self.assertEqual(bodies_sent(harness), 3)

    def test_refusal_before_the_body_is_read(self):
        """Guards against a run of half a body, and against a second run."""
        uncertified = REFUSAL.replace(b"Balsamwall-Not-Executed", b"X")
        for response, sends in ((REFUSAL, 2), (uncertified, 1)):
            harness = make(is_stalled=True)
            harness.pool.is_stalled = False
            early = harness.server.transport
            written = early.value()
            harness.server.dataReceived(response)
            early.is_stalled = False
            early.read()
            harness.clock.advance(100)
            self.assertEqual(len(harness.pool.connections), sends)
            self.assertEqual(bodies_sent(harness), sends - 1)
            # The rest of the body is not written, nor any other bytes.
            self.assertEqual(early.value(), written)
            self.assertTrue(early.is_aborted)

    def test_dropped_body_is_not_sent_again(self):
        """Guards against a request that is sent without its body."""
        harness = make()
        self.assertTrue(harness.caller.listener.drop_body())
        self.assertEqual(total(harness), 0)
        harness.server.dataReceived(REFUSAL)
        harness.clock.advance(100)
        self.assertEqual(len(harness.pool.connections), 1)
        self.assertIn(b"HTTP/1.1 503", harness.transport.value())

    def test_body_that_may_be_sent_again_is_not_dropped(self):
        """Guards against requests that fail with their first server."""
        for kind, is_stalled in (
            (Kind.IDEMPOTENT, False),
            (Kind.NON_IDEMPOTENT, True),
        ):
            harness = make(kind, is_stalled)
            self.assertFalse(harness.caller.listener.drop_body())

    def test_request_that_may_have_run_is_not_refused(self):
        """Guards against an unknown outcome for want of memory."""
        code = result_code.ResultCode.INSUFFICIENT_MEMORY
        harness = make(Kind.IDEMPOTENT, attempts=3)
        for _ in range(2):
            lose(harness.server)
        self.assertFalse(harness.caller.listener.refuse_unrun(code, ""))
        harness = make()
        harness.server.dataReceived(REFUSAL)
        self.assertTrue(harness.caller.listener.refuse_unrun(code, ""))
        self.assertIn(b"HTTP/1.1 503", harness.transport.value())

    def test_fingerprint_outlives_the_body(self):
        """Guards against crash reports that name the same empty body."""
        digests = set()
        for body in (BODY, BODY[1:]):
            harness = make(Kind.STREAMING, body=body)
            harness.respond(CHUNKED, EVENT)
            with mock.patch.object(*REPORT_OF_BREAK) as report:
                lose(harness.server)
            digests.add(report.call_args.args[1].request)
        self.assertEqual(len(digests), 2)


class ConnectingTest(unittest.TestCase):
    """The body of a request counts while its connection is opened."""

    def setUp(self):
        self.waiters = []
        patch = mock.patch.object(wire_harness.WirePool, "acquire", self.open)
        patch.start()
        self.addCleanup(patch.stop)
        self.harness = make()

    def open(self, record, waiter, *options):
        self.waiters.append(waiter)
        return lambda: None

    def test_count_returns_to_0(self):
        """Guards against bytes counted for servers that do not connect."""
        self.harness.clock.advance(9_000)
        self.assertEqual(total(self.harness), 0)
        self.harness = make()
        for _ in range(retry_policy.MAX_FAILED_CONNECTS):
            self.waiters[-1].on_not_connected("refused")
            self.harness.clock.advance(100)
        self.assertEqual(total(self.harness), 0)

    def test_body_is_released_when_the_caller_leaves(self):
        """Guards against a request that is sent without its body."""
        self.assertEqual(total(self.harness), len(BODY))
        lose(self.harness.caller)
        self.assertEqual(total(self.harness), 0)
        connection = mock.Mock()
        self.waiters[-1].on_connected(connection)
        connection.send.assert_not_called()


class SlowServerTest(unittest.TestCase):
    """Load pattern: servers read large bodies slowly, or not at all."""

    def test_body_counts_until_it_is_written(self):
        """Guards against bytes for slow servers that nobody counts."""
        harness = make(is_stalled=True)
        transport = harness.server.transport
        self.assertLessEqual(
            transport.value().count(b"b" * request_writer.PIECE_BYTES), 1
        )
        lose(harness.caller)
        self.assertEqual(total(harness), len(BODY))
        transport.is_stalled = False
        transport.read()
        self.assertEqual(bodies_sent(harness), 1)
        self.assertEqual(total(harness), 0)

    def test_system_takes_little_of_a_body(self):
        """Guards against whole bodies in buffers that nobody counts."""
        connection = backend_connection.BackendConnection(
            b"x-id", lambda item: None, lambda item: None
        )
        with (
            socket.create_server(("127.0.0.1", 0)) as server,
            socket.create_connection(server.getsockname()) as handle,
        ):
            connection.makeConnection(
                mock.Mock(**{"getHandle.return_value": handle})
            )
            handle.setblocking(False)
            taken = 0
            with self.assertRaises(BlockingIOError):
                while True:
                    taken += handle.send(bytes(request_writer.PIECE_BYTES))
        self.assertLess(taken, 8 * backend_connection.MAX_UNSENT_BYTES)

    def test_server_that_does_not_read_is_not_blamed(self):
        """Guards against servers ejected because of large bodies."""
        for is_stalled, share in ((True, 0.0), (False, 1.0)):
            harness = make(is_stalled=is_stalled)
            harness.clock.advance(9_000)
            self.assertIn(b"HTTP/1.1 504", harness.transport.value())
            servers = harness.gateway.directory.all_servers()
            shares = [server.failure_share for server in servers]
            self.assertEqual(max(shares) > 0.0, share > 0.0)

    def test_connection_that_breaks_because_nothing_is_read(self):
        """Guards against servers and content blamed for large bodies.

        TCP_USER_TIMEOUT ends the connection before a long deadline.
        """
        for is_stalled, after_ms in ((True, 3_000), (True, 0), (False, 3_000)):
            harness = make(is_stalled=is_stalled)
            harness.clock.advance(after_ms)
            with mock.patch.object(*REPORT_OF_BREAK) as report:
                lose(harness.server)
            is_blamed = not (is_stalled and after_ms)
            self.assertEqual(report.called, is_blamed)
            servers = harness.gateway.directory.all_servers()
            share = max(server.failure_share for server in servers)
            self.assertEqual(share > 0.0, is_blamed)
            self.assertIn(b"HTTP/1.1 502", harness.transport.value())

    def test_connection_with_an_unread_body_is_not_reused(self):
        """Guards against the rest of a body that precedes a request."""
        harness = make(is_stalled=True)
        harness.respond(LENGTH, b"ok")
        self.assertEqual(harness.pool.idle, [])
        self.assertTrue(harness.server.transport.disconnecting)


class SlowReadingTest(unittest.TestCase):
    """Load pattern: many callers send large bodies at once."""

    def setUp(self):
        self.harness = gateway_harness.GatewayHarness(
            gateway_harness.make_route(timeout_ms=2_000)
        )
        self.gateway = self.harness.gateway
        self.held = self.hold()
        self.callers = [self.connect() for _ in range(2)]

    def hold(self, size=FULL):
        """Return the body of a request that is sent."""
        owner = mock.Mock()
        owner.refuse_body.return_value = owner.drop_body.return_value = False
        body = self.gateway.bodies.open(owner)
        body.add(bytes(size))
        body.on_complete()
        return body

    def connect(self, body=b"a", fields=b"", length=3):
        caller = caller_connection.CallerConnection(self.gateway)
        caller.makeConnection(recording_transport.RecordingTransport())
        caller.dataReceived(
            b"POST /a/1 HTTP/1.1\r\nHost: desk.example\r\n"
            b"Balsamwall-Request-Id: q1\r\n"
            b"Content-Length: %d\r\n" % length + fields + b"\r\n" + body
        )
        return caller

    @property
    def paused(self):
        return [caller.transport.is_paused for caller in self.callers]

    def test_paused_caller_is_refused_in_time(self):
        """Guards against a caller that waits without a response."""
        late = self.callers[1]
        self.assertEqual(self.paused, [False, True])
        self.harness.clock.advance(1_000)  # half of its timeout
        head, _, body = late.transport.value().partition(b"\r\n\r\n")
        self.assertIn(b"HTTP/1.1 503", head)
        self.assertIn(b"retry-after: 0.50", head.lower())
        self.assertIn(b"connection: close", head.lower())
        self.assertEqual(json.loads(body)["error"]["code"], 2014)
        self.assertTrue(late.transport.disconnecting)

    def test_time_of_several_pauses_is_limited(self):
        """Guards against many bodies that are read slowly and all are late."""
        late = self.callers[1]
        for _ in range(2):
            self.harness.clock.advance(400)
            self.held.release(self.held.owner)
            self.assertEqual(self.paused, [False, False])
            self.held = self.hold()
            self.assertEqual(self.paused, [False, True])
        self.harness.clock.advance(200)
        self.assertIn(b"HTTP/1.1 503", late.transport.value())

    def test_caller_is_read_again(self):
        """Guards against a request that is not read to its end."""
        self.held.release(self.held.owner)
        self.assertEqual(self.paused, [False, False])
        for caller in self.callers:
            caller.dataReceived(b"bc")
        self.harness.clock.advance(1_000)
        for caller in self.callers:
            self.assertIn(b"NO_REPLICA", caller.transport.value())
        self.assertEqual(self.gateway.bodies.total, 0)

    def test_caller_is_not_late_while_it_is_not_read(self):
        """Guards against a timeout of callers for a pause of the entry."""
        limits = self.gateway.limits
        route = gateway_harness.make_route(timeout_ms=200_000)
        self.harness.configuration.offer(
            gateway_harness.make_configuration(2, route)
        )
        reserved = held_bodies.RESERVED_BYTES - 100
        self.hold(reserved)
        caller = self.connect()
        self.harness.clock.advance(2 * limits.idle_timeout_ms)
        self.held.release(self.held.owner)
        self.harness.clock.advance(limits.idle_timeout_ms - 1)
        self.assertEqual(caller.transport.value(), b"")
        self.harness.clock.advance(1)
        self.assertIn(b"HTTP/1.1 408", caller.transport.value())
        self.assertEqual(self.gateway.bodies.total, reserved)

    def test_caller_of_a_complete_request_is_read(self):
        """Guards against a caller whose disconnect is not noticed."""
        self.held.release(self.held.owner)
        self.harness.add_servers("s1")
        self.hold(FULL - 2 * held_bodies.READ_BYTES - 3)
        self.assertEqual(self.paused, [False, False])
        # The last part is read at the moment at which reading is paused.
        self.callers[1].dataReceived(b"bc")
        self.assertEqual(self.gateway.bodies.paused, 0)
        self.assertEqual(self.paused, [False, False])

    def test_waiting_request_makes_room(self):
        """Guards against a queue that holds the memory of others."""
        route = gateway_harness.make_route(timeout_ms=20_000)
        engine = gateway_harness.make_engine("m1")
        self.harness.configuration.offer(
            gateway_harness.make_configuration(2, route, engine=engine)
        )
        self.harness.add_servers("s1", models={})
        waiting = self.connect(b"abcd", b"Balsamwall-Model: m1\r\n", 4)
        self.assertEqual(waiting.transport.value(), b"")
        self.harness.clock.advance(1_000)
        self.assertIn(b"HTTP/1.1 503", waiting.transport.value())
        self.assertIn(b"INSUFFICIENT_MEMORY", waiting.transport.value())
        # The connection serves the next request.
        self.assertFalse(waiting.transport.disconnecting)
