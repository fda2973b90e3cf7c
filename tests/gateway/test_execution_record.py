"""Tests that refusals are true, whatever ends a request, and when."""

from __future__ import annotations

import unittest

from balsamwall.gateway import execution_record
from balsamwall.results import result_code
from balsamwall.timing import virtual_clock
from tests.fixtures import gateway_harness

Code = result_code.ResultCode
Kind = gateway_harness.Kind
State = execution_record.SendState
CERTIFICATE = [(b"balsamwall-not-executed", b"1")]
LEAVING = (Code.LEAVING, "the entry leaves")
NO_MEMORY = (Code.INSUFFICIENT_MEMORY, "no memory")


class SlowPool:
    """Pool whose connections come when the test delivers them."""

    def __init__(self):
        self.waiters = []
        self.connections = []
        self.cancelled = 0

    def acquire(self, record, waiter, is_fresh=False, is_repeatable=False):
        self.waiters.append(waiter)
        return self.cancel

    def cancel(self):
        self.cancelled += 1

    def deliver(self):
        connection = gateway_harness.FakeConnection("s1")
        self.connections.append(connection)
        self.waiters[-1].on_connected(connection)

    @property
    def sends(self):
        return [item for item in self.connections if item.request]


# What ends a request without a response of a server.
ENDS = {
    "deadline": lambda case: case.harness.clock.advance(2_000),
    "end of the process": lambda case: case.handler.terminate(),
    "drain": lambda case: case.handler.refuse_unsent(*LEAVING),
    "memory": lambda case: case.handler.refuse_unrun(*NO_MEMORY),
}
# These leave a request alone while an attempt of it is open.
SPARING_ENDS = ("drain", "memory")
KINDS = (Kind.NON_IDEMPOTENT, Kind.STREAMING)


class RefusalTest(unittest.TestCase):
    """One request that runs at most once, at one slow server."""

    def begin(self, kind):
        self.pool = SlowPool()
        self.harness = gateway_harness.GatewayHarness(
            gateway_harness.make_route(kind=kind), pool=self.pool
        )
        self.harness.add_servers("s1")
        self.exchange = self.harness.send_request(method=b"POST")
        (self.handler,) = self.harness.gateway._handlers

    def check_each_kind(self, check):
        for kind in KINDS:
            with self.subTest(kind=kind):
                self.begin(kind)
                check()

    def check_each_end(self, check):
        """Call the check with the name of each end, for each kind."""
        for kind in KINDS:
            for name in ENDS:
                with self.subTest(kind=kind, end=name):
                    self.begin(kind)
                    check(name)

    def assert_ends_with(self, name, *statuses):
        """End a request with an open attempt; check its status."""
        ENDS[name](self)
        if name in SPARING_ENDS:
            self.assertIsNone(self.exchange.status)
        else:
            self.assertIn(self.exchange.status, statuses)

    def answer(self, name):
        """End the request, by the end of the process if it is spared."""
        ENDS[name](self)
        self.handler.terminate()
        self.assertEqual(self.exchange.status, 503)

    def test_request_that_a_server_may_run_is_not_refused(self):
        """Guards against "not run" for a request that a server has."""

        def check(name):
            self.pool.deliver()
            self.assert_ends_with(name, 502, 504)

        self.check_each_end(check)

    def test_request_whose_connection_broke_is_not_refused(self):
        """Guards against "not run" after a response that never came."""

        def check(name):
            self.pool.deliver()
            self.pool.connections[0].receiver.on_broken(None, "reset")
            self.assertEqual(self.exchange.status, 502)
            # It is not answered again, which the exchange would report.
            ENDS[name](self)

        self.check_each_end(check)

    def test_request_that_was_not_written_is_refused(self):
        """Guards against an unknown outcome of what no server has got."""
        self.check_each_end(lambda name: self.assert_ends_with(name, 503))

    def test_request_that_is_certified_is_refused(self):
        """Guards against an unknown outcome while a refusal is read."""

        def check(name):
            self.pool.deliver()
            self.pool.connections[0].begin(503, CERTIFICATE)
            self.assert_ends_with(name, 503)

        self.check_each_end(check)

    def test_connection_that_comes_after_the_answer_is_not_used(self):
        """Guards against a run of a request that was refused."""

        def check(name):
            self.answer(name)
            self.pool.deliver()
            self.assertEqual(self.pool.sends, [])
            self.assertTrue(self.pool.connections[0].is_closed)

        self.check_each_end(check)

    def test_connection_that_comes_after_the_caller_has_left(self):
        """Guards against a run that nobody waits for."""

        def check():
            self.handler.on_caller_disconnected()
            self.assertEqual(self.pool.cancelled, 1)
            self.pool.deliver()
            self.assertEqual(self.pool.sends, [])

        self.check_each_kind(check)

    def test_send_after_the_answer_is_withheld(self):
        """Guards against a permit or a load that comes after the answer."""

        def check(name):
            self.answer(name)
            self.handler.send(self.harness.directory.get("s1"))
            self.assertEqual(len(self.pool.waiters), 1)

        self.check_each_end(check)

    def test_second_send_is_withheld(self):
        """Guards against two servers that run one request at a time."""
        name = b"balsamwall_gateway_withheld_sends_total 2.0"

        def check():
            for deliver in (lambda: None, self.pool.deliver):
                deliver()
                self.handler.send(self.harness.directory.get("s1"))
                self.assertEqual(len(self.pool.waiters), 1)
                self.assertIsNone(self.exchange.status)
            self.assertIn(name, self.harness.metrics.render())

        self.check_each_kind(check)


class RepeatableTest(unittest.TestCase):
    """One request that may be repeated, at one server."""

    def test_second_send_is_withheld_while_the_first_is_open(self):
        """Guards against a stream that two servers continue at once."""
        for kind in (Kind.IDEMPOTENT, Kind.STREAMING):
            harness = gateway_harness.GatewayHarness(
                gateway_harness.make_route(kind=kind, is_resumable=True)
            )
            harness.add_servers("s1")
            harness.send_request(method=b"POST")
            (handler,) = harness.gateway._handlers
            handler.send(harness.directory.get("s1"))
            self.assertEqual(len(harness.pool.connections), 1)


class StatusTest(unittest.TestCase):
    """Statuses that servers state by themselves."""

    def setUp(self):
        clock = virtual_clock.VirtualClock()
        self.record = execution_record.ExecutionRecord(clock, False)
        self.send = self.record.open_send("s1")

    def test_promise_needs_a_proof(self):
        """Guards against a server's own refusal that is passed on."""
        for status in (408, 421, 429, 503):
            self.setUp()
            self.assertTrue(self.record.permits_status(status))
            self.assertTrue(self.send.begin())
            self.assertFalse(self.record.permits_status(status))
            self.send.on_certified()
            self.assertTrue(self.record.permits_status(status))

    def test_no_code_of_a_request_that_may_have_run_is_a_promise(self):
        """Guards against a code for an unknown outcome with status 503."""
        self.send.begin()
        for code in Code:
            status = self.record.truthful_code(code).http_status
            self.assertTrue(self.record.permits_status(status), code)

    def test_certificate_of_an_unwritten_send_proves_nothing(self):
        """Guards against a second copy of an earlier refusal."""
        self.send.on_certified()
        self.assertIs(self.send.state, State.CONNECTING)
        self.send.begin()
        self.assertTrue(self.record.may_have_run)

    def test_withdrawn_send_stays_withdrawn(self):
        """Guards against the first byte of a send that was given up."""
        self.send.withdraw()
        self.assertFalse(self.send.begin())
        self.assertIs(self.send.state, State.WITHDRAWN)

    def test_only_one_of_two_sends_is_written(self):
        """Guards against two runs of a request whose connections are slow."""
        other = self.record.open_send("s2")
        self.assertTrue(self.send.begin())
        self.assertFalse(other.begin())
