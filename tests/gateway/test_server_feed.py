"""Tests of server records around outages of the store."""

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
    started_ms, _, state = raw.decode().partition(" ")
    return gateway_harness.make_record(
        server_id,
        started_ms=int(started_ms),
        is_draining=state == "draining",
    )


class ServerFeedTest(unittest.TestCase):
    """Who may receive requests, and from when not any more."""

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
        """Guards against requests to a server that has left."""
        self.feed.on_record("s1", None)
        self.assertEqual(self.names(), [])

    def test_drain_is_not_taken_back(self):
        """Guards against requests to a server after its drain."""
        self.feed.on_record("s1", b"5 draining")
        self.feed.on_record("s1", b"5 ready")
        self.assertEqual(self.names(), [])

    def test_new_process_under_the_same_name_is_ready(self):
        """Guards against a server that is left out after a restart."""
        self.feed.on_record("s1", b"5 draining")
        self.feed.on_record("s1", b"6 ready")
        self.assertEqual(self.names(), ["s1"])
        self.assertEqual(self.directory.get("s1").in_flight, 0)

    def test_record_that_lapsed_in_an_outage_has_time_to_return(self):
        """Guards against dropping all servers after an outage."""
        self.feed.on_store_state(False)
        self.clock.advance(5_000)
        self.feed.on_store_state(True)
        self.feed.on_record("s1", None)
        self.assertEqual(self.names(), ["s1"])
        self.clock.advance(1_500)
        self.feed.on_record("s1", b"5 ready")
        self.clock.advance(5_000)
        self.assertEqual(self.names(), ["s1"])

    def test_record_that_does_not_return_is_gone(self):
        """Guards against requests to a server that died in an outage."""
        self.feed.on_store_state(False)
        self.feed.on_store_state(True)
        self.feed.on_record("s1", None)
        self.clock.advance(server_feed.REJOIN_GRACE_MS)
        self.assertEqual(self.names(), [])

    def test_unreadable_record_names_no_server(self):
        """Guards against using what another writer has spoiled."""
        self.feed.on_record("s1", b"bad")
        self.assertEqual(self.names(), [])


class ServerHealthTest(unittest.TestCase):
    """Servers that fail requests while they are listed as ready."""

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

    def test_failing_server_is_left_out_and_tried_again(self):
        """Guards against a server that fails and keeps its share."""
        self.fail_requests(self.servers[0])
        self.assertEqual(len(self.health.usable(self.servers)), 3)
        self.clock.advance(server_health.EJECTION_MS)
        self.assertEqual(len(self.health.usable(self.servers)), 4)

    def test_common_fault_ejects_nobody(self):
        """Guards against a single server that carries all load."""
        for server in self.servers[:3]:
            self.fail_requests(server)
        self.assertEqual(len(self.health.usable(self.servers)), 4)
