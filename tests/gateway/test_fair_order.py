"""Tests of the order of requests that wait for room."""

from __future__ import annotations

import random
import unittest

from balsamwall.gateway import room_queue
from balsamwall.gateway import sent_shares
from balsamwall.timing import virtual_clock
from tests.fixtures import fake_waiter

MANY_REQUESTS = 4_000


class FairOrderTest(unittest.TestCase):
    """Waiting requests are sent by urgency, then fairly."""

    def setUp(self):
        self.clock = virtual_clock.VirtualClock()
        self.queue = room_queue.RoomQueue(self.clock)
        self.servers = fake_waiter.FakeServers()

    def add(self, count=1, **changes):
        for _ in range(count):
            self.queue.add(
                fake_waiter.FakeWaiter(self.queue, self.servers, **changes)
            )

    def send(self, count, target=("app", "m1", "")):
        """Make room for requests; return those sent with the room."""
        sent = len(self.servers.sent)
        for _ in range(count):
            self.servers.room[target] = 1
            self.clock.advance(room_queue.RETRY_INTERVAL_MS)
        return self.servers.sent[sent:]

    def test_plain_requests_keep_the_order_by_priority_and_arrival(self):
        """Guards against a new order where no workspaces are configured."""
        random_source = random.Random(1)
        for number in range(200):
            self.add(
                name=number,
                is_fair=False,
                priority=(random_source.randrange(3), 0),
                arrived_ms=random_source.randrange(50),
                cost=random_source.randrange(900),
                on_time_until_ms=random_source.randrange(1_000),
                aged_at_ms=random_source.randrange(1_000),
            )
        expected = sorted(
            self.queue._waiters,
            key=lambda item: (item.priority, item.arrived_ms, item.name),
        )
        self.assertEqual(self.send(200), expected)

    def test_request_that_ends_with_the_send_of_another(self):
        """Guards against a send of a request whose caller has an answer.

        A send may end others at once, to make room for a body.
        """
        targets = [("app", "m1", ""), ("app", "m2", "")]
        before = sent_shares.SENDS_PER_OLDEST - 1
        for target in targets:
            self.add(before, target=target)
            self.assertEqual(len(self.send(before, target)), before)
        tried = []

        class EndingWaiter(fake_waiter.FakeWaiter):
            def try_send(waiter, is_owed=False):  # noqa: N805
                tried.append(waiter)
                for item in waiters:
                    self.queue.remove(item)
                return True

        waiters = [
            EndingWaiter(self.queue, self.servers, target=target)
            for target in targets
        ]
        for waiter in waiters:
            self.queue.add(waiter)
        self.clock.advance(room_queue.RETRY_INTERVAL_MS)
        self.assertEqual(tried, waiters[:1])

    def test_workspaces_are_served_equal_tokens(self):
        """Guards against a backlog that delays other workspaces."""
        self.add(100, workspace_name="large", cost=100)
        self.add(100, workspace_name="small", arrived_ms=1, cost=300)
        sent = [item.workspace_name for item in self.send(40)]
        self.assertAlmostEqual(sent.count("small"), 10, delta=3)

    def test_idle_workspace_gathers_no_credit(self):
        """Guards against a workspace that is served alone after a pause."""
        self.add(200, workspace_name="busy")
        self.send(100)
        self.add(50, workspace_name="idle", arrived_ms=1)
        sent = [item.workspace_name for item in self.send(20)]
        self.assertGreaterEqual(sent.count("busy"), 9)

    def test_models_of_a_workspace_share_its_sends(self):
        """Guards against a model that delays the others of its workspace."""
        targets = [("app", "m1", ""), ("app", "m2", "")]
        self.add(20, target=targets[0])
        self.add(20, target=targets[1], arrived_ms=1)
        for _ in range(10):
            self.servers.room = dict.fromkeys(targets, 1)
            self.clock.advance(room_queue.RETRY_INTERVAL_MS)
        order = [item.target for item in self.servers.sent]
        self.assertEqual(order[:4], [targets[0], targets[1]] * 2)

    def test_late_request_waits_behind_those_that_are_on_time(self):
        """Guards against requests that become late behind one that is."""
        self.add(name="late", on_time_until_ms=5)
        self.add(name="next", arrived_ms=1)
        self.add(
            name="urgent", priority=(0, 0), arrived_ms=2, on_time_until_ms=5
        )
        self.clock.advance(10)
        names = [item.name for item in self.send(3)]
        self.assertEqual(names, ["urgent", "next", "late"])

    def test_old_requests_return_to_the_order_of_arrival(self):
        """Guards against requests that wait behind others indefinitely."""
        for number in range(3):
            self.add(
                name=number,
                arrived_ms=number,
                on_time_until_ms=20,
                aged_at_ms=100,
            )
        self.add(name="next", arrived_ms=50)
        self.clock.advance(200)
        names = [item.name for item in self.send(4)]
        self.assertEqual(names, [0, 1, 2, "next"])

    def test_old_requests_take_no_turns_of_other_workspaces(self):
        """Guards against a backlog that is served first once it is old."""
        self.add(20, on_time_until_ms=20, aged_at_ms=100, workspace_name="w0")
        self.clock.advance(200)
        self.add(2, arrived_ms=150, workspace_name="w1")
        sent = [item.workspace_name for item in self.send(5)]
        self.assertEqual(sent.count("w1"), 2)

    def test_one_in_ten_sends_goes_to_the_oldest_request(self):
        """Guards against deferrable requests that starve."""
        self.add(10, priority=(1, 1), workspace_name="w1")
        self.add(100, priority=(0, 0), arrived_ms=1, workspace_name="w2")
        sent = self.send(50)
        deferrable = [item for item in sent if item.priority == (1, 1)]
        self.assertEqual(len(deferrable), 5)

    def test_sends_without_a_wait_count_for_the_oldest_request(self):
        """Guards against starvation by urgent requests that never wait."""
        self.add(workspace_name="w1")
        urgent = fake_waiter.FakeWaiter(
            self.queue, self.servers, priority=(0, 0)
        )
        for _ in range(9):
            self.queue.on_sent(urgent)
        self.add(priority=(0, 0), arrived_ms=1)
        self.assertEqual(self.send(1)[0].priority, (1, 1))

    def test_priority_of_the_workspace_precedes_that_of_the_route(self):
        """Guards against composite priorities that can't be compared."""
        for priority in ((1, 0), (0, 1), (0, 0), (1, 1)):
            self.add(priority=priority, is_fair=priority != (1, 1))
        sent = [item.priority for item in self.send(4)]
        self.assertEqual(sent, [(0, 0), (0, 1), (1, 0), (1, 1)])

    def test_removed_request_is_not_sent(self):
        """Guards against sending a request whose caller has left."""
        waiters = [
            fake_waiter.FakeWaiter(self.queue, self.servers, name=name)
            for name in "abc"
        ]
        for waiter in waiters:
            self.queue.add(waiter)
        self.queue.remove(waiters[0])
        self.assertEqual([item.name for item in self.send(3)], ["b", "c"])
        self.assertEqual(self.queue.counts(), {})

    def test_long_queue_is_tried_once_for_each_target(self):
        """Guards against a retry that looks at every waiting request."""
        for number in range(MANY_REQUESTS):
            target = ("app", f"m{number % 8}", "")
            self.add(target=target, workspace_name=f"w{number % 16}")
        self.clock.advance(room_queue.RETRY_INTERVAL_MS)
        self.assertEqual(self.servers.tried, 8)

    def test_position_counts_only_what_is_sent_before(self):
        """Guards against refusals because of another workspace's backlog."""
        self.add(50, workspace_name="large")
        small = fake_waiter.FakeWaiter(
            self.queue, self.servers, workspace_name="small"
        )
        large = fake_waiter.FakeWaiter(
            self.queue, self.servers, workspace_name="large"
        )
        self.assertLessEqual(self.queue.position(small).ahead, 1)
        self.assertEqual(self.queue.position(large).ahead, 50)
