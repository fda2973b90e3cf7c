"""Tests of holding requests back without a coordinator."""

from __future__ import annotations

import unittest

from balsamwall.gateway import backend_connection
from balsamwall.gateway import local_suspicion
from balsamwall.gateway import request_dispatch
from balsamwall.timing import virtual_clock
from tests.fixtures import gateway_harness

CLOSED = backend_connection.BreakReason.CLOSED


class LocalSuspicionTest(unittest.TestCase):
    """Load pattern: one request crashes two servers, and never returns."""

    def setUp(self):
        self.clock = virtual_clock.VirtualClock(start_ms=1_000)
        self.local = local_suspicion.LocalSuspicion(self.clock)
        for number in range(local_suspicion.MIN_CRASHES):
            self.local.on_broken(b"r", f"s{number}", self.clock.now_ms())
            self.clock.advance(10)

    def test_others_need_a_digest_only_while_it_is_held_back(self):
        """Guards against digests of all requests for ever."""
        self.clock.advance(local_suspicion.FIRST_HOLD_MS - 30)
        self.assertTrue(self.local)
        self.clock.advance(30)
        self.assertFalse(self.local)

    def test_later_crash_holds_it_back_again(self):
        """Guards against a request that is forgotten with its hold."""
        self.clock.advance(local_suspicion.FIRST_HOLD_MS)
        self.assertFalse(self.local)
        self.local.on_broken(b"r", "s9", self.clock.now_ms())
        self.assertTrue(self.local)
        left_ms = self.local.remaining_ms(b"r", is_coordinated=False)
        self.assertEqual(left_ms, 2 * local_suspicion.FIRST_HOLD_MS)

    def test_second_send_to_a_crashed_process_is_no_crash(self):
        """Guards against sound requests that are held back after one crash.

        The loss of the process is not known yet at the second send.
        """
        for _ in range(3):
            self.local.on_broken(b"sound", "s1", self.clock.now_ms())
            self.clock.advance(5)
        left_ms = self.local.remaining_ms(b"sound", is_coordinated=False)
        self.assertEqual(left_ms, 0)


class CrashedProcessTest(unittest.TestCase):
    """Load pattern: sends to a process that has crashed, still listed."""

    def setUp(self):
        self.harness = gateway_harness.GatewayHarness(
            gateway_harness.make_route(attempts=1)
        )
        self.suspects = self.harness.dependencies.suspects
        self.link = gateway_harness.CrashLoop(
            self.harness.clock, self.suspects, self.harness.log
        )
        self.link.is_coordinated = False
        self.suspects.set_link(self.link)

    def break_at(self, server, path):
        """Let one server break a request without a response."""
        self.harness.add_servers(server)
        self.harness.send_request(path=path)
        self.harness.last_connection.receiver.on_broken(CLOSED, "reset")
        record = self.harness.directory.get(server).record
        self.harness.directory.remove(server)
        self.suspects.on_server_lost(record)
        self.harness.clock.advance(1)

    def is_held_back(self, path):
        self.harness.add_servers("s9")
        exchange = self.harness.send_request(path=path)
        self.harness.directory.remove("s9")
        return exchange.status == 503

    def test_request_after_the_crash_is_not_suspected(self):
        """Guards against sound requests that are held back (soak seed 2056).

        The crash broke another request before this one was sent.
        """
        self.harness.add_servers("s1")
        for path in (b"/a/other", b"/a/sound"):
            self.harness.send_request(path=path)
            self.harness.last_connection.receiver.on_broken(CLOSED, "reset")
            self.harness.clock.advance(5)
        self.harness.directory.remove("s1")
        self.break_at("s2", b"/a/sound")
        self.assertFalse(self.is_held_back(b"/a/sound"))

    def test_request_that_crashes_after_a_response_is_suspected(self):
        """Guards against a lost crash of a process that has lived on.

        One response was broken off, and another one came since.
        """
        self.harness.add_servers("s1")
        self.harness.send_request(path=b"/a/other")
        self.harness.last_connection.receiver.on_broken(CLOSED, "reset")
        self.harness.send_request(path=b"/a/third")
        self.harness.last_connection.respond()
        self.break_at("s1", b"/a/bad")
        self.break_at("s2", b"/a/bad")
        self.assertTrue(self.is_held_back(b"/a/bad"))


class BrokenOffResponseTest(unittest.TestCase):
    """Load pattern: live servers break off responses, no coordinator.

    Callers send requests without a body for one path, which have one digest.
    """

    SOUND = b"/a/sound"
    OTHER = b"/a/other"
    # Both break the request below in succession.
    FIRST, SECOND = "s1", "s2"

    def setUp(self):
        self.harness = gateway_harness.GatewayHarness(
            gateway_harness.make_route(attempts=1)
        )
        self.clock = self.harness.clock
        self.suspects = self.harness.dependencies.suspects
        self.link = gateway_harness.CrashLoop(
            self.clock, self.suspects, self.harness.log
        )
        self.link.is_coordinated = False
        self.suspects.set_link(self.link)
        self.servers = (self.FIRST, self.SECOND, "s3")
        self.harness.add_servers(*self.servers)

    def send_to(self, server, path):
        """Send a request that can reach one server only."""
        for name in self.servers:
            known = self.harness.directory.get(name)
            if known is not None:
                known.is_leaving = name != server
        exchange = self.harness.send_request(path=path)
        self.clock.advance(1)
        return exchange

    def break_off(self, server, path=SOUND):
        """Let a live server close the connection inside a response."""
        self.send_to(server, path)
        connection = self.harness.last_connection
        connection.begin()
        connection.receiver.on_data(b"par")
        connection.receiver.on_broken(CLOSED, "closed cleanly")
        self.clock.advance(30)

    def crash(self, server, path=SOUND):
        """Let a server crash without a response."""
        self.send_to(server, path)
        self.harness.last_connection.receiver.on_broken(CLOSED, "reset")
        self.harness.pool.unreachable.add(server)
        self.clock.advance(1)

    def refuse_connection(self, server):
        self.send_to(server, b"/a/later")

    def answer(self, server, path=OTHER):
        """Let a server respond to another request."""
        self.send_to(server, path)
        self.harness.last_connection.respond()
        self.clock.advance(request_dispatch.RETRY_PAUSE_MS)

    def check_live_server(self, live):
        """Check that callers wait, and are served once a server answers."""
        sends = len(self.harness.pool.connections)
        callers = [self.send_to("s3", self.SOUND) for _ in range(3)]
        self.assertEqual(
            [item.status for item in callers], [None] * len(callers)
        )
        self.assertEqual(len(self.harness.pool.connections), sends)
        self.answer(live)
        for connection in self.harness.pool.connections[-len(callers) :]:
            self.assertEqual(connection.request[1], self.SOUND)
            connection.respond()
        self.assertEqual(
            [item.status for item in callers], [200] * len(callers)
        )

    def test_response_broken_off_before_a_crash_is_no_crash(self):
        """Guards against sound requests that are held back (soak seed 9002).

        One server broke a response off, and another one crashed after it.
        """
        self.break_off(self.FIRST)
        self.crash(self.SECOND)
        self.refuse_connection(self.SECOND)
        self.check_live_server(self.FIRST)

    def test_response_broken_off_after_a_crash_is_no_crash(self):
        """Guards against the same in the other order."""
        self.crash(self.FIRST)
        self.refuse_connection(self.FIRST)
        self.break_off(self.SECOND)
        self.check_live_server(self.SECOND)

    def test_two_responses_broken_off_are_no_crash(self):
        """Guards against the same without any crash."""
        self.break_off(self.FIRST)
        self.break_off(self.SECOND)
        self.check_live_server(self.SECOND)

    def test_answer_before_the_crash_of_another_server_counts(self):
        """Guards against a wait although the first server has answered."""
        self.break_off(self.FIRST)
        self.answer(self.FIRST)
        self.crash(self.SECOND)
        exchange = self.send_to("s3", self.SOUND)
        self.harness.last_connection.respond()
        self.assertEqual(exchange.status, 200)

    def test_server_that_crashed_inside_a_response_is_counted(self):
        """Guards against a crash that is taken for a response broken off.

        Both refuse connections, so that nothing is waited for.
        """
        self.break_off(self.FIRST)
        self.harness.pool.unreachable.add(self.FIRST)
        self.refuse_connection(self.FIRST)
        self.crash(self.SECOND)
        self.refuse_connection(self.SECOND)
        exchange = self.send_to("s3", self.SOUND)
        self.assertEqual(exchange.status, 503)

    def send_to_any(self, path=SOUND):
        """Send a request that may reach all servers."""
        for name in self.servers:
            self.harness.directory.get(name).is_leaving = False
        return self.harness.send_request(path=path)

    def test_server_that_broke_a_response_off_gets_the_next_request(self):
        """Guards against a hold where all requests have the same digest.

        Then no other request shows whether the servers live.
        """
        self.break_off(self.FIRST)
        self.crash(self.SECOND)
        callers = [self.send_to_any() for _ in range(3)]
        self.clock.advance(3 * request_dispatch.RETRY_PAUSE_MS)
        sent = self.harness.pool.connections[-len(callers) :]
        self.assertEqual({item.server_id for item in sent}, {self.FIRST})
        for connection in sent:
            connection.respond()
        self.assertEqual([item.status for item in callers], [200] * 3)
        self.assertFalse(self.suspects.holds_any)

    def test_refused_connections_decide_before_any_other_server(self):
        """Guards against a crash of one server more than without the wait."""
        for server in (self.FIRST, self.SECOND):
            self.crash(server)
        sends = len(self.harness.pool.connections)
        exchange = self.send_to_any()
        self.clock.advance(3 * request_dispatch.RETRY_PAUSE_MS)
        self.assertEqual(exchange.status, 503)
        self.assertEqual(len(self.harness.pool.connections), sends)

    def test_request_is_held_back_if_no_server_answers(self):
        """Guards against sends to further servers, and against a long wait."""
        self.break_off(self.FIRST)
        self.crash(self.SECOND)
        sends = len(self.harness.pool.connections)
        exchange = self.send_to("s3", self.SOUND)
        self.clock.advance(local_suspicion.DECISION_MS)
        self.assertEqual(exchange.status, 503)
        self.assertEqual(self.send_to("s3", self.SOUND).status, 503)
        self.assertEqual(len(self.harness.pool.connections), sends)

    def test_new_coordinator_sends_no_request_that_waits(self):
        """Guards against a further crash when a coordinator is elected."""
        self.break_off(self.FIRST)
        self.crash(self.SECOND)
        exchange = self.send_to("s3", self.SOUND)
        self.link.is_coordinated = True
        self.clock.advance(local_suspicion.DECISION_MS)
        self.assertEqual(exchange.status, 503)

    def test_later_answer_releases_a_request(self):
        """Guards against a hold of 6 s after an answer that was slow."""
        self.break_off(self.FIRST)
        self.crash(self.SECOND)
        self.clock.advance(local_suspicion.DECISION_MS)
        self.assertEqual(self.send_to("s3", self.SOUND).status, 503)
        self.answer(self.FIRST)
        exchange = self.send_to("s3", self.SOUND)
        self.harness.last_connection.respond()
        self.assertEqual(exchange.status, 200)

    def test_answer_to_an_earlier_request_refutes_no_crash(self):
        """Guards against an answer that was under way at the crash."""
        self.send_to(self.FIRST, self.OTHER)
        under_way = self.harness.last_connection
        self.crash(self.FIRST)
        under_way.respond()
        self.crash(self.SECOND)
        exchange = self.send_to("s3", self.SOUND)
        self.clock.advance(local_suspicion.DECISION_MS)
        self.assertEqual(exchange.status, 503)

    def test_answer_of_a_new_process_refutes_no_crash(self):
        """Guards against a crash that is forgotten with the restart.

        The record of the new process does not arrive, or it arrives late.
        """
        for is_refused in (False, True):
            with self.subTest(is_refused=is_refused):
                self.setUp()
                self.crash(self.FIRST)
                if is_refused:
                    self.refuse_connection(self.FIRST)
                else:
                    self.clock.advance(local_suspicion.MAX_REFUTATION_MS)
                self.harness.pool.unreachable.clear()
                self.answer(self.FIRST)
                self.crash(self.SECOND)
                exchange = self.send_to("s3", self.SOUND)
                self.clock.advance(local_suspicion.DECISION_MS)
                self.assertEqual(exchange.status, 503)

    def test_crashes_beside_a_response_broken_off_are_counted(self):
        """Guards against a refuted crash that hides one of its time."""
        self.crash(self.FIRST)
        self.refuse_connection(self.FIRST)
        self.send_to("s3", self.SOUND)
        third = self.harness.last_connection
        self.break_off(self.SECOND)
        third.receiver.on_broken(CLOSED, "reset")
        self.answer(self.SECOND)
        exchange = self.send_to(self.SECOND, self.SOUND)
        self.clock.advance(local_suspicion.DECISION_MS)
        self.assertEqual(exchange.status, 503)

    def test_awaited_processes_are_bounded(self):
        """Guards against memory that grows with each process."""
        local = local_suspicion.LocalSuspicion(self.clock)
        for number in range(2 * local_suspicion.MAX_AWAITED):
            local.on_broken(b"%d" % number, f"s{number}", self.clock.now_ms())
        self.clock.advance(1)
        answers = [
            local.on_answer(f"s{number}", self.clock.now_ms())
            for number in range(2 * local_suspicion.MAX_AWAITED)
        ]
        self.assertEqual(sum(answers), local_suspicion.MAX_AWAITED)
        self.assertFalse(local.awaits_answers)
