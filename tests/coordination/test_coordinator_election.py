"""Tests of the election of a coordinator over restores of the store."""

from __future__ import annotations

import random
import unittest

from balsamwall.coordination import coordinator_election
from balsamwall.platform import store_client
from balsamwall.timing import virtual_clock
from tests.fixtures import virtual_store

LEASE_MS = 3_000
ENTRIES = 4
STEP_MS = 20
DAY_MS = 40_000
# After the last fault there is a coordinator within this time.
CALM_MS = 10_000
SEEDS = range(100)


class Candidate:
    """Feed, client and election of one entry."""

    def __init__(self, clock, store, number, seed):
        self.address = f"10.0.0.{number}:1"
        self.http = virtual_store.VirtualHttp(clock, store, LEASE_MS)
        source = random.Random(f"{seed}/{number}")
        client = store_client.StoreClient(clock, source, self.http, "store")
        self.election = coordinator_election.CoordinatorElection(
            clock,
            source,
            client,
            client.feed,
            self.address,
            LEASE_MS,
            lambda holder: None,
            0,
        )
        self.election.follow()
        client.feed.start()
        self.election.start()

    @property
    def is_holder(self):
        return self.election.lease.is_held


class ElectionDay:
    """Entries under faults of the store, drawn from a seed."""

    def __init__(self, seed):
        self.seed = seed
        self.random = random.Random(seed)
        self.clock = virtual_clock.VirtualClock(start_ms=1_000)
        self.store = virtual_store.VirtualStore(self.clock)
        self.candidates = []
        self.killed = 0
        self.tokens = []
        self.problems = []
        self.restores = 0
        for _ in range(ENTRIES):
            self.start_entry()

    def start_entry(self):
        number = len(self.candidates) + self.killed
        self.candidates.append(
            Candidate(self.clock, self.store, number, self.seed)
        )

    def play(self):
        end_ms = self.clock.now_ms() + DAY_MS
        while self.clock.now_ms() < end_ms:
            self.advance(self.random.randint(200, 4_000))
            self.random.choice(
                (
                    self.restore,
                    self.restore,
                    self.cut,
                    self.kill_holder,
                    self.replace_other,
                )
            )()
        for candidate in self.candidates:
            candidate.http.is_cut = False
        self.advance(CALM_MS)

    def advance(self, duration_ms):
        for _ in range(duration_ms // STEP_MS):
            self.clock.advance(STEP_MS)
            self.store.end_leases()
            self.store.notify()
            self.check()

    def check(self):
        holders = [item for item in self.candidates if item.is_holder]
        if len(holders) > 1:
            self.problems.append((self.clock.now_ms(), "two holders"))
        for holder in holders:
            token = holder.election.lease.revision
            if self.tokens and token < self.tokens[-1]:
                self.problems.append((self.clock.now_ms(), "lower token"))
            if not self.tokens or token != self.tokens[-1]:
                self.tokens.append(token)

    def restore(self):
        """Return from a copy, with or without the leases of the copy."""
        state = self.store.copy()
        self.advance(self.random.randint(0, 5_000))
        for number in range(self.random.randint(0, 60)):
            self.store.put("op/config", b"%d" % number)
        self.store.is_away = True
        self.store.close_watches()
        self.advance(self.random.randint(100, 1_500))
        self.store.is_away = False
        self.store.restore(state, keeps_leases=self.random.random() < 0.5)
        self.restores += 1

    def cut(self):
        """Cut one entry off from the store for some time."""
        cut = self.random.choice(self.candidates)
        cut.http.is_cut = True
        self.clock.call_later(
            self.random.randint(500, 6_000), setattr, cut.http, "is_cut", False
        )

    def kill_holder(self):
        """Kill the holder, if there is one, and start another entry."""
        for candidate in list(self.candidates):
            if candidate.is_holder:
                candidate.http.is_cut = True
                candidate.election.stop()
                self.candidates.remove(candidate)
                self.killed += 1
                self.start_entry()

    def replace_other(self):
        """Kill an entry that is not the holder, and start another one."""
        others = [item for item in self.candidates if not item.is_holder]
        killed = self.random.choice(others)
        killed.http.is_cut = True
        killed.election.stop()
        self.candidates.remove(killed)
        self.killed += 1
        self.start_entry()


class CoordinatorElectionTest(unittest.TestCase):
    """Load pattern: copies that lack the lease, or hold an earlier one."""

    def test_one_holder_with_a_rising_token(self):
        """Guards against two coordinators, and orders that are fenced off."""
        problems = {}
        restores = 0
        for seed in SEEDS:
            day = ElectionDay(seed)
            day.play()
            restores += day.restores
            if not any(item.is_holder for item in day.candidates):
                day.problems.append((DAY_MS, "no holder at the end"))
            if day.problems:
                problems[seed] = day.problems[:3]
        self.assertEqual(problems, {})
        self.assertGreater(restores, 2 * len(SEEDS))


class StartedEntryTest(unittest.TestCase):
    """Load pattern: entries start after a restore, or after a kill of all."""

    def setUp(self):
        self.day = ElectionDay(1)
        self.day.advance(2 * LEASE_MS)

    def kill_all(self):
        for candidate in self.day.candidates:
            candidate.http.is_cut = True
            candidate.election.stop()
        self.day.killed += len(self.day.candidates)
        self.day.candidates.clear()

    def elected_after_ms(self):
        """Start an entry; return after how long it is the coordinator."""
        self.day.start_entry()
        started_ms = self.day.clock.now_ms()
        while not self.day.candidates[-1].is_holder:
            self.day.advance(STEP_MS)
            self.assertLess(self.day.clock.now_ms() - started_ms, CALM_MS)
        return self.day.clock.now_ms() - started_ms

    def test_election_after_a_kill_of_all_is_not_delayed(self):
        """Guards against a slower restart wherever a store states its era."""
        self.kill_all()
        self.day.advance(2 * LEASE_MS)
        self.assertLess(self.elected_after_ms(), LEASE_MS / 2)

    def test_election_after_a_restore_is_delayed(self):
        """Guards against a holder of before that goes on by its clock."""
        state = self.day.store.copy()
        self.kill_all()
        self.day.advance(2 * LEASE_MS)
        self.day.store.restore(state, keeps_leases=False)
        self.assertGreater(self.elected_after_ms(), LEASE_MS - STEP_MS)
