"""Tests that replay load patterns against the planner."""

from __future__ import annotations

import unittest

from balsamwall.coordination import demand as demand_module
from balsamwall.coordination import engine_tracker
from balsamwall.coordination import messages_fleet
from balsamwall.coordination import residency_planner
from balsamwall.gateway import residency_waits
from balsamwall.timing import virtual_clock
from tests.fixtures import gateway_world

MODELS = ("hot1", "hot2", "rare1", "rare2", "rare3", "rare4")
READY = engine_tracker.EngineState.READY


class PlannerWorld:
    """Engines with given residents, and demand that a test states."""

    def __init__(self, *residents):
        self.clock = virtual_clock.VirtualClock(start_ms=100_000)
        self.demand = demand_module.Demand(self.clock)
        self.planner = residency_planner.ResidencyPlanner(self.demand)
        spec = gateway_world.make_engine(*MODELS)
        self.trackers = []
        for index, names in enumerate(residents):
            record = gateway_world.make_record(
                f"e{index}", models={name: () for name in names}
            )
            tracker = engine_tracker.EngineTracker(record, spec)
            tracker.state = READY
            tracker.local_models = set(MODELS)
            self.trackers.append(tracker)

    def report(self, rates, running=(), waiting=(), seconds=10):
        """Report steady demand; rates are requests per second."""
        for _ in range(seconds * 5):
            self.clock.advance(200)
            arrivals = {
                model: [rate / 5, int(rate * 100)]
                for model, rate in rates.items()
            }
            rows = [["app", model, "", count] for model, count in waiting]
            self.demand.on_report(
                "v1",
                messages_fleet.DemandReport(
                    [list(row) for row in running], rows, {}, arrivals
                ),
            )
            self.demand.update()

    def plan_model(self, model, count=1):
        return self.first_plan({self.wanted(model): count})

    def plan_spread(self):
        return self.first_plan({})

    def plan_adapter(self, model, adapter):
        return self.first_plan({self.wanted(model, adapter): 1})

    @staticmethod
    def wanted(model, adapter=""):
        return residency_waits.Wanted("app", model, adapter)

    def first_plan(self, waiting):
        for need in self.planner.needs(self.trackers, waiting):
            plan = self.planner.plan(need, self.trackers, self.clock.now_ms())
            if plan is not None:
                return plan
        return None


def names(plan):
    return [(order.kind.value, order.model) for order in plan.orders]


class ResidencyPlannerTest(unittest.TestCase):
    """What makes way, and what gets one more copy."""

    def test_rare_model_takes_the_place_of_an_idle_one(self):
        """Guards against a rare model that is never served."""
        world = PlannerWorld(["hot1", "rare1"], ["hot2", "rare2"])
        world.report(
            {"hot1": 8, "hot2": 8, "rare1": 0.5}, waiting=[("rare3", 1)]
        )
        plan = world.plan_model("rare3")
        self.assertEqual(names(plan), [("unload", "rare2"), ("load", "rare3")])

    def test_rare_model_does_not_push_out_a_busy_one(self):
        """Guards against a backlog of one model that makes another one."""
        world = PlannerWorld(["hot1"], ["hot2"])
        world.trackers[0].spec = world.trackers[1].spec = (
            gateway_world.make_engine(*MODELS, weights_mb=30_500.0)
        )
        world.report(
            {"hot1": 8, "hot2": 8, "rare1": 0.5}, waiting=[("rare1", 4)]
        )
        self.assertIsNone(world.plan_model("rare1", 4))

    def test_rising_model_takes_the_place_of_a_rare_one(self):
        """Guards against busy models that wait while demand moves."""
        world = PlannerWorld(["hot1", "rare1"], ["rare2", "rare3"])
        world.report(
            {"hot1": 8, "hot2": 6, "rare1": 0.5, "rare2": 0.3, "rare3": 0.5},
            waiting=[("hot2", 9)],
        )
        plan = world.plan_model("hot2", 9)
        self.assertEqual(names(plan)[0], ("unload", "rare2"))

    def test_place_with_running_requests_is_left_alone(self):
        """Guards against an unload that waits for seconds."""
        world = PlannerWorld(["hot1", "rare1"], ["hot2", "rare2"])
        world.report(
            {"hot1": 8, "hot2": 8, "rare1": 0.2, "rare2": 0.4},
            running=[("e0", "rare1", "", 1)],
            waiting=[("rare3", 1)],
        )
        plan = world.plan_model("rare3")
        self.assertEqual(names(plan)[0], ("unload", "rare2"))

    def test_full_engine_gets_a_second_copy_elsewhere(self):
        """Guards against one engine that queues while others are idle."""
        world = PlannerWorld(["hot1", "rare1"], ["rare2", "rare3"])
        world.report(
            {"hot1": 20, "rare1": 0.3, "rare2": 0.1},
            running=[("e0", "hot1", "", 96)],
        )
        plan = world.plan_spread()
        self.assertEqual(plan.tracker, world.trackers[1])
        self.assertEqual(names(plan)[-1], ("load", "hot1"))

    def test_copy_on_its_way_counts(self):
        """Guards against five copies where one more suffices."""
        world = PlannerWorld(
            ["hot1", "rare1"], ["rare2", "rare3"], ["rare4"], ["hot2"]
        )
        world.report(
            {"hot1": 12, "hot2": 3, "rare4": 1},
            running=[("e0", "hot1", "", 20)],
        )
        replicas = 0
        while (plan := world.plan_spread()) is not None:
            plan.tracker.queue.extend(plan.orders)
            replicas += 1
        self.assertLessEqual(replicas, 2)

    def test_spread_does_not_drop_the_only_copy_of_a_busy_model(self):
        """Guards against moving the shortage to another model."""
        world = PlannerWorld(["hot1"], ["hot2"])
        for tracker in world.trackers:
            tracker.spec = gateway_world.make_engine(
                *MODELS, weights_mb=30_500.0
            )
        world.report(
            {"hot1": 18, "hot2": 12}, running=[("e0", "hot1", "", 90)]
        )
        self.assertIsNone(world.plan_spread())

    def test_rare_changes_leave_engines_free(self):
        """Guards against busy models that find every engine changing."""
        world = PlannerWorld(["rare1"], ["rare2"], ["rare3"], ["rare4"])
        for tracker in world.trackers[:2]:
            tracker.state = engine_tracker.EngineState.LOADING
        world.report({"hot1": 6, "rare1": 0.3}, waiting=[("hot1", 5)])
        self.assertIsNone(world.plan_model("rare1"))
        self.assertIsNotNone(world.plan_model("hot1", 5))

    def test_adapter_goes_to_an_engine_with_its_model(self):
        """Guards against adapters without their base model."""
        world = PlannerWorld(["hot1"], ["hot2"])
        plan = world.plan_adapter("hot2", "a1")
        self.assertEqual(plan.tracker, world.trackers[1])

    def test_full_adapter_places_give_up_the_one_used_last(self):
        """Guards against more adapters than an engine has places for."""
        world = PlannerWorld(["hot1"])
        tracker = world.trackers[0]
        tracker.models["hot1"] = {"a1", "a2", "a3", "a4"}
        for index, name in enumerate(["a3", "a1", "a2", "a4"]):
            tracker.adapter_used_ms["hot1", name] = 1_000 + index
        plan = world.plan_adapter("hot1", "a9")
        orders = [(order.kind.value, order.adapter) for order in plan.orders]
        self.assertEqual(orders, [("unload", "a3"), ("load", "a9")])

    def test_slow_load_is_worth_it_for_a_full_engine(self):
        """Guards against one full engine for as long as demand lasts."""
        world = PlannerWorld(["hot1", "rare1"], ["rare2", "rare3"])
        for tracker in world.trackers:
            tracker.local_models = set()
        world.report(
            {"hot1": 50, "rare2": 0.5, "rare3": 0.3},
            running=[("e0", "hot1", "", 120), ("e1", "rare2", "", 1)],
        )
        plan = world.plan_spread()
        self.assertEqual(names(plan)[-1], ("load", "hot1"))

    def test_slow_load_is_worth_it_for_a_model_without_a_copy(self):
        """Guards against a busy model that is never loaded."""
        world = PlannerWorld(["rare1", "rare2"])
        world.trackers[0].local_models = set()
        world.report(
            {"hot1": 50, "rare1": 0.5, "rare2": 0.3}, waiting=[("hot1", 90)]
        )
        self.assertIsNotNone(world.plan_model("hot1", 90))

    def test_full_engine_goes_before_a_rare_model(self):
        """Guards against rare models that take every idle engine."""
        world = PlannerWorld(["hot1", "rare1"], ["rare2", "rare3"])
        world.report(
            {"hot1": 30, "rare2": 0.1, "rare3": 0.1, "rare4": 0.5},
            running=[("e0", "hot1", "", 120)],
            waiting=[("rare4", 3)],
        )
        plan = world.plan_model("rare4", 3)
        self.assertEqual(names(plan)[-1], ("load", "hot1"))
