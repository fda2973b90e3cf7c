"""Tests of servers that announce in responses that they leave."""

from __future__ import annotations

import unittest

from balsamwall.coordination import limited_engine_control
from balsamwall.coordination import messages_fleet
from balsamwall.gateway import backend_directory
from balsamwall.platform import engine_calls
from balsamwall.platform import header_codec
from balsamwall.timing import virtual_clock
from tests.fixtures import fleet_harness
from tests.fixtures import gateway_harness

LEAVING = (b"server-leaving", b"1")
NOT_RUN = (b"balsamwall-not-executed", b"1")
# An announcement reaches the other entries within this time.
SHARED_MS = 1_000


class LeavingServersTest(unittest.TestCase):
    """Load pattern: the record of the server stays ready."""

    def setUp(self):
        self.harness = gateway_harness.GatewayHarness(
            gateway_harness.make_route(attempts=1)
        )
        self.harness.add_servers("s1")

    @property
    def is_ready(self):
        return bool(self.harness.directory.ready_servers("app"))

    def respond(self, status, *fields, attempt=b"q1"):
        """Answer a new request with these header fields."""
        exchange = self.harness.send_request()
        connection = self.harness.last_connection
        connection.respond(status, b"x", [*fields], attempt=attempt)
        return exchange

    def test_every_response_of_the_server_counts(self):
        """Guards against an announcement in a kind of response."""
        signed, not_run = gateway_harness.SIGNED[0], NOT_RUN
        for status, proof in (
            (200, signed),
            (404, signed),
            (500, signed),
            (503, not_run),
            (429, not_run),
        ):
            with self.subTest(status):
                self.setUp()
                self.respond(status, proof, LEAVING)
                self.assertFalse(self.is_ready)

    def test_response_of_another_server_does_not_count(self):
        """Guards against a loss of servers whose address is given on."""
        signed, not_run = gateway_harness.SIGNED[0], NOT_RUN
        for status, fields, attempt in (
            (421, (not_run, LEAVING), b"q1"),
            (200, (LEAVING,), b"q1"),
            (200, (signed, LEAVING), b"q0"),
        ):
            with self.subTest(status):
                self.setUp()
                self.respond(status, *fields, attempt=attempt)
                self.assertTrue(self.is_ready)

    def test_running_request_is_not_disturbed(self):
        """Guards against a cut of what the server still serves."""
        running = self.harness.send_request()
        connection = self.harness.last_connection
        self.respond(200, gateway_harness.SIGNED[0], LEAVING)
        self.assertFalse(connection.is_closed)
        connection.respond(200, b"ok")
        self.assertEqual((running.status, running.end), (200, "finished"))

    def test_request_after_it_is_refused_at_once(self):
        """Guards against a request that waits for its deadline in vain."""
        self.respond(200, gateway_harness.SIGNED[0], LEAVING)
        refused = self.harness.send_request()
        self.assertEqual(refused.status, 503)
        self.assertIn(b"retry-after", dict(refused.fields))


class LeavingFleetTest(unittest.TestCase):
    """Four entries, of which one hears the announcement."""

    def setUp(self):
        self.fleet = fleet_harness.FleetHarness(4)
        self.server = self.fleet.servers["s0"]

    def arrivals_since(self, since_ms):
        return [at for at, _ in self.server.arrivals if at > since_ms]

    def play(self, reject_share=0.0):
        """Announce under load; return the requests after SHARED_MS.

        The time counts from the first response to the coordinator's entry.
        """
        self.fleet.send_requests(20, 2_000)
        self.server.announces_leaving = True
        self.server.reject_share = reject_share
        begun_ms = self.fleet.clock.now_ms()
        self.fleet.send_requests(20, 6_000)
        holder = self.fleet.entries[self.fleet.holder].vm
        told_ms = min(
            at_ms
            for at_ms, vm in self.server.arrivals
            if vm == holder and at_ms > begun_ms
        )
        return self.arrivals_since(told_ms + SHARED_MS)

    def test_no_entry_sends_to_it(self):
        """Guards against requests that each entry has to lose first."""
        self.assertEqual(self.play(), [])

    def test_refusals_announce_it_too(self):
        """Guards against an announcement that only successes carry."""
        self.assertEqual(self.play(reject_share=1.0), [])

    def test_entry_that_restarts_learns_it(self):
        """Guards against requests of an entry that knows the record only."""
        self.play()
        self.fleet.restart_entry(2)
        self.fleet.send_requests(20, 1_000)
        since_ms = self.fleet.clock.now_ms()
        self.fleet.send_requests(20, 3_000)
        self.assertEqual(self.arrivals_since(since_ms), [])

    def test_new_process_is_used(self):
        """Guards against a server that gets no request after its restart."""
        self.play()
        self.server.announces_leaving = False
        for entry in self.fleet.entries:
            entry.harness.directory.put(
                gateway_harness.make_record("s0", slots=32, started_ms=77)
            )
        since_ms = self.fleet.clock.now_ms()
        self.fleet.send_requests(40, 3_000)
        self.assertGreater(len(self.arrivals_since(since_ms)), 10)

    def test_all_servers_leave(self):
        """Guards against requests that wait until their deadline."""
        for server in self.fleet.servers.values():
            server.announces_leaving = True
        self.fleet.send_requests(20, 3_000)
        begun = len(self.fleet.exchanges)
        self.fleet.send_requests(20, 1_000)
        statuses = {item.status for item in self.fleet.exchanges[begun:]}
        self.assertEqual(statuses, {503})

    def test_invalid_report_is_ignored(self):
        """Guards against a message that takes out other servers."""
        entry = self.fleet.entries[1]
        rows = [["s1"], ["s1", "x"], [1, 2], ["s1", 0, 0], ["s9", 0]]
        entry.client.on_message(messages_fleet.ServerLeavingReport(rows))
        ready = entry.harness.directory.ready_servers("app")
        self.assertEqual(len(ready), 3)


class AnnouncementTest(unittest.TestCase):
    """What counts as an announcement, and of which process."""

    def decode(self, *fields):
        head = [*gateway_harness.SIGNED, *fields]
        return header_codec.HeaderCodec().decode_response(head, b"q1")

    def test_values_of_the_header(self):
        """Guards against other values that take a server out."""
        for value in (b"0", b"", b"true", b"-1", b"1e999", b"9" * 400):
            with self.subTest(value):
                found = self.decode((b"server-leaving", value))
                self.assertFalse(found.is_leaving)
        self.assertTrue(self.decode(LEAVING).is_leaving)
        self.assertTrue(
            self.decode((b"server-leaving", b"0"), LEAVING).is_leaving
        )

    def test_announcement_of_an_earlier_process(self):
        """Guards against a late report that takes out the new process."""
        clock = virtual_clock.VirtualClock()
        directory = backend_directory.BackendDirectory(clock.now_ms)
        directory.put(gateway_harness.make_record("s1", started_ms=6))
        self.assertFalse(directory.mark_leaving("s1", 5))
        self.assertTrue(directory.mark_leaving("s1", 6))
        self.assertFalse(directory.mark_leaving("s1", 6))
        directory.put(gateway_harness.make_record("s1", started_ms=6))
        self.assertEqual(directory.ready_servers("app"), [])

    def test_announcement_of_a_server_whose_record_lapsed(self):
        """Guards against requests to it when its record returns.

        A stream that it still serves brings the announcement.
        """
        clock = virtual_clock.VirtualClock()
        directory = backend_directory.BackendDirectory(clock.now_ms)
        record = gateway_harness.make_record("s1", started_ms=6)
        directory.put(record)
        directory.remove("s1")
        self.assertFalse(directory.mark_leaving("s1", 5))
        self.assertTrue(directory.mark_leaving("s1", 6))
        directory.put(record)
        self.assertEqual(directory.ready_servers("app"), [])

    def test_report_of_an_engine(self):
        """Guards against orders to an engine that leaves."""
        raw = b'{"seq": 1, "active": 0, "queued": 0}'
        headers = {"server-leaving": "1"}
        self.assertTrue(engine_calls.decode_report(raw, headers).is_leaving)
        self.assertFalse(engine_calls.decode_report(raw, {}).is_leaving)


class OnlyCopyTest(unittest.TestCase):
    """Engines of one model, of which the only holder leaves."""

    def test_coordinator_hears_it_from_the_engine(self):
        """Guards against a model that is loaded nowhere else.

        Only an entry other than the coordinator's sends it requests.
        """
        clock = virtual_clock.VirtualClock()
        directory = backend_directory.BackendDirectory(clock.now_ms)
        directory.put(gateway_harness.make_record("s1", models={"m": ()}))
        limits, permits, _, _ = gateway_harness.make_limits(clock)
        control = limited_engine_control.LimitedEngineControl(
            clock,
            _LeavingEngine(),
            limits,
            permits,
            directory,
            gateway_harness.make_backoff(clock),
        )
        record = directory.get("s1").record
        control.read_report(record, lambda report: None)
        self.assertEqual(directory.holders("app", "m", ""), [])


class _LeavingEngine:
    """Control interface of an engine that announces that it leaves."""

    def read_report(self, record, callback):
        raw = b'{"seq": 1, "active": 0, "queued": 0}'
        callback(engine_calls.decode_report(raw, {"server-leaving": "1"}))
