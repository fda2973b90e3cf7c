"""Tests of entries whose store returns from a copy some seconds old."""

from __future__ import annotations

import base64
import dataclasses
import time
import unittest

from balsamwall.coordination import coordinator_election
from soak import ledger as ledger_module
from tests.fixtures import entry_fleet
from tests.fixtures import reactor_thread

# Versions that are written after the copy, so that revisions go back.
LATER_VERSIONS = 40
# The operator and the servers write again this long after the restore.
REWRITE_S = 0.7
# A change binds at the latest this long after its acknowledgement.
APPLY_S = 3.0
DRAIN_S = 3.0
OBSERVED_S = 1.5
ELECTION_S = 6.0
# Longer than the first heartbeat of a coordinator.
TERM_S = 1.0
CALLERS = 12
TERM_LINES = ("orders_taken", "orders_given_up")


class RestoredStoreProcessTest(unittest.TestCase):
    """Three entries and three servers; the store returns from a copy."""

    def setUp(self):
        self.fleet = entry_fleet.EntryFleet(self)

    def lose_writes(self):
        """Take a copy, write on, and return to the copy."""
        copy = self.fleet.copy()
        for number in range(LATER_VERSIONS):
            if number == LATER_VERSIONS // 2:
                self.fleet.add_route("second")
            self.fleet.write_version()
            for server in self.fleet.servers:
                reactor_thread.run(server.register)
        time.sleep(APPLY_S)
        self.fleet.restore(copy)

    def write_again(self):
        time.sleep(REWRITE_S)
        self.fleet.write_document()
        time.sleep(REWRITE_S)

    def start_callers(self):
        """Start several callers at once, so that all servers are used."""
        return [
            entry_fleet.Traffic(self.fleet, "first", 0.0)
            for _ in range(CALLERS)
        ]

    def check_served(self, callers):
        """Stop the callers, and check that all requests were served."""
        for caller in callers:
            caller.stop()
            self.assertEqual(set(caller.statuses()), {200})

    def check_later_route(self):
        """Check that a route that is added now is served in time."""
        self.fleet.add_route("third")
        time.sleep(APPLY_S)
        traffic = entry_fleet.Traffic(self.fleet, "third")
        time.sleep(OBSERVED_S)
        traffic.stop()
        self.assertEqual(set(traffic.statuses()), {200})

    def test_route_added_after_a_restore_is_served(self):
        """Guards against a feed that drops all changes of a restored store.

        The revisions of the changes are below those of before.
        """
        self.lose_writes()
        self.write_again()
        self.check_later_route()

    def test_drain_after_a_restore_is_obeyed(self):
        """Guards against requests to a server whose drain is dropped."""
        self.lose_writes()
        self.write_again()
        callers = self.start_callers()
        drained = self.fleet.servers[0]
        reactor_thread.run(drained.drain)
        time.sleep(DRAIN_S)
        since_ms = ledger_module.now_ms()
        time.sleep(OBSERVED_S)
        self.check_served(callers)
        self.assertEqual(self.fleet.runs_since(drained.server_id, since_ms), 0)

    def test_version_that_the_copy_lacks_stays_in_force(self):
        """Guards against a configuration that goes back with the store."""
        self.lose_writes()
        second = entry_fleet.Traffic(self.fleet, "second")
        self.write_again()
        second.stop()
        self.assertNotIn(404, second.statuses())
        self.check_later_route()

    def test_entry_that_starts_learns_the_version_that_the_copy_lacks(self):
        """Guards against an older configuration at an entry that restarts.

        The operator has not written it again yet.
        """
        holder = self.wait_for_coordinator()
        self.lose_writes()
        time.sleep(ELECTION_S)
        started = next(item for item in self.fleet.entries if item != holder)
        started.kill()
        started.start()
        self.fleet.wait_until_served(started)
        time.sleep(APPLY_S)
        for entry in self.fleet.entries:
            self.assertEqual(self.fleet.request(entry, "second"), 200)

    def test_drain_that_the_copy_lacks_is_kept(self):
        """Guards against a drained server that the copy shows as ready."""
        copy = self.fleet.copy()
        drained = self.fleet.servers[0]
        reactor_thread.run(drained.drain)
        time.sleep(DRAIN_S)
        since_ms = ledger_module.now_ms()
        traffic = entry_fleet.Traffic(self.fleet, "first")
        self.fleet.restore(copy)
        self.write_again()
        traffic.stop()
        self.assertEqual(self.fleet.runs_since(drained.server_id, since_ms), 0)

    def test_server_that_left_does_not_return(self):
        """Guards against requests to a server that the copy shows as ready.

        It has left without a drain, and goes on serving for a while.
        """
        copy = self.fleet.copy()
        left = self.fleet.servers[0]
        reactor_thread.run(left.unregister)
        time.sleep(DRAIN_S)
        since_ms = ledger_module.now_ms()
        callers = self.start_callers()
        self.fleet.restore(copy)
        self.write_again()
        time.sleep(DRAIN_S)
        self.check_served(callers)
        self.assertEqual(self.fleet.runs_since(left.server_id, since_ms), 0)

    def coordinator(self):
        """Return the entry that the store names as coordinator."""
        item = reactor_thread.run(
            lambda: self.fleet.data.items.get(
                coordinator_election.COORDINATOR_KEY
            )
        )
        if item is None:
            return None
        address = base64.b64decode(item["value"]).decode()
        return next(
            entry for entry in self.fleet.entries if entry.serves(address)
        )

    def wait_for_coordinator(self):
        end_s = time.monotonic() + ELECTION_S
        while self.coordinator() is None:
            self.assertLess(time.monotonic(), end_s, "no coordinator")
            time.sleep(entry_fleet.POLL_S)
        return self.coordinator()

    def terms(self):
        """Return when orders were taken and given up, by entry."""
        found = []
        for entry in self.fleet.entries:
            found += [
                (row["timestamp"], row["message_type"], row["token"])
                for row in entry.log_rows()
                if row.get("message_type", "") in TERM_LINES
            ]
        return sorted(found)

    def check_terms(self):
        """Check that no two coordinators send orders, with rising tokens."""
        active, tokens = 0, []
        for _, line, token in self.terms():
            active += 1 if line == "orders_taken" else -1
            self.assertIn(active, (0, 1), self.terms())
            if line == "orders_taken":
                tokens.append(token)
        self.assertEqual(tokens, sorted(set(tokens)))
        self.assertGreater(len(tokens), 1)

    def test_one_coordinator_where_the_copy_lacks_its_lease(self):
        """Guards against two coordinators, and a lower fencing token."""
        copy = dataclasses.replace(
            self.fleet.copy(), items={}, lease_ttls_ms={}
        )
        self.wait_for_coordinator()
        time.sleep(TERM_S)
        self.fleet.restore(copy)
        self.write_again()
        time.sleep(ELECTION_S)
        self.check_terms()
        self.check_later_route()

    def test_one_coordinator_where_the_copy_has_its_lease(self):
        """Guards against a lease that is renewed for another process."""
        holder = self.wait_for_coordinator()
        time.sleep(TERM_S)
        self.lose_writes()
        self.write_again()
        self.assertIs(self.coordinator(), holder)
        self.check_terms()
        self.check_later_route()

    def test_coordinator_killed_before_the_restore(self):
        """Guards against a restored record of a process that has gone."""
        holder = self.wait_for_coordinator()
        time.sleep(TERM_S)
        copy = self.fleet.copy()
        self.fleet.entries.remove(holder)
        holder.kill()
        self.fleet.restore(copy)
        self.write_again()
        time.sleep(ELECTION_S)
        self.assertIsNotNone(self.coordinator())
        self.check_later_route()

    def test_server_that_the_copy_lacks_is_not_lost(self):
        """Guards against the loss of living servers in a restore."""
        copy = self.fleet.copy()
        for server in self.fleet.servers[1:]:
            reactor_thread.run(server.leave)
        added = self.fleet.start_server(len(self.fleet.servers))
        time.sleep(APPLY_S)
        reactor_thread.run(self.fleet.servers[0].drain)
        time.sleep(DRAIN_S)
        traffic = entry_fleet.Traffic(self.fleet, "first")
        since_ms = ledger_module.now_ms()
        self.fleet.restore(copy)
        self.write_again()
        traffic.stop()
        statuses = traffic.statuses()
        self.assertEqual(set(statuses), {200})
        self.assertGreater(
            self.fleet.runs_since(added.server_id, since_ms),
            len(statuses) - 10,
        )
