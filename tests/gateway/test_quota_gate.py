"""Tests of the charge of one request to the quota of its workspace."""

from __future__ import annotations

import dataclasses
import types
import unittest

from balsamwall.gateway import request_handler
from balsamwall.results import result_code
from tests.fixtures import gateway_harness
from tests.fixtures import quota_fleet

COST = 900
WAIT_MS = 2_000
NOT_RUN = [(b"balsamwall-not-executed", b"1")]


class FakeLink:
    """Coordinator that records queries and grants them, or not."""

    def __init__(self):
        self.queries = []
        self.quotas = None
        self.wait_ms = 0
        self.is_silent = False

    def send_quota_query(self, number, workspace, cost, reserve):
        self.queries.append((workspace, cost))
        if not self.is_silent:
            tokens = 0 if self.wait_ms else cost
            self.quotas.on_grant(number, tokens, self.wait_ms, False)
        return True


class QuotaGateTest(unittest.TestCase):
    """A request is charged once, and only if it may have run."""

    def setUp(self):
        self.route = gateway_harness.make_route(
            kind=gateway_harness.Kind.NON_IDEMPOTENT
        )
        self.harness = gateway_harness.GatewayHarness(self.route)
        self.harness.add_servers("s1")
        self.link = FakeLink()
        self.link.quotas = self.harness.quotas
        self.harness.quotas.set_link(self.link)
        self.workspace = quota_fleet.make_workspace(1_000, 1_000)

    def send(self):
        exchange = gateway_harness.FakeExchange(self.harness.clock)
        request = self.harness.dependencies.codec.decode(exchange.head)
        self.handler = request_handler.RequestHandler(
            self.harness.dependencies,
            exchange,
            dataclasses.replace(
                request,
                prompt_tokens=COST - 100,
                max_output_tokens=100,
                has_token_usage=True,
            ),
            self.route,
            "app",
            lambda handler: None,
            self.workspace,
        )
        self.handler.start()
        return exchange

    @property
    def left(self):
        """Return the tokens that the entry holds for the workspace."""
        return self.harness.quotas._balances["w1"].granted.available

    def test_cost_is_charged_before_the_first_send(self):
        """Guards against requests that are sent without a charge."""
        self.link.is_silent = True
        self.send()
        self.assertEqual(self.link.queries, [("w1", COST)])
        self.assertFalse(self.harness.pool.connections)
        self.harness.quotas.on_grant(1, COST, 0, False)
        self.harness.last_connection.respond()
        self.assertEqual(self.left, 0)

    def test_refusal_states_when_there_is_room(self):
        """Guards against callers who retry too early, or never."""
        self.link.wait_ms = WAIT_MS
        exchange = self.send()
        code = result_code.ResultCode.RATE_LIMITED
        self.assertEqual(exchange.status, code.http_status)
        self.assertIn((b"retry-after", b"2.00"), exchange.fields)
        self.assertFalse(self.harness.pool.connections)
        text = self.harness.metrics.render().decode()
        self.assertIn(
            'balsamwall_gateway_quota_refusals_total{workspace="w1"} 1.0', text
        )

    def test_who_decides_is_logged_once_for_each_change(self):
        """Guards against a line that does not tell the direction."""
        lines = []
        self.harness.quotas._log = types.SimpleNamespace(
            write=lambda event, **fields: lines.append((event, fields))
        )
        for is_silent in (True, True, False, False):
            self.link.is_silent = is_silent
            self.send()
            self.harness.clock.advance(1_000)
        events = [line for line in lines if line[0] != "quota_refused"]
        local = {"workspace": "w1", "may_advance": True, "entries": 100}
        expected = [
            ("quota_decided_locally", local),
            ("quota_decided_by_coordinator", {"workspace": "w1"}),
        ]
        self.assertEqual(events, expected)

    def test_refusals_are_counted_in_one_line_a_second(self):
        """Guards against a line for each refusal, and refusals not counted."""
        lines = []
        self.harness.quotas._log = types.SimpleNamespace(
            write=lambda event, **fields: lines.append(
                (fields["reason"], fields["refused_since_last_line"])
            )
        )
        self.link.wait_ms = WAIT_MS
        for _ in range(3):
            self.send()
        self.harness.clock.advance(WAIT_MS)
        self.send()
        self.assertEqual(lines, [("coordinator", 1), ("coordinator", 3)])

    def test_certified_refusal_costs_nothing(self):
        """Guards against a charge for requests that servers turn away."""
        self.send()
        for _ in range(3):
            self.harness.last_connection.respond(503, b"", NOT_RUN)
            self.harness.clock.advance(100)
        self.assertTrue(self.handler.is_finished)
        self.assertEqual(self.left, COST)

    def test_request_that_ran_is_charged(self):
        """Guards against free requests whose first attempt did not run."""
        self.send()
        self.harness.last_connection.respond(503, b"", NOT_RUN)
        self.harness.clock.advance(100)
        self.harness.last_connection.respond()
        self.assertTrue(self.handler.is_finished)
        self.assertEqual(self.left, 0)

    def test_broken_request_is_charged(self):
        """Guards against free requests whose outcome is unknown."""
        self.send()
        self.handler.on_deadline()
        self.assertEqual(self.left, 0)

    def test_request_without_a_server_costs_nothing(self):
        """Guards against a charge for requests that find no server."""
        self.harness.directory.remove("s1")
        self.send()
        self.assertTrue(self.handler.is_finished)
        self.assertEqual(self.left, COST)

    def test_caller_that_leaves_while_waiting(self):
        """Guards against a send, or a charge, for a caller who has left."""
        self.link.is_silent = True
        self.send()
        self.handler.on_caller_disconnected()
        self.harness.quotas.on_grant(1, COST, 0, False)
        self.assertFalse(self.harness.pool.connections)
        self.assertEqual(self.left, COST)

    def test_request_waits_for_room_that_is_near(self):
        """Guards against a refusal just before there is room."""
        self.link.wait_ms = 100
        exchange = self.send()
        self.assertIsNone(exchange.status)
        self.link.wait_ms = 0
        self.harness.clock.advance(101)
        self.harness.last_connection.respond()
        self.assertEqual(exchange.status, 200)
