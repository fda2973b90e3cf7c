"""Tests of holding requests back without a coordinator."""

from __future__ import annotations

import unittest

from balsamwall.gateway import backend_connection
from balsamwall.gateway import local_suspicion
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
        self.harness.directory.remove(server)
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
