"""Tests of retention grants between holders."""

from __future__ import annotations

import random
import unittest

from balsamwall.protocol import messages_residency
from balsamwall.residency import retention
from balsamwall.timing import virtual_clock


class _Net:
    """Holders of one model that exchange messages when told to."""

    def __init__(self, *vms):
        self.clock = virtual_clock.VirtualClock()
        self.tables = {}
        self.queue = []
        self.is_here = dict.fromkeys(vms, True)
        for vm in vms:
            self.add(vm)
        self.clock.advance(retention.GRANT_DURATION_MS + 1)

    def add(self, vm):
        self.tables[vm] = retention.RetentionTable(
            self.clock,
            _Outbox(self, vm),
            random.Random(vm),
            vm,
            lambda name, callback: callback(self.is_here[vm]),
        )

    def deliver(self):
        while self.queue:
            sender, peer, item = self.queue.pop(0)
            self.tables[peer].on_message(sender, item)

    def ask(self, vm, *peers):
        answers = []
        self.tables[vm].request_grant("m", peers, answers.append)
        return answers


class _Outbox:
    def __init__(self, net, vm):
        self.net = net
        self.vm = vm

    def send(self, peer, item):
        self.net.queue.append((self.vm, peer, item))


class RetentionTest(unittest.TestCase):
    """Guard against two holders that both drop a model."""

    def test_granter_refuses_its_own_eviction(self) -> None:
        """The promised copy must outlive the unload of the requester."""
        net = _Net("a", "b")
        answers = net.ask("b", "a")
        net.deliver()
        self.assertEqual("a", answers[0].peer)
        self.assertFalse(net.tables["a"].may_evict("m"))
        self.assertTrue(net.tables["b"].mark_ordered("m"))
        net.clock.advance(retention.GRANT_DURATION_MS)
        self.assertFalse(net.tables["a"].may_evict("m"))
        net.clock.advance(1)
        self.assertTrue(net.tables["a"].may_evict("m"))

    def test_release_ends_the_promise(self) -> None:
        """A promise that is never given back blocks evictions for long."""
        net = _Net("a", "b")
        net.ask("b", "a")
        net.deliver()
        net.tables["b"].cancel("m")
        net.deliver()
        self.assertTrue(net.tables["a"].may_evict("m"))

    def test_two_that_ask_each_other(self) -> None:
        """Without an order of names both give way or both refuse."""
        net = _Net("a", "b")
        of_a = net.ask("a", "b")
        of_b = net.ask("b", "a")
        net.deliver()
        self.assertEqual([None], of_a)
        self.assertEqual("a", of_b[0].peer)
        self.assertFalse(net.tables["a"].mark_ordered("m"))
        self.assertTrue(net.tables["b"].mark_ordered("m"))

    def test_three_in_a_circle_keep_one(self) -> None:
        """Each asks the next one; somebody must keep the model."""
        net = _Net("a", "b", "c")
        for vm, peer in (("a", "b"), ("b", "c"), ("c", "a")):
            net.ask(vm, peer)
        net.deliver()
        ordered = [vm for vm in "abc" if net.tables[vm].mark_ordered("m")]
        self.assertEqual(["c"], ordered)

    def test_evicting_holder_gives_no_promise(self) -> None:
        """A promise of a copy that is being unloaded is worthless."""
        net = _Net("a", "b", "c")
        net.ask("b", "a")
        net.deliver()
        net.tables["b"].mark_ordered("m")
        answers = net.ask("c", "b")
        net.deliver()
        self.assertEqual([None], answers)

    def test_restarted_holder_evicts_nothing_at_first(self) -> None:
        """A restarted granter has forgotten what it promised."""
        net = _Net("a", "b")
        net.ask("b", "a")
        net.deliver()
        net.add("a")
        self.assertFalse(net.tables["a"].may_evict("m"))
        net.clock.advance(retention.GRANT_DURATION_MS + 1)
        self.assertTrue(net.tables["a"].may_evict("m"))

    def test_late_grant_is_not_used(self) -> None:
        """The unload would outlast the promise of the granter."""
        net = _Net("a", "b")
        answers = net.ask("b", "a")
        net.deliver()
        self.assertIsNotNone(answers[0])
        net.clock.advance(retention.UNLOAD_START_WINDOW_MS + 1)
        self.assertFalse(net.tables["b"].mark_ordered("m"))

    def test_lost_copy_revokes_the_promise(self) -> None:
        """The requester must not unload after the granter crashed."""
        net = _Net("a", "b")
        answers = net.ask("b", "a")
        net.deliver()
        net.tables["a"].on_copy_lost("m")
        net.deliver()
        self.assertIsNone(answers[1])
        self.assertFalse(net.tables["b"].mark_ordered("m"))

    def test_copy_that_is_gone_is_not_promised(self) -> None:
        """The peer's view of holders lags behind the engine."""
        net = _Net("a", "b")
        net.is_here["a"] = False
        answers = net.ask("b", "a")
        net.deliver()
        self.assertEqual([None], answers)

    def test_silent_holder_is_passed_over(self) -> None:
        """A request to a paused holder must not wait for ever."""
        net = _Net("a", "b", "c")
        answers = net.ask("c", "a", "b")
        net.queue.clear()
        net.clock.advance(retention.ANSWER_TIMEOUT_MS)
        net.deliver()
        self.assertEqual("b", answers[0].peer)

    def test_ordered_unload_keeps_its_promise(self) -> None:
        """A drain gave the promise back while the unload was in flight."""
        net = _Net("a", "b")
        net.ask("b", "a")
        net.deliver()
        net.tables["b"].mark_ordered("m")
        answers = []
        net.tables["b"].request_grant(
            "m", ["a"], answers.append, is_eviction=False
        )
        net.deliver()
        self.assertEqual([None], answers)
        self.assertFalse(net.tables["a"].may_evict("m"))

    def test_unknown_grant_is_given_back(self) -> None:
        """A grant that nobody waits for would block the granter."""
        net = _Net("a", "b")
        item = messages_residency.RetainGranted(7, "m")
        net.tables["b"].on_message("a", item)
        released = messages_residency.RetainReleased(7, "m")
        self.assertEqual([("b", "a", released)], net.queue)
