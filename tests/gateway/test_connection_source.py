"""Tests of the reasons for new connections to servers."""

from __future__ import annotations

import unittest
from unittest import mock

from twisted.internet import error
from twisted.python import failure

from balsamwall.gateway import connection_source
from balsamwall.gateway import gateway_metrics
from tests.fixtures import dropping_service
from tests.fixtures import gateway_harness

Source = connection_source.ConnectionSource


class OpenReasonTest(unittest.TestCase):
    """Each new connection is explained by what happened to idle ones."""

    def setUp(self):
        self.service = dropping_service.DroppingService(15, 60_000)
        self.record = self.service.records[0]

    def open(self, **changes):
        """Send a request; return the reason for its connection."""
        self.service.request(self.record, **changes)
        return self.service.connection.source

    def test_server_without_a_connection(self):
        """Guards against other reasons where there was no connection."""
        self.assertEqual(self.open(), Source.NONE_IDLE)
        self.assertEqual(self.open(), Source.REUSED)
        self.assertEqual(self.service.reasons, [Source.NONE_IDLE])

    def test_request_that_needs_a_new_one(self):
        """Guards against idle times that are blamed for the request."""
        self.open()
        self.assertEqual(self.open(is_fresh=True), Source.MUST_BE_NEW)
        self.service.requests -= 1  # the identifier is in use again
        self.assertEqual(self.open(), Source.MUST_BE_NEW)

    def test_expired_connection(self):
        """Guards against a short idle time that looks like a busy pool."""
        for idle_ms in (4_000, 100_000):
            with self.subTest(idle_ms):
                self.open(is_fresh=True)
                self.service.clock.advance(idle_ms)
                self.assertEqual(self.open(), Source.TOO_OLD)

    def test_expired_connection_explains_one_new_connection(self):
        """Guards against a busy pool that looks like a short idle time."""
        self.open()
        self.service.clock.advance(20_000)
        self.open()
        for _ in range(2):
            self.service.requests += 1  # in parallel
            self.service.pool.acquire(self.record, self.service)
        self.assertEqual(
            self.service.reasons,
            [Source.NONE_IDLE, Source.TOO_OLD, Source.NONE_IDLE],
        )

    def test_connection_that_expired_long_ago(self):
        """Guards against memory for servers that are gone."""
        self.open()
        self.service.clock.advance(20_000 + connection_source.MEMORY_MS)
        self.assertEqual(self.open(), Source.NONE_IDLE)
        self.assertEqual(self.service.pool._closed._by_server, {})

    def test_connection_that_the_server_closed(self):
        """Guards against an idle time of the server that no reason shows."""
        self.open()
        reason = failure.Failure(error.ConnectionDone())
        self.service.connection.connectionLost(reason)
        self.assertEqual(self.open(), Source.TOO_OLD)

    def test_replaced_process(self):
        """Guards against restarts that look like a short idle time.

        The end of the process may be seen before its record is replaced.
        """
        self.open()
        reason = failure.Failure(error.ConnectionDone())
        self.service.connection.connectionLost(reason)
        self.service.pool.close_idle("s0")
        self.assertEqual(self.open(), Source.OTHER_PROCESS)
        self.record = gateway_harness.make_record("s0", started_ms=2)
        self.assertEqual(self.open(), Source.OTHER_PROCESS)


class ReportTest(unittest.TestCase):
    """The reasons are exported and logged."""

    def test_new_connections_are_counted_by_reason(self):
        """Guards against new connections whose cause no metric shows."""
        metrics = gateway_metrics.GatewayMetrics()
        metrics.count_opened(Source.TOO_OLD)
        name = b"balsamwall_gateway_connections_opened_total"
        self.assertIn(name + b'{reason="too_old"} 1.0', metrics.render())

    def test_log_has_the_connection_of_the_last_attempt(self):
        """Guards against requests whose connection the log does not show."""
        harness = gateway_harness.GatewayHarness(gateway_harness.make_route())
        rows = []
        with mock.patch("eliot.log_message") as log:
            harness.send_request()  # no server
            harness.add_servers("s1")
            for source in (Source.REUSED, Source.TOO_OLD):
                with mock.patch.object(
                    gateway_harness.FakeConnection, "source", source
                ):
                    harness.send_request()
                harness.last_connection.respond()
            harness.pool.unreachable.add("s1")
            harness.send_request()
            harness.clock.advance(2_000)
        for call in log.call_args_list:
            if call.args[0] == "request_over":
                row = call.kwargs
                rows.append((row["is_reused"], row["connection"]))
        self.assertEqual(
            rows,
            [(None, None), (True, "reused"), (False, "too_old"), (None, None)],
        )
