"""Tests of the life of a request: what is sent, repeated and promised."""

from __future__ import annotations

import unittest

from balsamwall.gateway import backend_connection
from balsamwall.gateway import event_relay
from tests.fixtures import gateway_harness as world_module

Kind = world_module.Kind
CLOSED = backend_connection.BreakReason.CLOSED
NOT_RUN = [(b"balsamwall-not-executed", b"1")]
MODEL = [(b"balsamwall-model", b"m1")]


class AtMostOnceTest(unittest.TestCase):
    """A request that may not be repeated reaches one run at most."""

    def setUp(self):
        route = world_module.make_route(kind=Kind.NON_IDEMPOTENT)
        self.world = world_module.GatewayWorld(route)
        self.world.add_servers("s1", "s2")

    def test_broken_send_is_not_repeated(self):
        """Guards against a second run after a cut answer."""
        exchange = self.world.ask(method=b"POST")
        self.world.last.receiver.on_broken(CLOSED, "reset")
        self.world.clock.advance(3_000)
        self.assertEqual(len(self.world.pool.connections), 1)
        self.assertEqual(exchange.status, 502)

    def test_certified_refusal_is_sent_to_another_server(self):
        """Guards against giving up although nothing has run."""
        exchange = self.world.ask(method=b"POST")
        first = self.world.last
        first.respond(503, b"", NOT_RUN)
        self.world.clock.advance(100)
        self.assertNotEqual(self.world.last.server_id, first.server_id)
        self.world.last.respond()
        self.assertEqual((exchange.status, exchange.data), (200, b"ok"))

    def test_refusals_by_all_servers_end_in_a_true_503(self):
        """Guards against a promise that names the wrong status."""
        exchange = self.world.ask(method=b"POST")
        for _ in range(6):
            if self.world.last.receiver and exchange.status is None:
                self.world.last.respond(503, b"", NOT_RUN)
                self.world.clock.advance(100)
        self.assertEqual(exchange.status, 503)
        names = [name for name, _ in exchange.fields]
        self.assertIn(b"retry-after", names)

    def test_deadline_after_a_send_is_no_promise(self):
        """Guards against a 503 for a request that may have run."""
        exchange = self.world.ask(method=b"POST")
        self.world.clock.advance(2_001)
        self.assertEqual(exchange.status, 504)
        self.assertTrue(self.world.last.is_closed)

    def test_refusal_after_a_broken_send_is_no_promise(self):
        """Guards against a 503 after an unknown outcome."""
        exchange = self.world.ask(method=b"POST")
        self.world.last.respond(503, b"", NOT_RUN)
        self.world.clock.advance(100)
        self.world.last.receiver.on_broken(CLOSED, "reset")
        self.assertEqual(exchange.status, 502)

    def test_unsigned_success_is_not_forwarded(self):
        """Guards against bytes that are not the server's answer."""
        exchange = self.world.ask(method=b"POST")
        self.world.last.begin(200, [])
        self.assertEqual(exchange.status, 502)

    def test_encoded_success_is_not_forwarded(self):
        """Guards against a body that is not the server's."""
        encoded = [*world_module.SIGNED, (b"content-encoding", b"gzip")]
        exchange = self.world.ask(method=b"POST")
        self.world.last.begin(200, encoded)
        self.assertEqual(exchange.status, 502)


class RepeatTest(unittest.TestCase):
    """What may be repeated is, within attempts, time and budget."""

    def setUp(self):
        self.world = world_module.GatewayWorld(world_module.make_route())
        self.world.add_servers("s1", "s2", "s3")

    def test_broken_send_goes_to_another_server(self):
        """Guards against failing what a second server can answer."""
        exchange = self.world.ask()
        first = self.world.last
        first.receiver.on_broken(CLOSED, "reset")
        self.assertNotEqual(self.world.last.server_id, first.server_id)
        self.world.last.respond()
        self.assertEqual(exchange.end, "finished")

    def test_runs_stay_within_the_attempts_of_the_route(self):
        """Guards against more runs than the route allows."""
        exchange = self.world.ask()
        for _ in range(4):
            if exchange.status is None:
                self.world.last.receiver.on_broken(CLOSED, "reset")
        self.assertEqual(len(self.world.pool.connections), 2)
        self.assertEqual(exchange.status, 502)

    def test_signed_error_is_forwarded_when_nothing_is_left(self):
        """Guards against replacing the answer of a server."""
        exchange = self.world.ask()
        self.world.last.respond(500, b"bad")
        self.world.last.respond(500, b"bad")
        self.assertEqual((exchange.status, exchange.data), (500, b"bad"))
        self.assertIn(world_module.SIGNED[0], exchange.fields)

    def test_unreachable_server_costs_no_attempt(self):
        """Guards against counting connects that failed as runs."""
        self.world.pool.unreachable = {"s1", "s2"}
        exchange = self.world.ask()
        self.assertEqual(self.world.last.server_id, "s3")
        self.world.last.respond()
        self.assertEqual(exchange.status, 200)

    def test_each_send_carries_the_time_that_is_left(self):
        """Guards against handing a server more time than is left."""
        self.world.ask()
        self.world.clock.advance(700)
        self.world.last.receiver.on_broken(CLOSED, "reset")
        fields = self.world.last.request[2]
        self.assertEqual(fields[b"balsamwall-deadline-ms"], b"1300")
        expected = self.world.last.server_id.encode()
        self.assertEqual(fields[b"balsamwall-expect-instance"], expected)

    def test_retry_budget_bounds_repeats(self):
        """Guards against a retry storm while all servers fail."""
        self.world.dependencies.set_entries(60)
        for _ in range(200):
            exchange = self.world.ask()
            while exchange.status is None:
                self.world.last.receiver.on_broken(CLOSED, "reset")
        repeats = len(self.world.pool.connections) - 200
        self.assertLessEqual(repeats, 0.2 * 200 + 50 / 60)

    def test_caller_that_leaves_cancels_its_send(self):
        """Guards against servers that work for nobody."""
        exchange = self.world.ask()
        exchange.listener.on_caller_disconnected()
        self.assertTrue(self.world.last.is_closed)
        self.world.clock.advance(3_000)
        self.assertEqual(len(self.world.pool.connections), 1)

    def test_timeout_of_the_route_ends_the_wait(self):
        """Guards against holding a request past its route's time."""
        route = world_module.make_route(timeout_ms=500)
        world = world_module.GatewayWorld(route)
        world.add_servers("s1")
        exchange = world.ask()
        world.clock.advance(501)
        self.assertEqual(exchange.status, 504)


class CrashTest(unittest.TestCase):
    """A request that crashes its servers reaches three of them."""

    def test_content_that_crashes_servers_is_refused(self):
        """Guards against a request that takes down all servers in turn."""
        world = world_module.GatewayWorld(
            world_module.make_route(kind=Kind.NON_IDEMPOTENT)
        )
        names = [f"s{number}" for number in range(8)]
        world.add_servers(*names)
        statuses = []
        for _ in names:
            sent = len(world.pool.connections)
            exchange = world.ask(method=b"POST", body=b"poison")
            if len(world.pool.connections) > sent:
                server_id = world.last.server_id
                world.last.receiver.on_broken(CLOSED, "reset")
                world.dependencies.suspects.on_server_lost(server_id)
                world.directory.remove(server_id)
            statuses.append(exchange.status)
        self.assertEqual(statuses, [502] * 3 + [503] * 5)

    def test_cut_connection_alone_blames_nobody(self):
        """Guards against refusing requests after network faults."""
        world = world_module.GatewayWorld(
            world_module.make_route(kind=Kind.NON_IDEMPOTENT)
        )
        world.add_servers("s1", "s2")
        for _ in range(6):
            exchange = world.ask(method=b"POST", body=b"fine")
            world.last.receiver.on_broken(CLOSED, "reset")
        self.assertEqual(exchange.status, 502)


class StreamTest(unittest.TestCase):
    """Streams are relayed in order, resumed in place, or cut visibly."""

    def make(self, is_resumable):
        route = world_module.make_route(
            kind=Kind.STREAMING, is_resumable=is_resumable, timeout_ms=9_000
        )
        world = world_module.GatewayWorld(route)
        world.add_servers("s1", "s2")
        return world

    def test_cut_stream_does_not_look_complete(self):
        """Guards against a short stream that ends like a whole one."""
        world = self.make(is_resumable=False)
        exchange = world.ask(method=b"POST")
        world.last.begin()
        world.last.receiver.on_data(b"id: 1\ndata: a\n\n")
        world.last.receiver.on_broken(CLOSED, "reset")
        self.assertEqual(exchange.end, "cut")
        self.assertEqual(len(world.pool.connections), 1)

    def test_resume_goes_on_after_the_last_whole_event(self):
        """Guards against a lost, doubled or joined event."""
        world = self.make(is_resumable=True)
        exchange = world.ask(method=b"POST")
        world.last.begin()
        world.last.receiver.on_data(b"id: 1\ndata: a\n\nid: 2\nda")
        world.last.receiver.on_broken(CLOSED, "reset")
        fields = world.last.request[2]
        self.assertEqual(fields[b"last-event-id"], b"1")
        world.last.respond(200, b"id: 2\ndata: b\n\n")
        self.assertEqual(
            exchange.data, b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
        )
        self.assertEqual(exchange.end, "finished")

    def test_resume_without_a_server_cuts_the_stream(self):
        """Guards against an error body inside a stream."""
        world = self.make(is_resumable=True)
        exchange = world.ask(method=b"POST")
        world.last.begin()
        world.last.receiver.on_data(b"id: 1\ndata: a\n\n")
        for name in ("s1", "s2", "s3"):
            world.directory.remove(name)
        world.last.receiver.on_broken(CLOSED, "reset")
        world.clock.advance(2_500)
        self.assertEqual(exchange.end, "cut")
        self.assertEqual(exchange.data, b"id: 1\ndata: a\n\n")

    def test_event_without_an_end_is_cut(self):
        """Guards against a stream that fills the memory."""
        world = self.make(is_resumable=True)
        exchange = world.ask(method=b"POST")
        world.last.begin()
        world.last.receiver.on_data(b"x" * (event_relay.MAX_EVENT_BYTES + 1))
        self.assertEqual(exchange.end, "cut")

    def test_refused_resume_cuts_the_stream(self):
        """Guards against an error body inside a stream."""
        world = self.make(is_resumable=True)
        exchange = world.ask(method=b"POST")
        world.last.begin()
        world.last.receiver.on_data(b"id: 1\ndata: a\n\n")
        world.last.receiver.on_broken(CLOSED, "reset")
        world.last.begin(500)
        self.assertEqual(exchange.end, "cut")
        self.assertEqual(exchange.data, b"id: 1\ndata: a\n\n")


class ResidencyTest(unittest.TestCase):
    """Requests for models that are not loaded wait or are refused."""

    def setUp(self):
        route = world_module.make_route(
            kind=Kind.STREAMING,
            timeout_ms=9_000,
            first_response_target_ms=400,
            gap_target_ms=250,
        )
        engine = world_module.make_engine("m1", "m2")
        self.world = world_module.GatewayWorld(route, engine=engine)
        self.world.add_servers("s1", models={"m2": ()})

    def test_request_waits_for_its_model(self):
        """Guards against sending to a server without the model."""
        exchange = self.world.ask(fields=MODEL)
        self.assertEqual(self.world.pool.connections, [])
        self.assertEqual(self.world.wanted[0].model, "m1")
        self.world.directory.set_models("s1", 1, {"m1": frozenset()})
        self.world.last.respond()
        self.assertEqual(exchange.status, 200)

    def test_wait_ends_before_the_caller_leaves(self):
        """Guards against holding a request until its caller gives up."""
        exchange = self.world.ask(fields=MODEL)
        self.world.clock.advance(1_999)
        self.assertEqual(exchange.status, 503)

    def test_unknown_model_is_refused_at_once(self):
        """Guards against waiting for what can't be served."""
        exchange = self.world.ask(fields=[(b"balsamwall-model", b"no")])
        self.assertEqual(exchange.status, 503)

    def test_server_that_denies_a_model_loses_it(self):
        """Guards against asking the same server again and again."""
        self.world.directory.set_models("s1", 1, {"m1": frozenset()})
        self.world.ask(fields=MODEL)
        self.world.last.respond(421, b"", [])
        self.assertFalse(self.world.directory.get("s1").has("m1", ""))


class ConfigurationTest(unittest.TestCase):
    """Answers that depend on the configuration in force."""

    def test_no_configuration_is_a_503(self):
        """Guards against a 404 before the routes are known."""
        world = world_module.GatewayWorld()
        self.assertEqual(world.ask().status, 503)
        self.assertFalse(world.gateway.is_ready)

    def test_unknown_route_is_a_404(self):
        """Guards against running what no route allows."""
        world = world_module.GatewayWorld(world_module.make_route())
        self.assertEqual(world.ask(path=b"/b/1").status, 404)

    def test_older_version_is_not_taken(self):
        """Guards against falling back to dropped routes."""
        world = world_module.GatewayWorld(world_module.make_route())
        newer = world_module.make_configuration(7)
        older = world_module.make_configuration(6, world_module.make_route())
        self.assertTrue(world.configuration.offer(newer))
        self.assertFalse(world.configuration.offer(older))
        self.assertEqual(world.ask().status, 404)

    def test_longest_prefix_wins(self):
        """Guards against the route of a shorter prefix."""
        routes = [
            world_module.make_route(name="short", path_prefix="/a/"),
            world_module.make_route(name="long", path_prefix="/a/b/"),
        ]
        configuration = world_module.make_configuration(1, *routes)
        found = configuration.find_route("DESK.example", "/a/b/c")
        self.assertEqual(found.name, "long")


class DrainTest(unittest.TestCase):
    """A process that is told to stop finishes what it has read."""

    def drain(self, world):
        ended = []
        world.gateway.begin_drain(8_000, lambda: ended.append(True))
        return ended

    def test_waiting_request_is_refused_in_time(self):
        """Guards against a request that waits until the process ends."""
        route = world_module.make_route(
            kind=Kind.STREAMING,
            timeout_ms=20_000,
            first_response_target_ms=3_000,
        )
        engine = world_module.make_engine("m1")
        world = world_module.GatewayWorld(route, engine=engine)
        world.add_servers("s1")
        exchange = world.ask(fields=MODEL, deadline_ms=20_000)
        self.drain(world)
        world.clock.advance(3_000)
        self.assertEqual(exchange.status, 503)

    def test_silent_server_ends_in_an_answer(self):
        """Guards against a connection that closes without any answer."""
        route = world_module.make_route(kind=Kind.STREAMING, timeout_ms=20_000)
        world = world_module.GatewayWorld(route)
        world.add_servers("s1")
        exchange = world.ask(method=b"POST", deadline_ms=20_000)
        ended = self.drain(world)
        world.clock.advance(8_000)
        self.assertEqual(exchange.status, 502)
        self.assertEqual(ended, [True])

    def test_streams_that_come_late_are_refused(self):
        """Guards against a stream that the end of the process would cut."""
        route = world_module.make_route(kind=Kind.STREAMING, timeout_ms=12_000)
        world = world_module.GatewayWorld(route)
        world.add_servers("s1")
        ended = []
        world.gateway.begin_drain(8_000, lambda: ended.append(True))
        self.assertFalse(world.gateway.is_ready)
        early = world.ask(method=b"POST", deadline_ms=12_000)
        world.clock.advance(3_100)
        late = world.ask(method=b"POST")
        self.assertEqual(late.status, 503)
        self.assertEqual(ended, [])
        world.last.respond()
        self.assertEqual(early.end, "finished")
        world.clock.advance(100)
        self.assertEqual(ended, [True])
