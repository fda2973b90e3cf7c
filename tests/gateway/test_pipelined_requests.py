"""Tests of requests that a caller sends before it has the last response."""

from __future__ import annotations

import unittest
from unittest import mock

from twisted.internet import error
from twisted.python import failure

from balsamwall.gateway import caller_connection
from balsamwall.gateway import crash_suspects
from balsamwall.gateway import workspace as workspace_module
from balsamwall.results import result_code
from tests.fixtures import gateway_harness
from tests.fixtures import quota_fleet
from tests.fixtures import recording_transport
from tests.fixtures import wire_harness

WAIT_MS = 100
TIMEOUT_MS = 2_000
NO_MEMORY = (result_code.ResultCode.INSUFFICIENT_MEMORY, "no memory")


class FakeCoordinator:
    """Coordinator that denies the first charge, and grants the others."""

    def __init__(self, quotas):
        self.quotas = quotas
        self.wait_ms = WAIT_MS

    def send_quota_query(self, number, workspace, cost, reserve):
        wait_ms, self.wait_ms = self.wait_ms, 0
        self.quotas.on_grant(number, 0 if wait_ms else cost, wait_ms, False)
        return True


def encode(attempt_id, deadline_ms):
    """Return the bytes of a request with a key."""
    return (
        b"POST /a/1 HTTP/1.1\r\nHost: desk.example\r\n"
        b"Authorization: Bearer k1\r\nContent-Length: 2\r\n"
        b"Balsamwall-Request-Id: %s\r\nBalsamwall-Deadline-Ms: %d\r\n\r\nhi"
        % (attempt_id, deadline_ms)
    )


class NextRequestTest(unittest.TestCase):
    """A request is refused while it waits for its quota.

    The connection reads the next request within the end of the refusal. The
    quota has room by then, but the timer of the first request has not run.
    """

    def setUp(self):
        unit = workspace_module.QuotaUnit.REQUESTS
        self.harness = gateway_harness.GatewayHarness(
            gateway_harness.make_route(
                kind=gateway_harness.Kind.NON_IDEMPOTENT
            ),
            workspaces=workspace_module.WorkspaceTable(
                [quota_fleet.make_workspace(1, 1, unit)]
            ),
        )
        self.harness.add_servers("s1")
        quotas = self.harness.quotas
        quotas.set_link(FakeCoordinator(quotas))
        self.transport = recording_transport.RecordingTransport()
        self.caller = caller_connection.CallerConnection(self.harness.gateway)
        self.caller.makeConnection(self.transport)

    def send_both(self, deadline_ms):
        self.caller.dataReceived(
            encode(b"q1", deadline_ms) + encode(b"q2", TIMEOUT_MS)
        )
        self.harness.clock.advance(WAIT_MS)

    def check(self):
        """Check that the first request is refused and the second is sent."""
        connections = self.harness.pool.connections
        sent_ids = [connection.request_id for connection in connections]
        self.assertEqual(sent_ids, [b"q2"])
        self.assertEqual(self.transport.value().count(b"HTTP/1.1 503"), 1)
        connections[0].respond(attempt=b"q2")
        self.assertEqual(self.transport.value().count(b"HTTP/1.1 200"), 1)

    def test_request_is_sent_once_after_a_refusal(self):
        """Guards against a request that the one before it sends again."""
        self.harness.clock.call_later(
            WAIT_MS, lambda: self.caller.listener.refuse_unrun(*NO_MEMORY)
        )
        self.send_both(TIMEOUT_MS)
        self.check()

    def test_refusal_is_written_once(self):
        """Guards against a refusal that the next request gets as well."""
        self.send_both(WAIT_MS)
        self.check()


class ResponseEndTest(unittest.TestCase):
    """Whatever the end of a response calls, its request is not sent."""

    def test_send_within_the_end_of_a_refusal_is_withheld(self):
        """Guards against a run of a request that was refused as not run."""
        harness = gateway_harness.GatewayHarness(
            gateway_harness.make_route(kind=gateway_harness.Kind.STREAMING),
            engine=gateway_harness.make_engine("m"),
        )
        harness.add_servers("s1")
        exchange = harness.send_request(
            fields=[(b"balsamwall-model", b"m")], method=b"POST"
        )
        (handler,) = harness.gateway._handlers
        server = harness.directory.get("s1")
        exchange.finish = lambda: handler.send(server)
        self.assertTrue(handler.refuse_unrun(*NO_MEMORY))
        self.assertEqual(exchange.status, 503)
        self.assertEqual(harness.pool.connections, [])

    def test_request_that_ends_within_the_report_of_its_crash(self):
        """Guards against an ended request that reads the next one's body.

        A coordinator in this process may hold content back at once.
        """

        def report(suspects, record, fingerprints, *rest):
            suspects.hold_back(frozenset([fingerprints.request]), WAIT_MS)

        for kind in gateway_harness.Kind:
            harness = wire_harness.WireHarness(
                gateway_harness.make_route(kind=kind), body=b"hi"
            )
            with (
                self.subTest(kind=kind),
                mock.patch.object(
                    crash_suspects.CrashSuspects, "on_broken_response", report
                ),
            ):
                harness.server.connectionLost(
                    failure.Failure(error.ConnectionLost())
                )
                text = harness.transport.value()
                self.assertEqual(text.count(b"HTTP/1.1 502"), 1)
                self.assertEqual(len(harness.pool.connections), 1)
