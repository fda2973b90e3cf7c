"""Tests that a refusal is believed only if it is of this very send."""

from __future__ import annotations

import unittest

from twisted.internet import error
from twisted.python import failure

from balsamwall.gateway import connection_pool
from balsamwall.gateway import execution_record
from balsamwall.gateway import gateway
from balsamwall.platform import header_codec
from balsamwall.results import result_code
from balsamwall.timing import virtual_clock
from tests.fixtures import gateway_harness
from tests.fixtures import recording_transport

REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\n"
    b"%sBalsamwall-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)
ECHO = b"Balsamwall-Request-Id: q1\r\n"
OTHER = b"Balsamwall-Request-Id: q9\r\n"
SIGNATURE = b"Balsamwall-Response-Signature: s1\r\n"
OTHER_SIGNATURE = b"Balsamwall-Response-Signature: s2\r\n"
CERTIFICATE = b"balsamwall-not-executed"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
CRLF = b"\r\n"
BROKEN_OUTCOME_STATUS = 502


class FakeReactor:
    """Reactor whose connections succeed at once and record what is sent."""

    def __init__(self, clock):
        self._clock = clock
        self.connections = []

    def callLater(self, delay_s, function, *arguments):  # noqa: N802
        self._clock.call_later(int(delay_s * 1_000), function, *arguments)

    def connectTCP(self, host, port, factory, timeout):  # noqa: N802
        connection = factory.buildProtocol(None)
        # The recording transport has no socket to configure.
        connection.connectionMade = lambda: None
        transport = recording_transport.RecordingTransport()
        connection.makeConnection(transport)
        self.connections.append(connection)
        return transport


class CertifiedRefusalTest(unittest.TestCase):
    """A stream that may not be repeated, at the only engine of its model."""

    def setUp(self):
        self.clock = virtual_clock.VirtualClock(start_ms=10_000)
        self.reactor = FakeReactor(self.clock)
        pool = connection_pool.ConnectionPool(
            self.reactor, self.clock, header_codec.REQUEST_ID
        )
        self.harness = gateway_harness.GatewayHarness(
            gateway_harness.make_route(kind=gateway_harness.Kind.STREAMING),
            clock=self.clock,
            pool=pool,
        )
        self.harness.add_servers("s1")
        self.exchange = self.harness.send_request(method=b"POST")
        self.clock.advance(1)

    @property
    def sends(self):
        """Return how often the request was written to the server."""
        return sum(
            connection.transport.value().count(b"POST /a/1")
            for connection in self.reactor.connections
        )

    def last_send(self):
        return self.reactor.connections[-1]

    def test_refusal_that_comes_twice_counts_once(self):
        """Guards against a second copy that is taken for the next send's."""
        first = self.last_send()
        first.dataReceived(REFUSAL % ECHO)
        self.clock.advance(100)
        self.assertEqual(self.sends, 2)
        # The server runs the second send; a copy of its refusal is late.
        first.dataReceived(REFUSAL % ECHO)
        self.clock.advance(300)
        self.assertIsNone(self.exchange.status)
        self.assertEqual(self.sends, 2)

    def test_uncertified_status_is_no_promise(self):
        """Guards against a server's own 503 that callers take as a promise."""
        for status in (b"408", b"429", b"503"):
            self.setUp()
            self.last_send().dataReceived(
                b"HTTP/1.1 %s Busy\r\n%s"
                b"Balsamwall-Response-Signature: s1\r\n"
                b"Content-Length: 0\r\n\r\n" % (status, ECHO)
            )
            self.assertEqual(self.exchange.status, BROKEN_OUTCOME_STATUS)
            names = [name for name, _ in self.exchange.fields]
            self.assertNotIn(b"balsamwall-response-signature", names)

    def test_refusal_without_the_identifier_is_no_proof(self):
        """Guards against a refusal of another request on the connection."""
        self.last_send().dataReceived(REFUSAL % b"")
        self.clock.advance(300)
        self.assertEqual(self.exchange.status, BROKEN_OUTCOME_STATUS)
        self.assertEqual(self.sends, 1)

    def test_head_with_two_identifiers_or_signatures_is_no_proof(self):
        """Guards against the refusal or answer of another request.

        It is not skipped either, since no other response may come.
        """
        ok = b"HTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n\r\n"
        for head in (
            REFUSAL % (OTHER + ECHO),
            REFUSAL % (ECHO + OTHER),
            REFUSAL % (ECHO + OTHER + ECHO),
            ok % (SIGNATURE + OTHER + ECHO),
            ok % (ECHO + SIGNATURE + OTHER_SIGNATURE),
            ok % (ECHO + OTHER_SIGNATURE + SIGNATURE),
        ):
            self.setUp()
            self.last_send().dataReceived(head)
            self.clock.advance(300)
            with self.subTest(head):
                self.assertEqual(self.exchange.status, BROKEN_OUTCOME_STATUS)
                self.assertEqual(self.sends, 1)
                self.assertTrue(self.last_send().transport.is_aborted)

    def test_head_that_repeats_itself_is_a_proof(self):
        """Guards against an unknown outcome of a request that did not run."""
        certificate = b"Balsamwall-Not-Executed: 1\r\n"
        self.last_send().dataReceived(REFUSAL % (2 * ECHO + certificate))
        self.clock.advance(100)
        self.assertEqual(self.sends, 2)

    def test_certificate_counts_only_with_the_status_of_a_refusal(self):
        """Guards against a second run after a status that states a run."""
        certified = (400, 408, 421, 429, 503)
        for status in (*certified, 200, 404, 500, 502, 504):
            for signature in (SIGNATURE, b""):
                self.setUp()
                refusal = REFUSAL % (ECHO + signature)
                self.last_send().dataReceived(
                    refusal.replace(b"503", b"%d" % status)
                )
                self.clock.advance(100)
                with self.subTest(status=status, signature=signature):
                    if status in certified:
                        expected = (None, 2)
                    else:
                        passed_on = (
                            status if signature else BROKEN_OUTCOME_STATUS
                        )
                        expected = (passed_on, 1)
                    found = (self.exchange.status, self.sends)
                    self.assertEqual(found, expected)
                    self.assertNotIn(CERTIFICATE, dict(self.exchange.fields))

    def receive(self, data, end):
        """Let the server respond and end the connection; return the sends."""
        self.setUp()
        connection = self.last_send()
        connection.dataReceived(data)
        if end is not None:
            connection.connectionLost(failure.Failure(end()))
        self.clock.advance(300)
        return self.sends

    def test_whole_head_is_a_proof_whatever_follows(self):
        """Guards against an unknown outcome of a request that did not run."""
        head = (REFUSAL % ECHO).replace(b"Content-Length: 0\r\n\r\n", b"")
        for interim in (b"", b"HTTP/1.1 103 Early Hints\r\n" + OTHER + CRLF):
            for rest, end in (
                (CHUNKED + b"2\r\nab\r\n0\r\n\r\n", None),
                (CHUNKED + b"2\r\na", error.ConnectionLost),
                (b"Content-Length: 9\r\n\r\na", error.ConnectionDone),
                (b"Content-Length: 0\r\n\r\njunk", None),
                (b"\r\nab", error.ConnectionDone),
                (b"\r\nab", None),
            ):
                with self.subTest(interim=interim, rest=rest):
                    sends = self.receive(interim + head + rest, end)
                    self.assertEqual(sends, 2)

    def test_certificate_outside_of_a_whole_head_is_no_proof(self):
        """Guards against a second run after half a refusal."""
        whole = REFUSAL % ECHO
        bare = whole.replace(b"Balsamwall-Not-Executed: 1\r\n", b"")
        in_trailer = bare.replace(b"Content-Length: 0\r\n\r\n", CHUNKED)
        interim = whole.replace(b"503 Service Unavailable", b"103 Hints")
        for data, end in (
            (whole[:-1], error.ConnectionDone),
            (whole[:-2], error.ConnectionLost),
            (in_trailer + b"0\r\nBalsamwall-Not-Executed: 1\r\n\r\n", None),
            (interim, error.ConnectionDone),
            (interim + bare, None),
            (bare.replace(b"503", b"421").replace(ECHO, b""), None),
        ):
            with self.subTest(data):
                self.assertEqual(self.receive(data, end), 1)
                self.assertEqual(self.exchange.status, BROKEN_OUTCOME_STATUS)

    def end_by_exit(self):
        self.harness.gateway.begin_drain(gateway.KILL_MARGIN_MS, lambda: None)

    def end_by_quarantine(self):
        request = self.exchange.listener.fingerprints.request
        suspects = self.harness.dependencies.suspects
        suspects.hold_back(frozenset([request]), 9_000)

    def end_by_memory(self):
        code = result_code.ResultCode.INSUFFICIENT_MEMORY
        self.exchange.listener.refuse_unrun(code, "")

    def end_by_deadline(self):
        self.clock.suspend(5_000)
        self.clock.advance(0)

    def end_by_caller(self):
        self.exchange.listener.on_caller_disconnected()

    def test_request_that_ends_after_its_refusal_is_not_sent_again(self):
        """Guards against a run that follows the answer, or a false one."""
        for name in [name for name in dir(self) if name.startswith("end_by")]:
            for is_refused in (True, False):
                self.setUp()
                if is_refused:
                    self.last_send().dataReceived(REFUSAL % ECHO)
                getattr(self, name)()
                promises = execution_record.NOT_RUN_STATUSES
                is_promise = self.exchange.status in promises
                with self.subTest(name, is_refused=is_refused):
                    expected = is_refused and name != "end_by_caller"
                    self.assertEqual(is_promise, expected)
                    self.clock.advance(9_000)
                    self.assertEqual(self.sends, 1)
