"""Tests of server records during store outages, and of ejection."""

from __future__ import annotations

import unittest

from balsamwall.gateway import backend_directory
from balsamwall.gateway import server_feed
from balsamwall.gateway import server_health
from balsamwall.logs import decision_log
from balsamwall.timing import virtual_clock
from tests.fixtures import gateway_harness


def read(server_id, raw):
    if raw == b"bad":
        raise ValueError("bad record")
    started_ms, state, *sequence = raw.decode().split(" ")
    return gateway_harness.make_record(
        server_id,
        started_ms=int(started_ms),
        is_draining=state == "draining",
        sequence=int(sequence[0]) if sequence else None,
    )


class ServerFeedTest(unittest.TestCase):
    """Records and removals decide which servers receive requests."""

    def setUp(self):
        self.clock = virtual_clock.VirtualClock(start_ms=1_000)
        self.directory = backend_directory.BackendDirectory(self.clock.now_ms)
        self.feed = server_feed.ServerFeed(
            self.clock,
            self.directory,
            read,
            decision_log.DecisionLog(self.clock),
        )
        self.feed.on_store_state(True)
        self.clock.advance(server_feed.REJOIN_GRACE_MS + 1)
        self.feed.on_record("s1", b"5 ready")

    def names(self):
        ready = self.directory.ready_servers("app")
        return [server.server_id for server in ready]

    def test_removal_counts_at_once(self):
        """Guards against requests to a server that was removed."""
        self.feed.on_record("s1", None)
        self.assertEqual(self.names(), [])

    def test_drain_is_not_reverted(self):
        """Guards against requests to a server that is draining."""
        self.feed.on_record("s1", b"5 draining")
        self.feed.on_record("s1", b"5 ready")
        self.assertEqual(self.names(), [])

    def test_new_process_under_the_same_name_is_ready(self):
        """Guards against a server that gets no requests after a restart."""
        self.feed.on_record("s1", b"5 draining")
        self.feed.on_record("s1", b"6 ready")
        self.assertEqual(self.names(), ["s1"])
        self.assertEqual(self.directory.get("s1").in_flight, 0)

    def test_drain_is_kept_where_the_record_returns(self):
        """Guards against a drain that ends with a lost record."""
        self.feed.on_record("s1", b"5 draining")
        self.feed.on_record("s1", None)
        self.feed.on_record("s1", b"5 ready")
        self.assertEqual(self.names(), [])

    def test_server_that_left_does_not_return_with_the_copy(self):
        """Guards against requests to a server that a restored store shows."""
        self.feed.on_record("s1", None)
        self.feed.on_record("s1", b"5 ready", is_restored=True)
        self.clock.advance(server_feed.RESTORED_RECORD_HOLD_MS - 1)
        self.assertEqual(self.names(), [])
        self.feed.on_record("s1", None)
        self.clock.advance(server_feed.RESTORED_RECORD_HOLD_MS)
        self.assertEqual(self.names(), [])

    def test_server_that_writes_again_returns(self):
        """Guards against the loss of a living server."""
        self.feed.on_record("s1", None)
        self.feed.on_record("s1", b"5 ready", is_restored=True)
        self.feed.on_record("s1", b"5 ready")
        self.assertEqual(self.names(), ["s1"])

    def test_server_whose_record_stays_returns(self):
        """Guards against a living server that wrote just before the read."""
        self.feed.on_record("s1", None)
        self.feed.on_record("s1", b"5 ready", is_restored=True)
        self.clock.advance(server_feed.RESTORED_RECORD_HOLD_MS)
        self.assertEqual(self.names(), ["s1"])

    def test_new_process_returns_with_the_copy(self):
        """Guards against a restarted server that is held like the old one."""
        self.feed.on_record("s1", None)
        self.feed.on_record("s1", b"6 ready", is_restored=True)
        self.assertEqual(self.names(), ["s1"])

    def test_older_record_of_a_process_is_not_applied(self):
        """Guards against the models and the load of some seconds ago."""
        self.feed.on_record("s1", b"5 ready 9")
        known = self.directory.get("s1").record
        self.feed.on_record("s1", b"5 ready 8", is_restored=True)
        self.assertIs(self.directory.get("s1").record, known)
        # A server may take its number from the record in the store.
        self.feed.on_record("s1", b"5 ready 8")
        self.assertIsNot(self.directory.get("s1").record, known)

    def test_drain_in_an_older_record_is_obeyed(self):
        """Guards against a drain that was written before the store was read.

        The server goes on from the number in the copy.
        """
        self.feed.on_record("s1", b"5 ready 9")
        self.feed.on_record("s1", b"5 draining 8", is_restored=True)
        self.assertEqual(self.names(), [])

    def test_record_that_expired_in_an_outage_has_a_grace(self):
        """Guards against removing all servers after an outage."""
        self.feed.on_store_state(False)
        self.clock.advance(5_000)
        self.feed.on_store_state(True)
        self.feed.on_record("s1", None)
        self.assertEqual(self.names(), ["s1"])
        self.clock.advance(1_500)
        self.feed.on_record("s1", b"5 ready")
        self.clock.advance(5_000)
        self.assertEqual(self.names(), ["s1"])

    def test_record_that_is_not_renewed_is_removed(self):
        """Guards against requests to a server that failed in an outage."""
        self.feed.on_store_state(False)
        self.feed.on_store_state(True)
        self.feed.on_record("s1", None)
        self.clock.advance(server_feed.REJOIN_GRACE_MS)
        self.assertEqual(self.names(), [])

    def test_unreadable_record_removes_the_server(self):
        """Guards against using a server whose record is invalid."""
        self.feed.on_record("s1", b"bad")
        self.assertEqual(self.names(), [])


class ServerHealthTest(unittest.TestCase):
    """Ready servers that fail requests are ejected."""

    def setUp(self):
        self.clock = virtual_clock.VirtualClock(start_ms=1_000)
        self.health = server_health.ServerHealth(self.clock)
        self.servers = [
            backend_directory.BackendServer(
                gateway_harness.make_record(f"s{number}"), 0
            )
            for number in range(4)
        ]

    def fail_requests(self, server, count=10):
        for _ in range(count):
            self.health.on_outcome(server, True)

    def test_failing_server_is_ejected_and_tried_again(self):
        """Guards against a failing server that keeps its share of requests."""
        self.fail_requests(self.servers[0])
        self.assertEqual(len(self.health.usable(self.servers)), 3)
        self.clock.advance(server_health.EJECTION_MS)
        self.assertEqual(len(self.health.usable(self.servers)), 4)

    def test_common_fault_ejects_nobody(self):
        """Guards against sending all requests to the last healthy server."""
        for server in self.servers[:3]:
            self.fail_requests(server)
        self.assertEqual(len(self.health.usable(self.servers)), 4)
