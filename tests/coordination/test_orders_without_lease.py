"""Tests of orders to engines that execute them whatever their token is."""

from __future__ import annotations

import itertools
import random
import unittest

from balsamwall.coordination import coordinator_election
from balsamwall.coordination import engine_control
from balsamwall.coordination import leased_orders
from balsamwall.coordination import order_authority
from balsamwall.logs import decision_log
from balsamwall.platform import store_client
from balsamwall.timing import virtual_clock
from tests.fixtures import virtual_store

LEASE_MS = 3_000
STEP_MS = 20
TICK_MS = 100
ORDER_INTERVAL_MS = 60
SEEDS = range(1, 61)


class FreezableClock:
    """Clock of one process, whose calls wait while it is frozen."""

    def __init__(self, clock):
        self.clock = clock
        self.now_ms = clock.now_ms
        self.is_frozen = False
        self.late = []

    def call_later(self, delay_ms, function, *args):
        return self.clock.call_later(delay_ms, self.run, function, args)

    def run(self, function, args):
        if self.is_frozen:
            self.late.append((function, args))
        else:
            function(*args)

    def thaw(self):
        """Run what was due, the newest first: responses before timers."""
        self.is_frozen = False
        late, self.late = self.late, []
        for function, args in reversed(late):
            function(*args)


class Entry:
    """Election and orders of one process; it orders whenever it may."""

    def __init__(self, day, name, number):
        self.day = day
        self.name = name
        self.clock = FreezableClock(day.clock)
        self.random = random.Random(f"{day.seed}/{number}")
        self.http = virtual_store.VirtualHttp(self.clock, day.store, LEASE_MS)
        client = store_client.StoreClient(
            self.clock, self.random, self.http, "store"
        )
        self.is_up = True
        self.election = coordinator_election.CoordinatorElection(
            self.clock,
            self.random,
            client,
            client.feed,
            f"{name}:{number}",
            LEASE_MS,
            lambda holder: None,
            engine_control.ORDER_TIMEOUT_MS,
        )
        self.authority = order_authority.OrderAuthority(
            self.clock,
            self.election.lease,
            day.count_up,
            lambda: self.election.is_store_available,
            decision_log.DecisionLog(self.clock),
            leased_orders.LeasedOrders(
                self.clock, self.election.lease, LEASE_MS
            ),
        )
        self.election.follow()
        client.feed.start()
        self.election.start()
        self.tick()
        self.order()

    def tick(self):
        self.clock.call_later(TICK_MS, self.tick)
        self.authority.update()

    def order(self):
        """Begin an order, whose connection may take long to open."""
        self.clock.call_later(ORDER_INTERVAL_MS, self.order)
        token = self.authority.fencing_token
        if token:
            timeout_ms = engine_control.ORDER_TIMEOUT_MS
            connect_ms = self.random.choice((1, 5, timeout_ms))
            self.clock.call_later(
                self.random.randint(0, connect_ms),
                self.send,
                token,
                self.authority.send_by_ms,
            )

    def send(self, token, send_by_ms):
        """Send an order, which arrives before the call is aborted."""
        if self.is_up and (
            send_by_ms is None or self.clock.now_ms() <= send_by_ms
        ):
            way_ms = self.random.randint(0, engine_control.ORDER_TIMEOUT_MS)
            self.day.clock.call_later(
                way_ms, self.day.on_order, self.name, token
            )

    def kill(self):
        self.is_up = False
        self.http.is_cut = True
        self.election.stop()


class OrderDay:
    """Entries, a store and one engine; the engine records its orders."""

    def __init__(self, seed=1, entries=2):
        self.seed = seed
        self.random = random.Random(seed)
        self.clock = virtual_clock.VirtualClock(start_ms=1_000)
        self.store = virtual_store.VirtualStore(self.clock)
        self.numbers = itertools.count()
        self.entries = []
        self.orders = []  # (time in ms, entry, token)
        for number in range(entries):
            self.start(f"front-{number}")
        self.advance(8_000)

    def count_up(self):
        return sum(item.is_up for item in self.entries)

    def start(self, name):
        self.entries.append(Entry(self, name, next(self.numbers)))

    def on_order(self, name, token):
        self.orders.append((self.clock.now_ms(), name, token))

    def advance(self, duration_ms):
        for _ in range(duration_ms // STEP_MS):
            self.clock.advance(STEP_MS)
            self.store.end_leases()
            self.store.notify()

    @property
    def holder(self):
        """The entry that has given the last order."""
        name = self.orders[-1][1]
        return [item for item in self.entries if item.name == name][-1]

    def other(self):
        return next(item for item in self.entries if item is not self.holder)

    def kill(self, entry):
        entry.kill()
        self.entries.remove(entry)

    def problems(self):
        """Return the orders that a holder gives beside another one."""
        found, highest, previous = [], 0, ""
        last_ms, holder_by_token = {}, {}
        for at_ms, name, token in self.orders:
            if token < highest:
                found.append((at_ms, name, "lower token"))
            if holder_by_token.setdefault(token, name) != name:
                found.append((at_ms, name, "token of another holder"))
            since_ms = at_ms - last_ms.get(name, -LEASE_MS)
            if previous not in ("", name) and since_ms < LEASE_MS:
                found.append((at_ms, name, "turn within the lease"))
            highest = max(highest, token)
            last_ms[name], previous = at_ms, name
        return found

    def orders_since(self, since_ms):
        return [item for item in self.orders if item[0] >= since_ms]


class OrdersWithoutLeaseTest(unittest.TestCase):
    """Orders of a former holder never arrive beside those of the next one."""

    def check(self, day):
        self.assertEqual(day.problems(), [])
        self.assertTrue(day.orders_since(day.clock.now_ms() - 1_000))

    def test_other_entry_returns_while_the_holder_is_turned_away(self):
        """Guards against a holder that was alone when its lease ended."""
        day = OrderDay()
        former, other = day.holder, day.other()
        former.http.is_cut = True
        day.kill(other)
        day.advance(3_500)
        day.start(other.name)
        day.advance(8_000)
        self.assertIsNot(day.holder, former)
        former.http.is_cut = False
        day.advance(6_000)
        self.check(day)

    def test_new_entry_joins_while_the_holder_is_turned_away(self):
        """Guards against a count of entries that a new one is not part of."""
        day = OrderDay()
        former = day.holder
        former.http.is_cut = True
        day.kill(day.other())
        day.advance(3_500)
        day.start("front-9")
        day.advance(9_000)
        self.assertEqual(day.holder.name, "front-9")
        self.check(day)

    def test_two_of_three_entries_return_one_by_one(self):
        """Guards against a majority of entries counted before the trouble."""
        day = OrderDay(entries=3)
        former = day.holder
        former.http.is_cut = True
        others = [item for item in day.entries if item is not former]
        for other in others:
            day.kill(other)
        for other in others:
            day.advance(2_000)
            day.start(other.name)
        day.advance(8_000)
        self.assertIsNot(day.holder, former)
        self.check(day)

    def test_former_holder_is_thawed_beside_the_next_one(self):
        """Guards against an order that was about to be sent at the freeze."""
        for late_ms in range(0, 2_000, 100):
            with self.subTest(late_ms=late_ms):
                day = OrderDay()
                former = day.holder
                former.http.is_cut = True
                day.advance(late_ms)
                former.clock.is_frozen = True
                day.advance(4_000)
                former.clock.thaw()
                day.advance(5_000)
                self.assertIsNot(day.holder, former)
                self.check(day)

    def test_holder_that_stops_leaves_no_order_behind(self):
        """Guards against a lease that is released with orders under way."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                day = OrderDay(seed)
                former = day.holder
                former.election.stop()
                day.advance(6_000)
                self.assertIsNot(day.holder, former)
                self.check(day)

    def test_holder_that_is_served_for_a_moment_keeps_its_lease(self):
        """Guards against orders without end after one served renewal."""
        day = OrderDay()
        former = day.holder
        for _ in range(3):
            former.http.is_cut = True
            day.advance(2_600)
            former.http.is_cut = False
            day.advance(800)
        former.http.is_cut = True
        day.advance(9_000)
        self.assertIsNot(day.holder, former)
        self.check(day)

    def test_lone_entry_orders_again_after_the_outage(self):
        """Guards against loads that stay away for good.

        While the store is away, an entry cannot know that it is alone.
        """
        day = OrderDay(entries=1)
        day.store.is_away = True
        begin_ms = day.clock.now_ms()
        day.advance(9_000)
        self.assertEqual(day.orders_since(begin_ms + LEASE_MS), [])
        day.store.is_away = False
        day.advance(3_000)
        self.check(day)

    def test_any_order_of_events(self):
        """Guards against orders of events that no other test has."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                day = OrderDay(seed, entries=3)
                for _ in range(12):
                    self.disturb(day)
                    day.advance(day.random.randint(100, 4_000))
                for item in day.entries:
                    item.http.is_cut = False
                    if item.clock.is_frozen:
                        item.clock.thaw()
                day.advance(12_000)
                self.check(day)

    def disturb(self, day):
        """Cut, freeze, kill, stop or start an entry, or return from a copy."""
        entry = day.random.choice(day.entries)
        kind = day.random.randrange(6)
        if kind == 0:
            entry.http.is_cut = not entry.http.is_cut
        elif kind == 1:
            if entry.clock.is_frozen:
                entry.clock.thaw()
            else:
                entry.clock.is_frozen = True
        elif kind == 2:
            entry.kill()
            day.entries.remove(entry)
            day.start(entry.name)
        elif kind == 3:
            entry.election.stop()
            day.advance(day.random.randint(100, 2_000))
            day.kill(entry)
            day.start(entry.name)
        elif kind == 4:
            day.start(f"front-{len(day.entries)}")
        else:
            state = day.store.copy()
            day.advance(day.random.randint(0, 2_000))
            day.store.is_away = True
            day.store.close_watches()
            day.advance(day.random.randint(100, 1_500))
            day.store.is_away = False
            day.store.restore(state, keeps_leases=False)
