"""Tests of the admission of requests to engines."""

from __future__ import annotations

import unittest

from balsamwall.gateway import admission
from tests.fixtures import fake_waiter
from tests.fixtures import gateway_harness as harness_module

Kind = harness_module.Kind
MODEL = [(b"balsamwall-model", b"m1")]


class AdmissionTest(unittest.TestCase):
    """Requests are queued at the entry only while the engines are full."""

    def setUp(self):
        self.routes = {
            priority: harness_module.make_route(
                name=f"p{priority}",
                path_prefix=f"/{priority}/",
                kind=Kind.STREAMING,
                timeout_ms=9_000,
                priority=priority,
            )
            for priority in (0, 1)
        }
        self.harness = harness_module.GatewayHarness(
            *self.routes.values(), engine=harness_module.make_engine("m1")
        )
        self.harness.add_servers("s1", models={"m1": ()}, slots=4)
        self.server = self.harness.directory.get("s1")

    def send_request(self, priority=1):
        path = f"/{priority}/x".encode()
        return self.harness.send_request(
            method=b"POST", path=path, fields=MODEL, deadline_ms=9_000
        )

    @property
    def sent(self):
        return len(self.harness.pool.connections)

    def fill(self):
        while True:
            sent = self.sent
            self.send_request()
            if self.sent == sent:
                return sent

    def test_request_is_sent_when_another_one_ends(self):
        """Guards against requests left in the queue although there is room."""
        sent = self.fill()
        self.harness.pool.connections[0].respond()
        self.harness.clock.advance(50)
        self.assertEqual(self.sent, sent + 1)

    def test_queued_request_goes_to_a_new_replica(self):
        """Guards against requests queued although another engine is idle."""
        self.fill()
        self.harness.add_servers("s2", models={"m1": ()}, slots=4)
        self.harness.clock.advance(50)
        self.assertEqual(self.harness.last_connection.server_id, "s2")

    def test_urgent_request_is_not_queued(self):
        """Guards against urgent requests queued behind others."""
        sent = self.fill()
        self.send_request(priority=0)
        self.assertEqual(self.sent, sent + 1)

    def test_load_of_the_fleet_counts(self):
        """Guards against an engine that several entries fill independently."""
        self.server.set_fleet_load(40, self.harness.clock.now_ms())
        self.send_request()
        self.assertEqual(self.sent, 0)

    def test_old_load_of_the_fleet_does_not_count(self):
        """Guards against an engine that looks full without a coordinator."""
        self.server.set_fleet_load(40, self.harness.clock.now_ms())
        self.send_request()
        self.harness.clock.advance(1_100)
        self.assertEqual(self.sent, 1)

    def test_wait_for_room_ends_in_a_refusal(self):
        """Guards against queueing a request until its caller disconnects."""
        self.fill()
        exchange = self.send_request()
        self.harness.clock.advance(1_500)
        self.assertEqual(exchange.status, 503)


class BorrowTest(unittest.TestCase):
    """Load pattern: an entry has room for a send in two seconds."""

    def setUp(self):
        self.harness = harness_module.GatewayHarness()
        self.harness.add_servers("s1", models={"m1": ()}, slots=24)
        self.server = self.harness.directory.get("s1")
        self.admission = self.harness.dependencies.admission
        self.fleet = admission.FleetRoom(lambda: [self.server], 0.0, 2_500.0)
        self.server.set_fleet_load(12, self.harness.clock.now_ms())

    def send(self, priority=(1, 1), is_sparse=False):
        """Send a request if there is room; return whether there was."""
        waiter = fake_waiter.FakeWaiter(None, None, priority=priority)
        has_room = self.admission.has_fair_room(
            self.server,
            waiter,
            self.fleet,
            is_owed=False,
            is_sparse=is_sparse,
        )
        if has_room:
            self.admission.on_fair_sent(waiter, may_borrow=is_sparse)
        return has_room

    def test_sparse_workspace_borrows_one_send(self):
        """Guards against a request that becomes late although it is first.

        The entry sends less afterwards, so that engines aren't overrun.
        """
        self.assertFalse(self.send())
        self.assertTrue(self.send(is_sparse=True))
        self.assertFalse(self.send(is_sparse=True))

    def test_urgent_requests_borrow_nothing(self):
        """Guards against an entry that sends only urgent requests."""
        self.send()
        for _ in range(5):
            self.assertTrue(self.send(priority=(0, 0), is_sparse=True))
        self.assertTrue(self.send(is_sparse=True))
