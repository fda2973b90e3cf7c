"""Tests of the router."""

from __future__ import annotations

import random
import unittest

from balsamwall.protocol import messages_state
from balsamwall.results import result_code
from balsamwall.routing import indexed_set
from balsamwall.routing import route_query
from balsamwall.routing import router
from balsamwall.timing import virtual_clock

Code = result_code.ResultCode


def query(**changes):
    values = {
        "kind": "model",
        "target": "m",
        "is_urgent": True,
        "prompt_tokens": 100,
        "max_output_tokens": 100,
        "first_token_deadline_ms": 10_000_000,
    }
    return route_query.RouteQuery(**(values | changes))


class RouterTest(unittest.TestCase):
    """Choice of replicas by load, zone, cached prefix and state."""

    def setUp(self):
        self.clock = virtual_clock.VirtualClock()
        self.router = router.Router(self.clock, random.Random(1), "z0")

    def add(self, count, **report):
        for number in range(count):
            peer = f"a{number}"
            self.router.on_peer_up(peer, 1, f"z{number % 2}")
            self.router.on_message(
                peer,
                messages_state.Residents(1, 1, ["m"], [], [], []),
            )
            self.report(peer, **report)
        self.clock.advance(20_000)

    def report(
        self, peer, sequence=1, state="ready", tokens=0, running=0, limit=0
    ):
        self.router.on_message(
            peer,
            messages_state.AgentReport(
                1,
                sequence,
                state,
                running,
                0,
                0,
                tokens,
                0,
                0,
                0,
                10_000,
                0,
                limit,
            ),
        )

    def chosen(self, rounds=200, **changes):
        route = query(**changes)
        return {self.router.choose(route).peer for _ in range(rounds)}

    def test_zone_preference_with_margin(self):
        """Guards against needless remote traffic and an overloaded zone."""
        self.add(4)
        self.assertEqual({"a0", "a2"}, self.chosen())
        for peer in ("a0", "a2"):
            self.report(peer, 2, tokens=50_000)
        self.assertLessEqual(self.chosen(), {"a1", "a3"})

    def test_states_that_take_no_requests(self):
        """Guards against requests to a leaving, lost or restarted replica."""
        self.add(4)
        self.router.view.mark_leaving("a0", 1)
        self.report("a0", 2)
        self.router.on_peer_down("a1")
        self.report("a2", 2, state="down")
        self.assertEqual({"a3"}, self.chosen())
        self.router.on_peer_up("a3", 2, "z1")
        decision = self.router.choose(query())
        self.assertIs(Code.NO_REPLICA, decision.code)
        self.assertGreater(decision.retry_after_ms, 0)

    def test_early_refusal(self):
        """Guards against queueing a request that can't meet its deadline."""
        self.add(4, tokens=500_000)
        decision = self.router.choose(
            query(first_token_deadline_ms=self.clock.now_ms() + 500)
        )
        self.assertIs(Code.DEADLINE_UNREACHABLE, decision.code)
        self.assertGreater(decision.retry_after_ms, 0)

    def test_own_dispatches_behind_a_full_batch(self):
        """Guards against a burst to a full batch between two reports.

        The entry must count its own dispatches since the last report.
        """
        self.add(1, running=8, limit=8)
        route = query()
        before_ms = self.router.choose(route).predicted_ms
        self.router.on_dispatch("a0", 100, is_urgent=False)
        self.assertLess(self.router.choose(route).predicted_ms, before_ms + 10)
        self.router.on_dispatch("a0", 100, is_urgent=True)
        late_ms = self.router.choose(route).predicted_ms
        self.assertGreater(late_ms, before_ms + 100)
        self.router.on_done("a0", 1_000, is_urgent=True)
        self.assertLess(self.router.choose(route).predicted_ms, late_ms - 100)

    def test_prefix_affinity(self):
        """Guards against an ignored cached prefix and an outdated digest."""
        self.add(50)
        digest = messages_state.CacheDigest(1, 1, [11, 12], 0, False)
        self.router.on_message("a8", digest)
        route = {"prompt_tokens": 4_000, "prefix_hashes": (11, 12)}
        self.assertEqual({"a8"}, self.chosen(**route))
        view = next(
            v for v in self.router.explain(query(**route)) if v.peer == "a8"
        )
        self.assertEqual(128, view.matched_tokens)
        self.clock.advance(1_000_000)
        self.assertGreater(len(self.chosen(**route)), 1)

    def test_ejection_bounds(self):
        """Guards against an overload of the replicas that are not ejected."""
        self.add(4)
        for peer in ("a0", "a2"):
            for _ in range(5):
                self.router.on_failure(peer, True)
        self.assertNotIn("a0", self.chosen())
        self.assertIn("a2", self.chosen())
        self.clock.advance(10_000)
        self.assertIn("a0", self.chosen(2_000))

    def test_last_replica_is_not_ejected(self):
        """Guards against a model without a replica because of ejection."""
        self.add(1)
        for _ in range(20):
            self.router.on_failure("a0", True)
        self.assertEqual({"a0"}, self.chosen(5))

    def test_slow_start(self):
        """Guards against full traffic to a replica that is still cold."""
        self.add(10)
        self.report("a0", 2, state="down")
        self.report("a0", 3)
        route = query()
        picks = [self.router.choose(route).peer for _ in range(2_000)]
        self.assertLess(picks.count("a0"), 2_000 / 5 / 3)
        self.assertGreater(picks.count("a0"), 0)

    def test_cost_does_not_grow_with_replicas(self):
        """Guards against a decision whose cost grows with the fleet."""
        samples = []

        class CountingSet(indexed_set.IndexedSet):
            __slots__ = ()

            def sample(self, random_source):
                samples.append(1)
                return super().sample(random_source)

            def __iter__(self):
                raise AssertionError("a decision iterates over all replicas")

        for count in (10, 1_000):
            self.add(count)
            counting = CountingSet()
            for number in range(count):
                counting.add(f"a{number}")
            self.router.view._by_name["m"] = counting
            samples.clear()
            self.chosen(100)
            limit = 100 * (router.MAX_EXTRA_DRAWS + router.SAMPLE_SIZE)
            self.assertLessEqual(len(samples), limit)
