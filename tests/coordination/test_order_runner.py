"""Tests of orders to engines with late, stale or lost responses."""

from __future__ import annotations

import unittest

from balsamwall.coordination import engine_control
from balsamwall.coordination import engine_tracker
from balsamwall.coordination import order_runner
from balsamwall.logs import decision_log
from balsamwall.timing import virtual_clock
from tests.fixtures import gateway_harness

Order = engine_control.Order
Kind = engine_control.OrderKind
Outcome = engine_control.OrderOutcome


class SimulatedEngine:
    """Engine with memory and order count whose reports lag behind."""

    LAG_MS = 200

    def __init__(self, clock, models):
        self.clock = clock
        self.models = set(models)
        self.history = [(-1_000, set(models))]
        self.busy_until_ms = 0
        self.order_count = 0
        self.lost_responses = 0
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

    def send_order(
        self, record, order, order_count, token, send_by_ms, callback
    ):
        outcome = self.execute(order, order_count)
        if self.lost_responses:
            self.lost_responses -= 1
            outcome = Outcome.UNKNOWN
        self.clock.call_later(1, callback, outcome)

    def execute(self, order, order_count):
        now_ms = self.clock.now_ms()
        if now_ms < self.busy_until_ms or order_count != self.order_count:
            return Outcome.CONFLICT
        self.order_count += 1
        self.orders.append((order.kind.value, order.model))
        if order.kind is Kind.LOAD:
            assert len(self.models) < 2, "engine memory exceeded"
            self.models.add(order.model)
            self.busy_until_ms = now_ms + 500
        else:
            self.models.discard(order.model)
            self.busy_until_ms = now_ms + 60
        ready = (self.busy_until_ms, set(self.models))
        self.history.append(ready)
        return Outcome.ACCEPTED


class FakeOwner:
    """Lease owner that records the notifications."""

    def __init__(self):
        self.fencing_token = 7
        self.is_active = True
        self.send_by_ms = None
        self.residents = []
        self.is_fenced = False

    def on_residents_changed(self, tracker):
        self.residents.append(tracker.usable_models())

    def on_fenced(self):
        self.is_fenced = True


class OrderRunnerTest(unittest.TestCase):
    """Orders never exceed the memory of an engine."""

    def setUp(self):
        self.clock = virtual_clock.VirtualClock(start_ms=5_000)
        self.engine = SimulatedEngine(self.clock, ["m1", "m2"])
        self.owner = FakeOwner()
        self.runner = order_runner.OrderRunner(
            self.clock,
            self.engine,
            self.owner,
            decision_log.DecisionLog(self.clock),
        )
        self.runner.set_load_rate(3.0)
        record = gateway_harness.make_record("e1", models={"m1": (), "m2": ()})
        spec = gateway_harness.make_engine("m1", "m2", "m3", "m4")
        self.tracker = engine_tracker.EngineTracker(record, spec)
        self.runner.refresh(self.tracker)
        self.clock.advance(1_000)

    def swap(self, victim, model):
        self.tracker.queue.extend(
            [Order(Kind.UNLOAD, victim), Order(Kind.LOAD, model)]
        )
        self.runner.run(self.tracker)

    def test_swap_waits_for_the_unload(self):
        """Guards against a load during an unload, which exceeds the memory."""
        self.swap("m1", "m3")
        self.clock.advance(3_500)
        self.assertEqual(self.engine.models, {"m2", "m3"})
        self.assertEqual(self.owner.residents[-1], {"m2": [], "m3": []})

    def test_stale_report_is_not_applied(self):
        """Guards against a report from before the latest accepted order."""
        self.swap("m1", "m3")
        self.clock.advance(100)
        self.runner.refresh(self.tracker)
        self.clock.advance(3_500)
        self.assertEqual(set(self.tracker.models), {"m2", "m3"})

    def test_order_with_a_lost_response_runs_once(self):
        """Guards against a second load after the response was lost."""
        self.engine.lost_responses = 1
        self.swap("m1", "m3")
        self.clock.advance(6_000)
        self.assertEqual(
            self.engine.orders, [("unload", "m1"), ("load", "m3")]
        )
        self.assertEqual(set(self.tracker.models), {"m2", "m3"})

    def test_lost_response_to_a_load(self):
        """Guards against a later swap that acts on an outdated state."""
        self.swap("m1", "m3")
        self.clock.advance(15)
        self.engine.lost_responses = 1
        self.clock.advance(4_000)
        self.swap("m3", "m4")
        self.clock.advance(6_000)
        self.assertEqual(self.engine.models, {"m2", "m4"})

    def test_lost_order_is_retried_at_once(self):
        """Guards against unused memory while the engine state is read."""
        send = self.engine.send_order

        def drop_order(record, order, count, token, send_by_ms, callback):
            self.engine.send_order = send
            self.clock.call_later(1, callback, Outcome.UNKNOWN)

        self.engine.send_order = drop_order
        self.swap("m1", "m3")
        self.clock.advance(order_runner.REPORT_STABLE_MS // 2)
        self.assertEqual(
            self.engine.orders, [("unload", "m1"), ("load", "m3")]
        )

    def test_rejected_load_returns_its_permit(self):
        """Guards against an idle store while an engine rejects its load."""
        self.engine.execute(Order(Kind.UNLOAD, "m1"), 0)
        self.engine.busy_until_ms = self.clock.now_ms() + 3_000
        self.tracker.order_count = 1
        self.tracker.models.pop("m1")
        self.tracker.queue.append(Order(Kind.LOAD, "m3"))
        self.runner.run(self.tracker)
        self.clock.advance(1_000)
        self.assertTrue(self.runner._load_bucket.take())

    def test_weights_evicted_from_the_vm_are_loaded_from_the_store(self):
        """Guards against announcing a model before its load has ended.

        The load time of a local copy is shorter than that from the store.
        """
        record = gateway_harness.make_record(
            "e1", models={"m1": ()}, on_disk=frozenset({"m3"})
        )
        self.tracker.update_record(record, self.tracker.spec)
        self.assertEqual(self.tracker.load_ms("m3"), 500)
        record = gateway_harness.make_record("e1", models={"m1": ()})
        self.tracker.update_record(record, self.tracker.spec)
        self.assertEqual(self.tracker.load_ms("m3"), 2_000)

    def test_load_that_does_not_fit_is_not_sent(self):
        """Guards against orders beyond the memory of an engine."""
        self.tracker.queue.append(Order(Kind.LOAD, "m3"))
        self.runner.run(self.tracker)
        self.clock.advance(1_000)
        self.assertEqual(self.engine.orders, [])

    def test_new_coordinator_waits_for_a_load_in_progress(self):
        """Guards against missing a load of an earlier coordinator."""
        self.engine.execute(Order(Kind.UNLOAD, "m1"), 0)
        self.clock.advance(100)
        self.engine.execute(Order(Kind.LOAD, "m3"), 1)
        self.clock.advance(50)
        record = gateway_harness.make_record("e1", models={"m2": ()})
        tracker = engine_tracker.EngineTracker(record, self.tracker.spec)
        self.runner.refresh(tracker)
        self.clock.advance(200)
        self.assertFalse(tracker.is_idle)
        self.clock.advance(2_000)
        self.assertEqual(set(tracker.models), {"m2", "m3"})

    def test_no_order_without_the_lease(self):
        """Guards against orders of two coordinators."""
        self.owner.fencing_token = 0
        self.swap("m1", "m3")
        self.clock.advance(1_000)
        self.assertEqual(self.engine.orders, [])

    def test_loads_stay_within_the_rate_of_the_store(self):
        """Guards against a burst of loads that overloads the store."""
        engines = []
        for number in range(30):
            record = gateway_harness.make_record(f"e{number + 2}")
            tracker = engine_tracker.EngineTracker(record, self.tracker.spec)
            engine = SimulatedEngine(self.clock, [])
            tracker.state = engine_tracker.EngineState.READY
            tracker.queue.append(Order(Kind.LOAD, "m3"))
            runner_engine = self.runner._control
            self.runner._control = engine
            self.runner.run(tracker)
            self.runner._control = runner_engine
            engines.append(engine)
        started = sum(bool(engine.orders) for engine in engines)
        self.assertLessEqual(started, order_runner.LOAD_BURST)

    def test_removed_engine_is_not_polled(self):
        """Guards against calls to an address that is unused or reassigned."""
        self.engine.read_report = self.count_report_request
        self.report_requests = 0
        self.runner.refresh(self.tracker)
        self.clock.advance(1_000)
        self.assertGreater(self.report_requests, 1)
        self.runner.stop_tracking(self.tracker)
        seen = self.report_requests
        self.clock.advance(5_000)
        self.assertEqual(self.report_requests, seen)

    def test_response_of_a_removed_engine_sends_no_order(self):
        """Guards against two trackers that send orders to one engine."""
        self.swap("m1", "m3")
        self.runner.stop_tracking(self.tracker)
        self.clock.advance(5_000)
        self.assertEqual(self.engine.orders, [("unload", "m1")])

    def count_report_request(self, record, callback):
        self.report_requests += 1
        self.clock.call_later(1, callback, None)
