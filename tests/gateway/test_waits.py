"""Tests of the wait policy, with forecasts from the coordinator."""

from __future__ import annotations

import unittest

from balsamwall.limits import limit_book
from tests.fixtures import gateway_harness as harness_module

MODEL = [(b"balsamwall-model", b"m1")]
CALLER_TIMEOUT_MS = 2_000
RETRY_AFTER_MS = 1_500


class WaitsTest(unittest.TestCase):
    """A request waits only for a load or a queue that ends in time."""

    def setUp(self):
        self.harness = harness_module.GatewayHarness(
            harness_module.make_route(
                kind=harness_module.Kind.STREAMING, timeout_ms=9_000
            ),
            engine=harness_module.make_engine("m1", "m2"),
        )
        self.harness.add_servers("s1", models={"m2": ()}, slots=4)

    def send_request(self):
        return self.harness.send_request(
            method=b"POST", fields=MODEL, deadline_ms=9_000
        )

    def report(self, loads_due=None, queued=None):
        self.harness.dependencies.forecast.on_state(
            loads_due or {}, queued or {}
        )

    def advance_with_reports(self, duration_ms, expected_ms=None):
        for passed_ms in range(0, duration_ms, 100):
            if expected_ms is None:
                self.report()
            else:
                self.report({"m1": max(0, expected_ms - passed_ms)})
            self.harness.clock.advance(100)

    @staticmethod
    def retry_after_ms(exchange):
        return int(1_000 * float(dict(exchange.fields)[b"retry-after"]))

    def test_request_is_refused_early_when_no_load_is_planned(self):
        """Guards against callers queued until their timeout."""
        exchange = self.send_request()
        self.advance_with_reports(CALLER_TIMEOUT_MS // 2)
        self.assertEqual(exchange.status, 503)

    def test_request_waits_for_a_load_that_is_planned(self):
        """Guards against a refusal just before the model is loaded."""
        exchange = self.send_request()
        self.advance_with_reports(1_000, expected_ms=1_000)
        self.assertIsNone(exchange.status)
        self.harness.add_servers("s2", models={"m1": ()}, slots=4)
        self.assertEqual(self.harness.last_connection.server_id, "s2")

    def test_load_that_comes_too_late_refuses_at_once(self):
        """Guards against a wait that exceeds the timeout of the caller."""
        self.report({"m1": 3_000})
        exchange = self.send_request()
        self.harness.clock.advance(50)
        self.assertEqual(exchange.status, 503)
        self.assertGreaterEqual(self.retry_after_ms(exchange), 2_900)

    def test_refused_callers_retry_at_different_times(self):
        """Guards against a thundering herd of retries at an engine."""
        self.report({"m1": 3_000})
        exchanges = [self.send_request() for _ in range(20)]
        self.harness.clock.advance(1)
        times = {self.retry_after_ms(exchange) for exchange in exchanges}
        self.assertGreater(len(times), 10)

    def test_refused_callers_still_count_as_waiting(self):
        """Guards against never loading a model whose callers were refused."""
        self.send_request()
        self.advance_with_reports(CALLER_TIMEOUT_MS // 2)
        self.assertEqual(sum(self.harness.waits.counts().values()), 1)
        self.harness.clock.advance(2 * RETRY_AFTER_MS)
        self.assertEqual(self.harness.waits.counts(), {})

    def test_queue_that_is_too_long_refuses_at_once(self):
        """Guards against a queue in which every request times out."""
        self.harness.add_servers("s1", models={"m1": ()}, slots=4)
        server = self.harness.directory.get("s1")
        server.set_fleet_load(40, self.harness.clock.now_ms())
        self.report(queued={"m1": 1})
        waiting = self.send_request()
        self.assertIsNone(waiting.status)
        self.report(queued={"m1": 40})
        refused = self.send_request()
        self.assertEqual(refused.status, 503)

    def test_queue_of_a_limited_server_refuses_at_once(self):
        """Guards against requests that wait for permits until they expire."""
        harness = self.harness
        found = limit_book.LimitObservation("s1", 1, 1.0, 0)
        harness.limits.book.observe(found)
        self.report(queued={"m2": 1})
        fields = [(b"balsamwall-model", b"m2")]
        waiting = harness.send_request(fields=fields, deadline_ms=9_000)
        self.report(queued={"m2": 10})
        refused = harness.send_request(fields=fields, deadline_ms=9_000)
        self.assertEqual((waiting.status, refused.status), (None, 503))
        self.assertGreaterEqual(self.retry_after_ms(refused), 10_000)

    def test_old_report_does_not_refuse(self):
        """Guards against refusals by the last report of a lost coordinator."""
        self.harness.add_servers("s1", models={"m1": ()}, slots=4)
        self.report(queued={"m1": 40})
        self.harness.clock.advance(1_500)
        server = self.harness.directory.get("s1")
        server.set_fleet_load(40, self.harness.clock.now_ms())
        self.assertIsNone(self.send_request().status)
