"""Tests that the log shows what stands behind a refusal."""

from __future__ import annotations

import unittest
from unittest import mock

from balsamwall.gateway import route as route_module
from tests.fixtures import gateway_harness

CERTIFICATE = [(b"balsamwall-not-executed", b"1")]


class ExecutionLogTest(unittest.TestCase):
    """Requests that run at most once, at servers that do not run them."""

    def refuse(self, kind=route_module.RequestKind.NON_IDEMPOTENT, sends=3):
        """Refuse all sends of a request; return the lines on its proof."""
        harness = gateway_harness.GatewayHarness(
            gateway_harness.make_route(kind=kind)
        )
        harness.add_servers("s1", "s2", "s3")
        with mock.patch("eliot.log_message") as log:
            self.exchange = harness.send_request(method=b"POST")
            for _ in range(sends):
                harness.last_connection.respond(503, b"", CERTIFICATE)
                harness.clock.advance(20)
            if not sends:
                harness.clock.advance(3_000)
        self.metrics = harness.metrics.render()
        return [
            call.kwargs
            for call in log.call_args_list
            if call.args[0] == "refused_after_send"
        ]

    def test_line_has_the_proof_of_each_send(self):
        """Guards against refusals whose truth no log shows."""
        (row,) = self.refuse()
        self.assertEqual(self.exchange.status, 503)
        self.assertEqual((row["request"], row["proof"]), ("q1", "certified"))
        states = [(send[1], send[2]) for send in row["sends"]]
        self.assertEqual(
            states, [("not_run", 0), ("not_run", 15), ("not_run", 35)]
        )
        name = b"balsamwall_gateway_refusals_after_send_total"
        self.assertIn(name + b'{proof="certified"} 1.0', self.metrics)

    def test_repeatable_request_needs_no_proof(self):
        """Guards against lines for requests that may run again."""
        self.assertEqual(self.refuse(route_module.RequestKind.IDEMPOTENT), [])

    def test_unknown_outcome_is_no_refusal(self):
        """Guards against a proof for a request that may have run."""
        self.assertEqual(self.refuse(sends=0), [])
        self.assertEqual(self.exchange.status, 504)
