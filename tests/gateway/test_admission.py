"""Tests of the room at servers, as one entry of many estimates it."""

from __future__ import annotations

import unittest

from tests.fixtures import gateway_harness as world_module

Kind = world_module.Kind
MODEL = [(b"balsamwall-model", b"m1")]


class AdmissionTest(unittest.TestCase):
    """Requests wait at the entry exactly while the engines are full."""

    def setUp(self):
        self.routes = {
            priority: world_module.make_route(
                name=f"p{priority}",
                path_prefix=f"/{priority}/",
                kind=Kind.STREAMING,
                timeout_ms=9_000,
                priority=priority,
            )
            for priority in (0, 1)
        }
        self.world = world_module.GatewayWorld(
            *self.routes.values(), engine=world_module.make_engine("m1")
        )
        self.world.add_servers("s1", models={"m1": ()}, slots=4)
        self.server = self.world.directory.get("s1")

    def ask(self, priority=1):
        path = f"/{priority}/x".encode()
        return self.world.ask(
            method=b"POST", path=path, fields=MODEL, deadline_ms=9_000
        )

    @property
    def sent(self):
        return len(self.world.pool.connections)

    def fill(self):
        while True:
            sent = self.sent
            self.ask()
            if self.sent == sent:
                return sent

    def test_request_is_sent_when_another_one_ends(self):
        """Guards against requests that wait although there is room."""
        sent = self.fill()
        self.world.pool.connections[0].respond()
        self.world.clock.advance(50)
        self.assertEqual(self.sent, sent + 1)

    def test_request_goes_to_the_next_copy(self):
        """Guards against a queue at a full engine beside an idle one."""
        self.fill()
        self.world.add_servers("s2", models={"m1": ()}, slots=4)
        self.world.clock.advance(50)
        self.assertEqual(self.world.last.server_id, "s2")

    def test_urgent_request_is_not_held_back(self):
        """Guards against urgent requests that wait for others."""
        sent = self.fill()
        self.ask(priority=0)
        self.assertEqual(self.sent, sent + 1)

    def test_load_of_the_fleet_counts(self):
        """Guards against entries that each fill the same engine."""
        self.server.set_fleet_load(40, self.world.clock.now_ms())
        self.ask()
        self.assertEqual(self.sent, 0)

    def test_old_load_of_the_fleet_does_not_count(self):
        """Guards against an engine that stays full without a coordinator."""
        self.server.set_fleet_load(40, self.world.clock.now_ms())
        self.ask()
        self.world.clock.advance(1_100)
        self.assertEqual(self.sent, 1)

    def test_wait_for_room_ends_in_a_refusal(self):
        """Guards against holding a request until its caller leaves."""
        self.fill()
        exchange = self.ask()
        self.world.clock.advance(1_500)
        self.assertEqual(exchange.status, 503)
