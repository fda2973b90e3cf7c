"""Tests of servers that ask for a back-off with Retry-After."""

from __future__ import annotations

import unittest

from balsamwall.coordination import engine_control
from balsamwall.coordination import limited_engine_control
from balsamwall.gateway import backend_connection
from balsamwall.gateway import backend_directory
from balsamwall.gateway import server_limits
from balsamwall.infrastructure import http_client
from balsamwall.platform import engine_calls
from balsamwall.platform import header_codec
from balsamwall.timing import virtual_clock
from tests.fixtures import fleet_harness
from tests.fixtures import gateway_harness

CLOSED = backend_connection.BreakReason.CLOSED
SIGNED = gateway_harness.SIGNED[0]
NOT_RUN = (b"balsamwall-not-executed", b"1")
FIRST = b"id: 1\ndata: a\n\n"
# The platform allows two requests from then until the end of the time.
OBEYED_MS = 500


class BackoffTestCase(unittest.TestCase):
    """One entry with servers that refuse requests for a stated time."""

    def setUp(self):
        self.start()
        self.harness.add_servers("s1")

    def start(self, *, pool=None, **changes):
        route = gateway_harness.make_route(**{"attempts": 3, **changes})
        self.harness = gateway_harness.GatewayHarness(route, pool=pool)
        self.clock = self.harness.clock

    def respond_backoff(self, connection, *values, proof=NOT_RUN, status=503):
        fields = [(b"retry-after", value) for value in values]
        connection.respond(status, b"", [proof, *fields])

    def refuse(self, *values, **changes):
        """Let the server refuse a new request with a back-off."""
        exchange = self.harness.send_request()
        connection = self.harness.last_connection
        self.respond_backoff(connection, *values, **changes)
        return exchange

    def sends(self, server="s1"):
        connections = self.harness.pool.connections
        return sum(item.server_id == server for item in connections)

    def retry_after_s(self, exchange):
        return float(dict(exchange.fields)[b"retry-after"])

    def assert_not_sent(self, duration_ms, server="s1"):
        """Check that new requests do not reach the server meanwhile."""
        before = self.sends(server)
        for _ in range(duration_ms // 100):
            self.harness.send_request()
            self.clock.advance(100)
        self.assertEqual(self.sends(server), before)


class PathsTest(BackoffTestCase):
    """Each path on which a request reaches a server."""

    def test_new_request(self):
        """Guards against first sends within the time, and after its end."""
        self.refuse(b"3")
        self.assert_not_sent(2_900)
        self.clock.advance(200)
        self.harness.send_request()
        self.assertGreater(self.sends(), 1)

    def test_retry_of_the_refused_request(self):
        """Guards against a retry that returns to the only server."""
        exchange = self.refuse(b"3")
        self.clock.advance(100)
        self.assertEqual(self.sends(), 1)
        self.assertEqual(exchange.status, 503)
        self.assertGreaterEqual(self.retry_after_s(exchange), 2.8)

    def test_other_server_takes_over(self):
        """Guards against refusals that another server could have served."""
        self.harness.add_servers("s2")
        while not self.sends("s1"):
            self.harness.send_request()
        self.harness.last_connection.respond()
        self.harness.pool.connections.clear()
        self.harness.directory.get("s1").failure_share = -1.0
        exchange = self.refuse(b"3")
        self.clock.advance(20)
        self.harness.last_connection.respond()
        self.assertEqual(exchange.status, 200)
        self.assert_not_sent(2_000)
        self.assertGreater(self.sends("s2"), 10)

    def test_request_that_waits_for_the_end(self):
        """Guards against a refusal where the time ends soon enough."""
        self.refuse(b"1")
        waiting = self.harness.send_request()
        self.clock.advance(900)
        self.assertIsNone(waiting.status)
        self.assertEqual(self.sends(), 1)
        self.clock.advance(200)
        self.assertEqual(self.sends(), 2)

    def test_request_that_waits_while_the_time_grows(self):
        """Guards against a wait that has become hopeless."""
        self.harness.send_request()
        late = self.harness.last_connection
        self.refuse(b"1")
        waiting = self.harness.send_request()
        self.respond_backoff(late, b"9")
        self.clock.advance(50)
        self.assertEqual(waiting.status, 503)
        self.assertGreaterEqual(self.retry_after_s(waiting), 8.9)

    def test_stream_that_goes_on(self):
        """Guards against a resumed stream at the server."""
        self.start(kind=gateway_harness.Kind.STREAMING, is_resumable=True)
        self.harness.add_servers("s1")
        stream = self.harness.send_request(method=b"POST")
        running = self.harness.last_connection
        running.begin()
        running.receiver.on_data(FIRST)
        self.harness.send_request(method=b"POST")
        self.respond_backoff(self.harness.last_connection, b"3")
        running.receiver.on_broken(CLOSED, "reset")
        self.clock.advance(1_000)
        self.assertEqual(self.sends(), 2)
        self.assertEqual(stream.end, "cut")

    def test_trial_of_an_ejected_server(self):
        """Guards against a trial at the end of an ejection."""
        server = self.harness.directory.get("s1")
        for _ in range(10):
            self.harness.health.on_outcome(server, True)
        self.refuse(b"9")
        self.assert_not_sent(8_000)

    def test_permit_of_a_limited_server(self):
        """Guards against requests at the rate of the limit."""
        self.harness.send_request()
        self.harness.last_connection.respond(
            fields=[SIGNED, (b"server-limit", b"50")]
        )
        self.clock.advance(server_limits.MAX_BLOCK_MS)
        self.harness.send_request()
        self.respond_backoff(self.harness.last_connection, b"9")
        self.assert_not_sent(8_000)

    def test_connection_that_is_made_later(self):
        """Guards against a request that waits for its connection."""
        self.start(pool=_SlowPool(), timeout_ms=20_000)
        self.harness.add_servers("s1")
        late = self.harness.send_request()
        self.harness.pool.is_slow = False
        self.refuse(b"9")
        self.clock.advance(600)
        self.harness.pool.connect_late()
        self.assertEqual(self.sends(), 1)
        self.clock.advance(50)
        self.assertEqual(late.status, 503)
        self.assertEqual(self.harness.directory.get("s1").failure_share, 0.0)


class _SlowPool(gateway_harness.FakePool):
    """Pool whose first connection is made late."""

    def __init__(self):
        super().__init__()
        self.is_slow = True
        self._late = None

    def acquire(self, record, waiter, is_fresh=False, is_repeatable=False):
        if not self.is_slow:
            return super().acquire(record, waiter)
        self._late = waiter
        return lambda: None

    def connect_late(self):
        self._late.on_connected(_UnusedConnection("s1"))


class _UnusedConnection(gateway_harness.FakeConnection):
    """Connection on which nothing may be sent."""

    def send(self, method, target, fields, body, receiver):
        raise AssertionError("sent to a server that asked for a back-off")


class TimeTest(BackoffTestCase):
    """How long a process is left alone."""

    def test_every_refusal_counts(self):
        """Guards against a refusal without a proof that is ignored."""
        for proof in (NOT_RUN, SIGNED, (b"x", b"y")):
            with self.subTest(proof):
                self.setUp()
                self.refuse(b"3", proof=proof)
                self.assert_not_sent(2_500)

    def test_other_responses_do_not_count(self):
        """Guards against another server at the address, or a redirect."""
        for status in (421, 200, 500):
            with self.subTest(status):
                self.setUp()
                self.refuse(b"3", status=status, proof=SIGNED)
                self.harness.send_request()
                self.assertGreater(self.sends(), 1)

    def test_shorter_time_after_a_longer_one(self):
        """Guards against a later response that ends the time early."""
        self.harness.send_request()
        other = self.harness.last_connection
        self.refuse(b"9")
        self.respond_backoff(other, b"1")
        self.assert_not_sent(8_000)

    def test_time_goes_on_while_the_process_is_suspended(self):
        """Guards against a clock that stops with the process."""
        self.refuse(b"9")
        self.clock.suspend(9_000)
        self.harness.send_request()
        self.assertEqual(self.sends(), 2)

    def test_next_process_is_used_at_once(self):
        """Guards against a time that outlives the process."""
        self.refuse(b"9")
        self.harness.add_servers("s1", started_ms=2)
        self.harness.send_request()
        self.assertEqual(self.sends(), 2)

    def test_record_that_lapses_and_returns(self):
        """Guards against a time that is lost with the record."""
        self.refuse(b"9")
        self.harness.directory.remove("s1")
        self.harness.add_servers("s1")
        self.assert_not_sent(8_000)

    def test_values_of_the_header(self):
        """Guards against values without sense."""
        cases = {
            (b"2.5",): 2_500,
            (b" 3 ",): 3_000,
            (b"3", b"8"): 8_000,
            (b"8", b"x"): 8_000,
            (b"0",): 0,
            (b"-5",): 0,
            (b"nan",): 0,
            (b"1e999",): 0,
            (b"",): 0,
            (b"9" * 400,): 0,
            (b"Sat, 05 Dec 2026 06:00:00 GMT",): 0,
            (b"86400",): header_codec.MAX_BACKOFF_MS,
        }
        for values, expected_ms in cases.items():
            with self.subTest(values):
                found = header_codec.decode_retry_after(list(values))
                self.assertEqual(found.delay_ms, expected_ms)
        self.assertIsNone(header_codec.decode_retry_after([]))

    def test_one_header_loses_no_server_for_good(self):
        """Guards against a server that is out for a day."""
        self.refuse(b"86400")
        self.clock.advance(header_codec.MAX_BACKOFF_MS)
        self.harness.send_request()
        self.assertEqual(self.sends(), 2)


class CallersTest(BackoffTestCase):
    """What callers get meanwhile, and what the server gets afterwards."""

    def test_server_is_not_blamed(self):
        """Guards against a server that is avoided after its time."""
        for proof in (NOT_RUN, SIGNED):
            with self.subTest(proof):
                self.setUp()
                self.refuse(b"1", proof=proof)
                server = self.harness.directory.get("s1")
                self.assertEqual(server.failure_share, 0.0)

    def test_figure_of_one_server_is_not_passed_on(self):
        """Guards against callers who wait while others could serve."""
        self.start(attempts=1)
        self.harness.add_servers("s1", "s2")
        exchange = self.refuse(b"9", proof=SIGNED)
        self.assertEqual(exchange.status, 503)
        self.assertLess(self.retry_after_s(exchange), 1)

    def test_all_servers_back_off(self):
        """Guards against a wait in vain, and a time that is not true."""
        self.harness.add_servers("s2")
        for seconds in (b"9", b"6"):
            exchange = self.harness.send_request()
            self.respond_backoff(self.harness.last_connection, seconds)
            self.clock.advance(20)
            if exchange.status is None:
                self.respond_backoff(self.harness.last_connection, b"6")
                self.clock.advance(20)
        refused = self.harness.send_request()
        self.assertEqual(refused.status, 503)
        self.assertGreaterEqual(self.retry_after_s(refused), 5.9)
        self.assertLess(self.retry_after_s(refused), 9.1)

    def test_requests_that_wait_are_not_sent_together(self):
        """Guards against a burst at the end of the time."""
        self.refuse(b"1")
        waiting = [self.harness.send_request() for _ in range(60)]
        self.clock.advance(1_020)
        self.assertLessEqual(self.sends(), 2)
        most = answered = 0
        while answered < len(self.harness.pool.connections) - 1:
            opened = self.harness.pool.connections[answered + 1 :]
            most = max(most, len(opened))
            for connection in opened:
                connection.respond()
            answered += len(opened)
            self.clock.advance(20)
        self.assertEqual({item.status for item in waiting}, {200})
        self.assertLessEqual(most, 8)


class EngineCallsTest(unittest.TestCase):
    """Reports and orders of the coordinator."""

    def setUp(self):
        self.clock = virtual_clock.VirtualClock(start_ms=10_000)
        self.backoff = gateway_harness.make_backoff(self.clock)
        self.http = _RefusingEngine()
        engines = engine_calls.EngineCalls(self.http, "front-0")
        engines.set_backoff(self.backoff)
        limits, permits, _, _ = gateway_harness.make_limits(self.clock)
        self.control = limited_engine_control.LimitedEngineControl(
            self.clock,
            engines,
            limits,
            permits,
            backend_directory.BackendDirectory(self.clock.now_ms),
            self.backoff,
        )
        self.record = gateway_harness.make_record("s1")
        self.found = []

    def read_report(self):
        self.control.read_report(self.record, self.found.append)

    def send_order(self):
        order = engine_control.Order(engine_control.OrderKind.LOAD, "m1")
        self.control.send_order(
            self.record, order, 1, 5, None, self.found.append
        )

    def test_nothing_is_sent_within_the_time(self):
        """Guards against orders and reports to such an engine."""
        for call in (self.read_report, self.send_order):
            with self.subTest(call.__name__):
                self.setUp()
                call()
                self.assertEqual(self.http.calls, 1)
                self.read_report()
                self.send_order()
                self.clock.advance(2_900)
                self.assertEqual(self.http.calls, 1)
                conflict = engine_control.OrderOutcome.CONFLICT
                self.assertEqual(self.found[1:], [conflict])

    def test_report_is_read_after_it(self):
        """Guards against an engine that the coordinator forgets."""
        self.read_report()
        self.read_report()
        self.clock.advance(3_000)
        self.assertEqual(self.http.calls, 2)


class _RefusingEngine:
    """HTTP client whose calls are refused with a back-off."""

    def __init__(self):
        self.calls = 0

    def call(
        self,
        method,
        url,
        headers,
        body,
        timeout_ms,
        callback,
        send_by_ms=None,
        max_bytes=None,
    ):
        self.calls += 1
        callback(
            http_client.HttpResponse(503, {"retry-after": "3"}, b"", True, "")
        )


class FleetTest(unittest.TestCase):
    """Several entries, and servers that speak to each of them."""

    def play(self, entries=4, backing_off=("s0",), per_s=60, **changes):
        """Let servers back off from 2 s on, for 8 s at a time."""
        self.fleet = fleet_harness.FleetHarness(entries, **changes)
        self.fleet.send_requests(per_s, 2_000)
        for name in backing_off:
            self.fleet.servers[name].backoff_s = 8
        self.begun = len(self.fleet.exchanges)
        self.fleet.send_requests(per_s, 14_000)
        return self.fleet

    def check(self):
        for server in self.fleet.servers.values():
            self.assertLessEqual(server.most_in_backoff(OBEYED_MS), 2)

    def test_all_servers(self):
        """Guards against requests to servers that asked for none."""
        self.play(backing_off=("s0", "s1", "s2"))
        self.check()

    def test_prompts_that_the_coordinator_assigns(self):
        """Guards against assigned requests, which skip the choice."""
        self.play(9, model="m1", backing_off=("s0", "s1"))
        self.check()

    def test_limited_servers(self):
        """Guards against the few requests of a server with a limit."""
        self.fleet = fleet_harness.FleetHarness(4)
        for server in self.fleet.servers.values():
            server.limit = 4.0
        self.fleet.send_requests(60, 4_000)
        for server in self.fleet.servers.values():
            server.backoff_s = 8
        self.fleet.send_requests(60, 14_000)
        self.check()

    def test_retries_stay_within_the_budget(self):
        """Guards against retries beyond the budget of all entries."""
        fleet = self.play(servers=4, backing_off=("s0", "s1"), attempts=3)
        times_ms = sorted(
            at_ms
            for server in fleet.servers.values()
            for at_ms, _ in server.arrivals
        )
        self.check()
        extra = len(times_ms) - len(fleet.exchanges)
        self.assertLess(extra, 0.2 * len(fleet.exchanges) + 50)
        served = [item.status == 200 for item in fleet.exchanges[self.begun :]]
        self.assertGreater(sum(served), 0.98 * len(served))

    def test_other_entries_go_on(self):
        """Guards against a back-off that is passed on to other entries."""
        fleet = fleet_harness.FleetHarness(4, servers=1)
        fleet.send_requests(20, 1_000)
        record = fleet.records[0]
        front = fleet.entries[1].harness
        front.dependencies.backoff.on_refused(
            record,
            header_codec.decode_retry_after([b"9"]),
            is_from_server=True,
        )
        since_ms = fleet.clock.now_ms()
        fleet.send_requests(20, 5_000)
        senders = {
            vm
            for at_ms, vm in fleet.servers["s0"].arrivals
            if at_ms > since_ms
        }
        self.assertEqual(senders, {"front-0", "front-2", "front-3"})

    def test_server_gets_its_part_again(self):
        """Guards against a server that is avoided after its time."""
        fleet = self.play()
        server = fleet.servers["s0"]
        server.backoff_s = None
        fleet.send_requests(60, 8_500)
        since_ms = fleet.clock.now_ms()
        fleet.send_requests(60, 5_000)
        counts = [
            sum(at_ms > since_ms for at_ms, _ in item.arrivals)
            for item in fleet.servers.values()
        ]
        self.assertGreater(counts[0], sum(counts) / 6)
