"""Tests of retention grants between holders."""

from __future__ import annotations

import random
import unittest

from balsamwall.protocol import messages_residency
from balsamwall.residency import retention
from balsamwall.timing import virtual_clock


class _FakeNetwork:
    """Holders of one model; messages wait until deliver is called."""

    def __init__(self, *vms):
        self.clock = virtual_clock.VirtualClock()
        self.tables = {}
        self.queue = []
        self.has_copy = dict.fromkeys(vms, True)
        for vm in vms:
            self.add(vm)
        self.clock.advance(retention.GRANT_DURATION_MS + 1)

    def add(self, vm):
        self.tables[vm] = retention.RetentionTable(
            self.clock,
            _Outbox(self, vm),
            random.Random(vm),
            vm,
            lambda name, callback: callback(self.has_copy[vm]),
        )

    def deliver(self):
        while self.queue:
            sender, peer, item = self.queue.pop(0)
            self.tables[peer].on_message(sender, item)

    def request(self, vm, *peers):
        answers = []
        self.tables[vm].request_grant("m", peers, answers.append)
        return answers


class _Outbox:
    def __init__(self, network, vm):
        self.network = network
        self.vm = vm

    def send(self, peer, item):
        self.network.queue.append((self.vm, peer, item))


class RetentionTest(unittest.TestCase):
    """Guard against two holders that both evict a model."""

    def test_granter_refuses_its_own_eviction(self) -> None:
        """The granter's copy must outlast the unload of the requester."""
        network = _FakeNetwork("a", "b")
        answers = network.request("b", "a")
        network.deliver()
        self.assertEqual("a", answers[0].peer)
        self.assertFalse(network.tables["a"].may_evict("m"))
        self.assertTrue(network.tables["b"].mark_ordered("m"))
        network.clock.advance(retention.GRANT_DURATION_MS)
        self.assertFalse(network.tables["a"].may_evict("m"))
        network.clock.advance(1)
        self.assertTrue(network.tables["a"].may_evict("m"))

    def test_release_ends_the_grant(self) -> None:
        """A grant that is not returned blocks evictions until it expires."""
        network = _FakeNetwork("a", "b")
        network.request("b", "a")
        network.deliver()
        network.tables["b"].cancel("m")
        network.deliver()
        self.assertTrue(network.tables["a"].may_evict("m"))

    def test_two_holders_that_request_from_each_other(self) -> None:
        """Without a tie-break by name both would agree or both refuse."""
        network = _FakeNetwork("a", "b")
        answers_a = network.request("a", "b")
        answers_b = network.request("b", "a")
        network.deliver()
        self.assertEqual([None], answers_a)
        self.assertEqual("a", answers_b[0].peer)
        self.assertFalse(network.tables["a"].mark_ordered("m"))
        self.assertTrue(network.tables["b"].mark_ordered("m"))

    def test_three_holders_in_a_cycle_keep_one_copy(self) -> None:
        """Each requests a grant of the next; one must keep the model."""
        network = _FakeNetwork("a", "b", "c")
        for vm, peer in (("a", "b"), ("b", "c"), ("c", "a")):
            network.request(vm, peer)
        network.deliver()
        ordered = [vm for vm in "abc" if network.tables[vm].mark_ordered("m")]
        self.assertEqual(["c"], ordered)

    def test_evicting_holder_issues_no_grant(self) -> None:
        """A grant for a copy that is being unloaded would protect nothing."""
        network = _FakeNetwork("a", "b", "c")
        network.request("b", "a")
        network.deliver()
        network.tables["b"].mark_ordered("m")
        answers = network.request("c", "b")
        network.deliver()
        self.assertEqual([None], answers)

    def test_restarted_holder_evicts_nothing_at_first(self) -> None:
        """A restarted granter does not know the grants that it issued."""
        network = _FakeNetwork("a", "b")
        network.request("b", "a")
        network.deliver()
        network.add("a")
        self.assertFalse(network.tables["a"].may_evict("m"))
        network.clock.advance(retention.GRANT_DURATION_MS + 1)
        self.assertTrue(network.tables["a"].may_evict("m"))

    def test_late_grant_is_not_used(self) -> None:
        """The unload would outlast the grant."""
        network = _FakeNetwork("a", "b")
        answers = network.request("b", "a")
        network.deliver()
        self.assertIsNotNone(answers[0])
        network.clock.advance(retention.UNLOAD_START_WINDOW_MS + 1)
        self.assertFalse(network.tables["b"].mark_ordered("m"))

    def test_lost_copy_revokes_the_grant(self) -> None:
        """The requester must not unload after the granter crashed."""
        network = _FakeNetwork("a", "b")
        answers = network.request("b", "a")
        network.deliver()
        network.tables["a"].on_copy_lost("m")
        network.deliver()
        self.assertIsNone(answers[1])
        self.assertFalse(network.tables["b"].mark_ordered("m"))

    def test_missing_copy_is_not_granted(self) -> None:
        """The requester's view of holders may lag behind the engine."""
        network = _FakeNetwork("a", "b")
        network.has_copy["a"] = False
        answers = network.request("b", "a")
        network.deliver()
        self.assertEqual([None], answers)

    def test_silent_holder_is_skipped(self) -> None:
        """A request to a paused holder would wait forever."""
        network = _FakeNetwork("a", "b", "c")
        answers = network.request("c", "a", "b")
        network.queue.clear()
        network.clock.advance(retention.ANSWER_TIMEOUT_MS)
        network.deliver()
        self.assertEqual("b", answers[0].peer)

    def test_ordered_unload_keeps_its_grant(self) -> None:
        """A drain returned the grant while the unload was in flight."""
        network = _FakeNetwork("a", "b")
        network.request("b", "a")
        network.deliver()
        network.tables["b"].mark_ordered("m")
        answers = []
        network.tables["b"].request_grant(
            "m", ["a"], answers.append, is_eviction=False
        )
        network.deliver()
        self.assertEqual([None], answers)
        self.assertFalse(network.tables["a"].may_evict("m"))

    def test_unknown_grant_is_returned(self) -> None:
        """A grant without a requester would block the granter."""
        network = _FakeNetwork("a", "b")
        item = messages_residency.RetainGranted(7, "m")
        network.tables["b"].on_message("a", item)
        released = messages_residency.RetainReleased(7, "m")
        self.assertEqual([("b", "a", released)], network.queue)
