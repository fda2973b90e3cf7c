"""Tests of orders to engines that answer late, wrongly or not at all."""

from __future__ import annotations

import unittest

from balsamwall.coordination import engine_control
from balsamwall.coordination import engine_tracker
from balsamwall.coordination import order_runner
from balsamwall.logs import decision_log
from balsamwall.timing import virtual_clock
from tests.fixtures import gateway_world

Order = engine_control.Order
Kind = engine_control.OrderKind
Outcome = engine_control.OrderOutcome


class SimulatedEngine:
    """Engine with memory, order count and a busy time, seen with a lag."""

    LAG_MS = 200

    def __init__(self, clock, models):
        self.clock = clock
        self.models = set(models)
        self.history = [(-1_000, set(models))]
        self.busy_until_ms = 0
        self.order_count = 0
        self.lost_answers = 0
        self.orders = []

    def read_report(self, record, callback):
        seen_ms = self.clock.now_ms() - self.LAG_MS
        models = [rows for at_ms, rows in self.history if at_ms <= seen_ms][-1]
        report = engine_control.EngineReport(
            self.order_count,
            self.clock.now_ms() < self.busy_until_ms,
            {name: frozenset() for name in models},
            frozenset(),
            0,
            0,
        )
        self.clock.call_later(1, callback, report)

    def send_order(self, record, order, order_count, token, callback):
        outcome = self.apply(order, order_count)
        if self.lost_answers:
            self.lost_answers -= 1
            outcome = Outcome.UNKNOWN
        self.clock.call_later(1, callback, outcome)

    def apply(self, order, order_count):
        now_ms = self.clock.now_ms()
        if now_ms < self.busy_until_ms or order_count != self.order_count:
            return Outcome.CONFLICT
        self.order_count += 1
        self.orders.append((order.kind.value, order.model))
        if order.kind is Kind.LOAD:
            assert len(self.models) < 2, "more models than memory"
            self.models.add(order.model)
            self.busy_until_ms = now_ms + 500
        else:
            self.models.discard(order.model)
            self.busy_until_ms = now_ms + 60
        ready = (self.busy_until_ms, set(self.models))
        self.history.append(ready)
        return Outcome.ACCEPTED


class Owner:
    """Holder of the lease."""

    def __init__(self):
        self.fencing_token = 7
        self.residents = []
        self.is_fenced = False

    def on_residents_changed(self, tracker):
        self.residents.append(tracker.usable_models())

    def on_fenced(self):
        self.is_fenced = True


class OrderRunnerTest(unittest.TestCase):
    """An engine never receives more than it can hold."""

    def setUp(self):
        self.clock = virtual_clock.VirtualClock(start_ms=5_000)
        self.engine = SimulatedEngine(self.clock, ["m1", "m2"])
        self.owner = Owner()
        self.runner = order_runner.OrderRunner(
            self.clock,
            self.engine,
            self.owner,
            decision_log.DecisionLog(self.clock),
        )
        self.runner.set_load_rate(3.0)
        record = gateway_world.make_record("e1", models={"m1": (), "m2": ()})
        spec = gateway_world.make_engine("m1", "m2", "m3", "m4")
        self.tracker = engine_tracker.EngineTracker(record, spec)
        self.runner.refresh(self.tracker)
        self.clock.advance(1_000)

    def swap(self, victim, model):
        self.tracker.queue.extend(
            [Order(Kind.UNLOAD, victim), Order(Kind.LOAD, model)]
        )
        self.runner.run(self.tracker)

    def test_swap_waits_for_the_unload(self):
        """Guards against a load on top of an unload in progress."""
        self.swap("m1", "m3")
        self.clock.advance(3_500)
        self.assertEqual(self.engine.models, {"m2", "m3"})
        self.assertEqual(self.owner.residents[-1], {"m2": [], "m3": []})

    def test_state_is_not_taken_from_a_stale_report(self):
        """Guards against models that an accepted order has changed."""
        self.swap("m1", "m3")
        self.clock.advance(100)
        self.runner.refresh(self.tracker)
        self.clock.advance(3_500)
        self.assertEqual(set(self.tracker.models), {"m2", "m3"})

    def test_order_without_an_answer_is_not_given_twice(self):
        """Guards against two loads where one answer was lost."""
        self.engine.lost_answers = 1
        self.swap("m1", "m3")
        self.clock.advance(6_000)
        self.assertEqual(
            self.engine.orders, [("unload", "m1"), ("load", "m3")]
        )
        self.assertEqual(set(self.tracker.models), {"m2", "m3"})

    def test_lost_answer_of_a_load(self):
        """Guards against a second model in the place of the first."""
        self.swap("m1", "m3")
        self.clock.advance(15)
        self.engine.lost_answers = 1
        self.clock.advance(4_000)
        self.swap("m3", "m4")
        self.clock.advance(6_000)
        self.assertEqual(self.engine.models, {"m2", "m4"})

    def test_order_that_was_lost_is_given_again_at_once(self):
        """Guards against a place that stays empty while a state is read."""
        send = self.engine.send_order

        def lose(record, order, order_count, token, callback):
            self.engine.send_order = send
            self.clock.call_later(1, callback, Outcome.UNKNOWN)

        self.engine.send_order = lose
        self.swap("m1", "m3")
        self.clock.advance(order_runner.REPORT_STABLE_MS // 2)
        self.assertEqual(
            self.engine.orders, [("unload", "m1"), ("load", "m3")]
        )

    def test_refused_load_takes_no_permit(self):
        """Guards against a store that idles while an unload waits."""
        self.engine.apply(Order(Kind.UNLOAD, "m1"), 0)
        self.engine.busy_until_ms = self.clock.now_ms() + 3_000
        self.tracker.order_count = 1
        self.tracker.models.pop("m1")
        self.tracker.queue.append(Order(Kind.LOAD, "m3"))
        self.runner.run(self.tracker)
        self.clock.advance(1_000)
        self.assertTrue(self.runner._load_bucket.take())

    def test_copy_that_the_vm_has_dropped_is_loaded_from_the_store(self):
        """Guards against a model that is announced before it is loaded."""
        record = gateway_world.make_record(
            "e1", models={"m1": ()}, on_disk=frozenset({"m3"})
        )
        self.tracker.update_record(record, self.tracker.spec)
        self.assertEqual(self.tracker.load_ms("m3"), 500)
        record = gateway_world.make_record("e1", models={"m1": ()})
        self.tracker.update_record(record, self.tracker.spec)
        self.assertEqual(self.tracker.load_ms("m3"), 2_000)

    def test_load_that_does_not_fit_is_not_sent(self):
        """Guards against an engine that is ordered beyond its memory."""
        self.tracker.queue.append(Order(Kind.LOAD, "m3"))
        self.runner.run(self.tracker)
        self.clock.advance(1_000)
        self.assertEqual(self.engine.orders, [])

    def test_new_holder_waits_for_a_load_in_progress(self):
        """Guards against a load that an earlier holder has begun."""
        self.engine.apply(Order(Kind.UNLOAD, "m1"), 0)
        self.clock.advance(100)
        self.engine.apply(Order(Kind.LOAD, "m3"), 1)
        self.clock.advance(50)
        record = gateway_world.make_record("e1", models={"m2": ()})
        tracker = engine_tracker.EngineTracker(record, self.tracker.spec)
        self.runner.refresh(tracker)
        self.clock.advance(200)
        self.assertFalse(tracker.is_idle)
        self.clock.advance(2_000)
        self.assertEqual(set(tracker.models), {"m2", "m3"})

    def test_no_order_without_the_lease(self):
        """Guards against two holders."""
        self.owner.fencing_token = 0
        self.swap("m1", "m3")
        self.clock.advance(1_000)
        self.assertEqual(self.engine.orders, [])

    def test_loads_stay_within_the_rate_of_the_store(self):
        """Guards against more loads than the weight store allows."""
        begun = []
        for number in range(30):
            record = gateway_world.make_record(f"e{number + 2}")
            tracker = engine_tracker.EngineTracker(record, self.tracker.spec)
            engine = SimulatedEngine(self.clock, [])
            tracker.state = engine_tracker.EngineState.READY
            tracker.queue.append(Order(Kind.LOAD, "m3"))
            runner_engine = self.runner._control
            self.runner._control = engine
            self.runner.run(tracker)
            self.runner._control = runner_engine
            begun.append(engine)
        started = sum(bool(engine.orders) for engine in begun)
        self.assertLessEqual(started, order_runner.LOAD_BURST)

    def test_engine_that_is_gone_is_not_asked_again(self):
        """Guards against calls to an address that nobody or another uses."""
        self.engine.read_report = self.count_report
        self.reports = 0
        self.runner.refresh(self.tracker)
        self.clock.advance(1_000)
        self.assertGreater(self.reports, 1)
        self.runner.stop_tracking(self.tracker)
        seen = self.reports
        self.clock.advance(5_000)
        self.assertEqual(self.reports, seen)

    def test_answer_after_an_engine_is_gone_gives_no_order(self):
        """Guards against two books that order one engine."""
        self.swap("m1", "m3")
        self.runner.stop_tracking(self.tracker)
        self.clock.advance(5_000)
        self.assertEqual(self.engine.orders, [("unload", "m1")])

    def count_report(self, record, callback):
        self.reports += 1
        self.clock.call_later(1, callback, None)
