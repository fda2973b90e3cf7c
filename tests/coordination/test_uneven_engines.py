"""Tests of the planner with engines that become slow for a while."""

from __future__ import annotations

import unittest

from tests.coordination import test_residency_planner

PlannerFixture = test_residency_planner.PlannerFixture
SLOW_FRACTION = 0.2


def make_fixture(*residents, slow=()):
    fixture = PlannerFixture(*residents)
    for index in slow:
        tracker = fixture.trackers[index]
        tracker.sustainable_fraction = tracker.capacity = SLOW_FRACTION
    return fixture


class UnevenEnginesTest(unittest.TestCase):
    """Load pattern: some of the engines of a service are slow at a time."""

    def test_model_at_a_slow_engine_gets_a_replica(self):
        """Guards against requests that are late beside idle engines."""
        fixture = make_fixture(["hot1"], ["rare1"], [], slow=[0])
        fixture.report({"hot1": 2.0}, running=[["e0", "hot1", "", 4]])
        plan = fixture.plan_scale_out()
        self.assertEqual(plan.orders[-1].model, "hot1")
        self.assertIn(plan.tracker.record.server_id, ("e1", "e2"))

    def test_single_replica_is_hedged_while_others_are_slow(self):
        """Guards against a model that is late as soon as its engine is."""
        fixture = make_fixture(["hot1"], [], ["rare1"], [], slow=[2, 3])
        fixture.report({"hot1": 4.0}, running=[["e0", "hot1", "", 2]])
        plan = fixture.plan_scale_out()
        self.assertEqual(plan.orders[-1].model, "hot1")
        self.assertEqual(plan.tracker.record.server_id, "e1")

    def test_no_replica_is_added_at_even_engines(self):
        """Guards against loads on deployments whose engines are even."""
        fixture = make_fixture(["hot1"], [], [])
        fixture.report({"hot1": 4.0}, running=[["e0", "hot1", "", 4]])
        self.assertIsNone(fixture.plan_scale_out())

    def test_a_slow_engine_gives_up_its_replica_first(self):
        """Guards against the eviction of the only fast replica."""
        fixture = make_fixture(
            ["hot1", "rare1"], ["hot1", "rare2"], ["hot2"], slow=[0]
        )
        fixture.report({"hot1": 3.0, "hot2": 3.0, "rare1": 0.3})
        losses = fixture.planner.eviction_losses(fixture.trackers)
        self.assertLess(losses["e0", "hot1"], losses["e1", "hot1"])


if __name__ == "__main__":
    unittest.main()
