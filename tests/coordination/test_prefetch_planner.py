"""Tests of the loads that are planned before requests arrive."""

from __future__ import annotations

import unittest

from balsamwall.coordination import prefetch_planner
from tests.coordination import test_residency_planner

SERVICE = "app"
LOADS_PER_S = 4.0


class PrefetchPlannerTest(unittest.TestCase):
    """Load pattern: a fleet starts, and requests arrive some seconds later."""

    def setUp(self):
        self.fixture = test_residency_planner.PlannerFixture(
            ["hot1", "rare1"], ["hot1", "hot2"]
        )
        for tracker in self.fixture.trackers:
            tracker.local_models = set(tracker.models)
        self.planner = prefetch_planner.PrefetchPlanner(self.fixture.demand)

    def plan(self):
        return self.planner.plan(self.fixture.trackers)

    def count_due(self, duration_ms):
        clock = self.fixture.clock
        count = 0
        for _ in range(duration_ms // 50):
            clock.advance(50)
            while self.planner.is_due(SERVICE, LOADS_PER_S, clock.now_ms()):
                count += 1
        return count

    def test_evicted_model_returns_after_the_prefetch(self):
        """Guards against an engine without the models chosen for it."""
        plan = self.plan()
        names = test_residency_planner.order_names(plan)
        kinds = [kind for kind, _ in names]
        self.assertEqual(kinds, ["unload", "load", "unload", "load"])
        self.assertEqual(names[0][1], names[3][1])

    def test_model_on_enough_vms_is_not_prefetched(self):
        """Guards against loads of the weight store without a use."""
        names = set(test_residency_planner.MODELS)
        for tracker in self.fixture.trackers:
            tracker.local_models = names
        self.assertIsNone(self.plan())

    def test_no_prefetch_after_the_first_request(self):
        """Guards against engines that load rare models while others queue.

        A load that takes 6 s would keep its engine from busy models.
        """
        self.fixture.report({"hot1": 0.5}, seconds=1)
        self.assertIsNone(self.plan())

    def test_prefetches_keep_to_the_rate_of_the_weight_store(self):
        """Guards against orders that wait for permits of the weight store."""
        self.assertAlmostEqual(self.count_due(3_000), 12, delta=1)

    def test_prefetches_end_after_the_start(self):
        """Guards against a slow load that begins just before requests."""
        self.count_due(prefetch_planner.START_PERIOD_MS)
        self.assertEqual(self.count_due(5_000), 0)
