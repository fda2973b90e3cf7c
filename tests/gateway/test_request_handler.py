"""Tests of sending, retrying, relaying and refusing requests."""

from __future__ import annotations

import unittest

from balsamwall.coordination import content_evidence
from balsamwall.gateway import backend_connection
from balsamwall.gateway import event_relay
from balsamwall.limits import limit_book
from tests.fixtures import gateway_harness as harness_module

Kind = harness_module.Kind
CLOSED = backend_connection.BreakReason.CLOSED
NOT_RUN = [(b"balsamwall-not-executed", b"1")]
MODEL = [(b"balsamwall-model", b"m1")]


class AtMostOnceTest(unittest.TestCase):
    """A non-idempotent request is executed at most once."""

    def setUp(self):
        route = harness_module.make_route(kind=Kind.NON_IDEMPOTENT)
        self.harness = harness_module.GatewayHarness(route)
        self.harness.add_servers("s1", "s2")

    def test_broken_send_is_not_repeated(self):
        """Guards against a second execution after a broken response."""
        exchange = self.harness.send_request(method=b"POST")
        self.harness.last_connection.receiver.on_broken(CLOSED, "reset")
        self.harness.clock.advance(3_000)
        self.assertEqual(len(self.harness.pool.connections), 1)
        self.assertEqual(exchange.status, 502)

    def test_certified_refusal_is_sent_to_another_server(self):
        """Guards against failing a request that has not run."""
        exchange = self.harness.send_request(method=b"POST")
        first = self.harness.last_connection
        first.respond(503, b"", NOT_RUN)
        self.harness.clock.advance(100)
        self.assertNotEqual(
            self.harness.last_connection.server_id, first.server_id
        )
        self.harness.last_connection.respond()
        self.assertEqual((exchange.status, exchange.data), (200, b"ok"))

    def test_refusals_by_all_servers_end_in_a_503(self):
        """Guards against a status that does not certify a refusal."""
        exchange = self.harness.send_request(method=b"POST")
        for _ in range(6):
            if (
                self.harness.last_connection.receiver
                and exchange.status is None
            ):
                self.harness.last_connection.respond(503, b"", NOT_RUN)
                self.harness.clock.advance(100)
        self.assertEqual(exchange.status, 503)
        names = [name for name, _ in exchange.fields]
        self.assertIn(b"retry-after", names)

    def test_deadline_after_a_send_is_a_504(self):
        """Guards against a 503 for a request that may have run."""
        exchange = self.harness.send_request(method=b"POST")
        self.harness.clock.advance(2_001)
        self.assertEqual(exchange.status, 504)
        self.assertTrue(self.harness.last_connection.is_closed)

    def test_refusal_after_a_broken_send_is_a_502(self):
        """Guards against a 503 although the outcome is unknown."""
        exchange = self.harness.send_request(method=b"POST")
        self.harness.last_connection.respond(503, b"", NOT_RUN)
        self.harness.clock.advance(100)
        self.harness.last_connection.receiver.on_broken(CLOSED, "reset")
        self.assertEqual(exchange.status, 502)

    def test_unsigned_success_is_not_forwarded(self):
        """Guards against forwarding a response that is not the server's."""
        exchange = self.harness.send_request(method=b"POST")
        self.harness.last_connection.begin(200, [])
        self.assertEqual(exchange.status, 502)

    def test_encoded_success_is_not_forwarded(self):
        """Guards against forwarding a body that was encoded on the way."""
        encoded = [*harness_module.SIGNED, (b"content-encoding", b"gzip")]
        exchange = self.harness.send_request(method=b"POST")
        self.harness.last_connection.begin(200, encoded)
        self.assertEqual(exchange.status, 502)


class RepeatTest(unittest.TestCase):
    """Retries stay within the attempts, the deadline and the budget."""

    def setUp(self):
        self.harness = harness_module.GatewayHarness(
            harness_module.make_route()
        )
        self.harness.add_servers("s1", "s2", "s3")

    def test_broken_send_goes_to_another_server(self):
        """Guards against failing a request that a second server can serve."""
        exchange = self.harness.send_request()
        first = self.harness.last_connection
        first.receiver.on_broken(CLOSED, "reset")
        self.assertNotEqual(
            self.harness.last_connection.server_id, first.server_id
        )
        self.harness.last_connection.respond()
        self.assertEqual(exchange.end, "finished")

    def test_runs_stay_within_the_attempts_of_the_route(self):
        """Guards against more executions than the route allows."""
        exchange = self.harness.send_request()
        for _ in range(4):
            if exchange.status is None:
                self.harness.last_connection.receiver.on_broken(
                    CLOSED, "reset"
                )
        self.assertEqual(len(self.harness.pool.connections), 2)
        self.assertEqual(exchange.status, 502)

    def test_signed_error_is_forwarded_when_nothing_is_left(self):
        """Guards against replacing the error response of a server."""
        exchange = self.harness.send_request()
        self.harness.last_connection.respond(500, b"bad")
        self.harness.last_connection.respond(500, b"bad")
        self.assertEqual((exchange.status, exchange.data), (500, b"bad"))
        self.assertIn(harness_module.SIGNED[0], exchange.fields)

    def test_unreachable_server_costs_no_attempt(self):
        """Guards against counting failed connects as executions."""
        self.harness.pool.unreachable = {"s1", "s2"}
        exchange = self.harness.send_request()
        self.assertEqual(self.harness.last_connection.server_id, "s3")
        self.harness.last_connection.respond()
        self.assertEqual(exchange.status, 200)

    def test_each_send_carries_the_time_that_is_left(self):
        """Guards against sending a server a deadline that is too long."""
        self.harness.send_request()
        self.harness.clock.advance(700)
        self.harness.last_connection.receiver.on_broken(CLOSED, "reset")
        fields = self.harness.last_connection.request[2]
        self.assertEqual(fields[b"balsamwall-deadline-ms"], b"1300")
        expected = self.harness.last_connection.server_id.encode()
        self.assertEqual(fields[b"balsamwall-expect-instance"], expected)

    def test_retry_budget_bounds_repeats(self):
        """Guards against a retry storm while all servers fail."""
        self.harness.dependencies.set_entries(60)
        for _ in range(200):
            exchange = self.harness.send_request()
            while exchange.status is None:
                self.harness.last_connection.receiver.on_broken(
                    CLOSED, "reset"
                )
        repeats = len(self.harness.pool.connections) - 200
        self.assertLessEqual(repeats, 0.2 * 200 + 50 / 60)

    def test_caller_that_disconnects_cancels_its_send(self):
        """Guards against servers working for a disconnected caller."""
        exchange = self.harness.send_request()
        exchange.listener.on_caller_disconnected()
        self.assertTrue(self.harness.last_connection.is_closed)
        self.harness.clock.advance(3_000)
        self.assertEqual(len(self.harness.pool.connections), 1)

    def test_timeout_of_the_route_ends_the_wait(self):
        """Guards against holding a request past the timeout of its route."""
        route = harness_module.make_route(timeout_ms=500)
        harness = harness_module.GatewayHarness(route)
        harness.add_servers("s1")
        exchange = harness.send_request()
        harness.clock.advance(501)
        self.assertEqual(exchange.status, 504)


class CrashTest(unittest.TestCase):
    """A request that crashes its servers is refused after three."""

    def test_content_that_crashes_servers_is_refused(self):
        """Guards against a request that crashes all servers in turn."""
        harness = harness_module.GatewayHarness(
            harness_module.make_route(kind=Kind.NON_IDEMPOTENT)
        )
        names = [f"s{number}" for number in range(8)]
        harness.add_servers(*names)
        statuses = []
        for _ in names:
            sent = len(harness.pool.connections)
            exchange = harness.send_request(method=b"POST", body=b"poison")
            if len(harness.pool.connections) > sent:
                server_id = harness.last_connection.server_id
                record = harness.directory.get(server_id).record
                harness.last_connection.receiver.on_broken(CLOSED, "reset")
                harness.dependencies.suspects.on_server_lost(record)
                harness.directory.remove(server_id)
                harness.clock.advance(content_evidence.ROUND_MS)
            statuses.append(exchange.status)
        self.assertEqual(statuses, [502] * 3 + [503] * 5)

    def test_refused_content_is_no_demand_for_its_model(self):
        """Guards against loading a model for requests that are refused."""
        harness = harness_module.GatewayHarness(
            harness_module.make_route(kind=Kind.STREAMING),
            engine=harness_module.make_engine("m1"),
        )
        harness.add_servers("s1", models={"m1": ()})
        fields = [*MODEL, (b"balsamwall-prompt-prefix", b"bad:9,own:9")]
        harness.send_request(method=b"POST", fields=fields)
        (handler,) = harness.gateway._handlers
        self.assertEqual(len(harness.gateway.take_arrivals()), 1)
        suspects = harness.dependencies.suspects
        suspects.hold_back(handler.fingerprints.parts, 1_000)
        exchange = harness.send_request(method=b"POST", fields=fields)
        self.assertEqual(exchange.status, 503)
        self.assertIn((b"retry-after", b"1.00"), exchange.fields)
        self.assertEqual(harness.gateway.take_arrivals(), {})
        self.assertEqual(harness.gateway.active_requests, 0)

    def test_stream_with_quarantined_content_is_not_resumed(self):
        """Guards against a resume that crashes a further server."""
        harness = harness_module.GatewayHarness(
            harness_module.make_route(kind=Kind.STREAMING, is_resumable=True)
        )
        harness.add_servers("s1", "s2")
        exchange = harness.send_request(method=b"POST")
        harness.last_connection.begin()
        harness.last_connection.receiver.on_data(b"id: 1\n\n")
        (handler,) = harness.gateway._handlers
        suspects = harness.dependencies.suspects
        suspects.hold_back(handler.fingerprints.all, 1_000)
        self.assertEqual(exchange.end, "")
        harness.last_connection.receiver.on_broken(CLOSED, "reset")
        self.assertEqual(len(harness.pool.connections), 1)
        self.assertEqual(exchange.end, "cut")

    def test_broken_connection_alone_quarantines_nothing(self):
        """Guards against refusing requests after network faults."""
        harness = harness_module.GatewayHarness(
            harness_module.make_route(kind=Kind.NON_IDEMPOTENT)
        )
        harness.add_servers("s1", "s2")
        for _ in range(6):
            exchange = harness.send_request(method=b"POST", body=b"fine")
            harness.last_connection.receiver.on_broken(CLOSED, "reset")
        self.assertEqual(exchange.status, 502)


class StreamTest(unittest.TestCase):
    """Streams are relayed in order, and resumed or visibly cut off."""

    def make(self, is_resumable):
        route = harness_module.make_route(
            kind=Kind.STREAMING, is_resumable=is_resumable, timeout_ms=9_000
        )
        harness = harness_module.GatewayHarness(route)
        harness.add_servers("s1", "s2")
        return harness

    def test_cut_stream_does_not_look_complete(self):
        """Guards against a truncated stream that ends like a complete one."""
        harness = self.make(is_resumable=False)
        exchange = harness.send_request(method=b"POST")
        harness.last_connection.begin()
        harness.last_connection.receiver.on_data(b"id: 1\ndata: a\n\n")
        harness.last_connection.receiver.on_broken(CLOSED, "reset")
        self.assertEqual(exchange.end, "cut")
        self.assertEqual(len(harness.pool.connections), 1)

    def test_resume_goes_on_after_the_last_whole_event(self):
        """Guards against a lost, duplicated or merged event."""
        harness = self.make(is_resumable=True)
        exchange = harness.send_request(method=b"POST")
        harness.last_connection.begin()
        harness.last_connection.receiver.on_data(
            b"id: 1\ndata: a\n\nid: 2\nda"
        )
        harness.last_connection.receiver.on_broken(CLOSED, "reset")
        fields = harness.last_connection.request[2]
        self.assertEqual(fields[b"last-event-id"], b"1")
        harness.last_connection.respond(200, b"id: 2\ndata: b\n\n")
        self.assertEqual(
            exchange.data, b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
        )
        self.assertEqual(exchange.end, "finished")

    def test_resume_keeps_the_limit_of_a_server(self):
        """Guards against resumes that pass a limit."""
        harness = self.make(is_resumable=True)
        exchange = harness.send_request()
        first = harness.last_connection
        first.begin()
        first.receiver.on_data(b"id: 1\n\n")
        other = "s2" if first.server_id == "s1" else "s1"
        harness.limits.book.observe(
            limit_book.LimitObservation(other, 1, 1.0, 0)
        )
        first.receiver.on_broken(CLOSED, "reset")
        harness.clock.advance(100)
        names = [item.server_id for item in harness.pool.connections]
        self.assertEqual(names, [first.server_id] * 2)
        self.assertEqual(exchange.end, "")

    def test_resume_without_a_server_cuts_the_stream(self):
        """Guards against an error body inside a stream."""
        harness = self.make(is_resumable=True)
        exchange = harness.send_request(method=b"POST")
        harness.last_connection.begin()
        harness.last_connection.receiver.on_data(b"id: 1\ndata: a\n\n")
        for name in ("s1", "s2", "s3"):
            harness.directory.remove(name)
        harness.last_connection.receiver.on_broken(CLOSED, "reset")
        harness.clock.advance(2_500)
        self.assertEqual(exchange.end, "cut")
        self.assertEqual(exchange.data, b"id: 1\ndata: a\n\n")

    def test_event_without_an_end_is_cut(self):
        """Guards against unbounded memory for one event."""
        harness = self.make(is_resumable=True)
        exchange = harness.send_request(method=b"POST")
        harness.last_connection.begin()
        harness.last_connection.receiver.on_data(
            b"x" * (event_relay.MAX_EVENT_BYTES + 1)
        )
        self.assertEqual(exchange.end, "cut")

    def test_refused_resume_cuts_the_stream(self):
        """Guards against an error body inside a stream."""
        harness = self.make(is_resumable=True)
        exchange = harness.send_request(method=b"POST")
        harness.last_connection.begin()
        harness.last_connection.receiver.on_data(b"id: 1\ndata: a\n\n")
        harness.last_connection.receiver.on_broken(CLOSED, "reset")
        harness.last_connection.begin(500)
        self.assertEqual(exchange.end, "cut")
        self.assertEqual(exchange.data, b"id: 1\ndata: a\n\n")


class ResidencyTest(unittest.TestCase):
    """Requests for models that are not loaded are queued or refused."""

    def setUp(self):
        route = harness_module.make_route(
            kind=Kind.STREAMING,
            timeout_ms=9_000,
            first_response_target_ms=400,
            gap_target_ms=250,
        )
        engine = harness_module.make_engine("m1", "m2")
        self.harness = harness_module.GatewayHarness(route, engine=engine)
        self.harness.add_servers("s1", models={"m2": ()})

    def test_request_waits_for_its_model(self):
        """Guards against sending to a server without the model."""
        exchange = self.harness.send_request(fields=MODEL)
        self.assertEqual(self.harness.pool.connections, [])
        self.assertEqual(self.harness.wanted[0].model, "m1")
        self.harness.directory.set_models("s1", 1, {"m1": frozenset()})
        self.harness.last_connection.respond()
        self.assertEqual(exchange.status, 200)

    def test_wait_ends_before_the_caller_times_out(self):
        """Guards against queueing a request past the caller's timeout."""
        exchange = self.harness.send_request(fields=MODEL)
        self.harness.clock.advance(1_999)
        self.assertEqual(exchange.status, 503)

    def test_unknown_model_is_refused_at_once(self):
        """Guards against waiting for a model that is not configured."""
        exchange = self.harness.send_request(
            fields=[(b"balsamwall-model", b"no")]
        )
        self.assertEqual(exchange.status, 503)

    def test_server_that_denies_a_model_loses_it(self):
        """Guards against repeated requests to a server without the model."""
        self.harness.directory.set_models("s1", 1, {"m1": frozenset()})
        self.harness.send_request(fields=MODEL)
        self.harness.last_connection.respond(421, b"", [])
        self.assertFalse(self.harness.directory.get("s1").has("m1", ""))


class ConfigurationTest(unittest.TestCase):
    """Responses that depend on the active configuration."""

    def test_no_configuration_is_a_503(self):
        """Guards against a 404 before the routes are known."""
        harness = harness_module.GatewayHarness()
        self.assertEqual(harness.send_request().status, 503)
        self.assertFalse(harness.gateway.is_ready)

    def test_unknown_route_is_a_404(self):
        """Guards against forwarding a request that matches no route."""
        harness = harness_module.GatewayHarness(harness_module.make_route())
        self.assertEqual(harness.send_request(path=b"/b/1").status, 404)

    def test_older_version_is_not_taken(self):
        """Guards against reverting to routes that were removed."""
        harness = harness_module.GatewayHarness(harness_module.make_route())
        newer = harness_module.make_configuration(7)
        older = harness_module.make_configuration(
            6, harness_module.make_route()
        )
        self.assertTrue(harness.configuration.offer(newer))
        self.assertFalse(harness.configuration.offer(older))
        self.assertEqual(harness.send_request().status, 404)

    def test_longest_prefix_wins(self):
        """Guards against choosing the route of a shorter prefix."""
        routes = [
            harness_module.make_route(name="short", path_prefix="/a/"),
            harness_module.make_route(name="long", path_prefix="/a/b/"),
        ]
        configuration = harness_module.make_configuration(1, *routes)
        found = configuration.find_route("DESK.example", "/a/b/c")
        self.assertEqual(found.name, "long")


class DrainTest(unittest.TestCase):
    """A draining process responds to all requests it has read."""

    def drain(self, harness):
        ended = []
        harness.gateway.begin_drain(8_000, lambda: ended.append(True))
        return ended

    def test_waiting_request_is_refused_in_time(self):
        """Guards against a request queued until the process exits."""
        route = harness_module.make_route(
            kind=Kind.STREAMING,
            timeout_ms=20_000,
            first_response_target_ms=3_000,
        )
        engine = harness_module.make_engine("m1")
        harness = harness_module.GatewayHarness(route, engine=engine)
        harness.add_servers("s1")
        exchange = harness.send_request(fields=MODEL, deadline_ms=20_000)
        self.drain(harness)
        harness.clock.advance(3_000)
        self.assertEqual(exchange.status, 503)

    def test_silent_server_ends_in_a_response(self):
        """Guards against a connection closed without a response."""
        route = harness_module.make_route(
            kind=Kind.STREAMING, timeout_ms=20_000
        )
        harness = harness_module.GatewayHarness(route)
        harness.add_servers("s1")
        exchange = harness.send_request(method=b"POST", deadline_ms=20_000)
        ended = self.drain(harness)
        harness.clock.advance(8_000)
        self.assertEqual(exchange.status, 502)
        self.assertEqual(ended, [True])

    def test_streams_that_come_late_are_refused(self):
        """Guards against a stream cut off by the exit of the process."""
        route = harness_module.make_route(
            kind=Kind.STREAMING, timeout_ms=12_000
        )
        harness = harness_module.GatewayHarness(route)
        harness.add_servers("s1")
        ended = []
        harness.gateway.begin_drain(8_000, lambda: ended.append(True))
        self.assertFalse(harness.gateway.is_ready)
        early = harness.send_request(method=b"POST", deadline_ms=12_000)
        harness.clock.advance(3_100)
        late = harness.send_request(method=b"POST")
        self.assertEqual(late.status, 503)
        self.assertEqual(ended, [])
        harness.last_connection.respond(200, b"id: 1\ndata: a\n\n")
        self.assertEqual(early.end, "finished")
        harness.clock.advance(100)
        self.assertEqual(ended, [True])
