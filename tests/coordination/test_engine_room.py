"""Tests of the room of engines under orders and answers that go astray."""

from __future__ import annotations

import random
import unittest

from balsamwall.coordination import engine_control
from balsamwall.coordination import engine_tracker
from balsamwall.coordination import order_runner
from balsamwall.logs import decision_log
from balsamwall.timing import virtual_clock
from tests.fixtures import engine_room
from tests.fixtures import gateway_harness

Order = engine_control.Order
Kind = engine_control.OrderKind
MODELS = ("m1", "m2", "m3", "m4", "m5")
ADAPTERS = ("a1", "a2", "a3", "a4", "a5")
STEP_MS = 100
MIN_LOADS = 10


class Holder:
    """Coordinator that plans at random within what it tracks."""

    def __init__(self, clock, engine, seed):
        self.fencing_token = 7
        self.send_by_ms = None
        self.random = random.Random(seed)
        record = gateway_harness.make_record("e1", models=engine.models)
        self.tracker = engine_tracker.EngineTracker(record, engine.spec)
        self.runner = order_runner.OrderRunner(
            clock, engine, self, decision_log.DecisionLog(clock)
        )
        self.runner.set_load_rate(100.0)
        self.runner.refresh(self.tracker)

    @property
    def is_active(self):
        return bool(self.fencing_token)

    def on_residents_changed(self, tracker):
        pass

    def on_fenced(self):
        pass

    def step(self):
        """Plan a change if the engine is idle."""
        tracker = self.tracker
        if not tracker.is_idle or not self.fencing_token:
            return
        if self.random.random() < 0.6 and tracker.models:
            model = self.random.choice(sorted(tracker.models))
            order = Order(Kind.LOAD, model, self.random.choice(ADAPTERS))
        else:
            order = Order(Kind.LOAD, self.random.choice(MODELS))
        if tracker.will_hold(order.model, order.adapter):
            return
        tracker.queue.extend([*self.evictions(order), order])
        self.runner.run(tracker)

    def evictions(self, order):
        if self.tracker.fits(order):
            return []
        if not order.adapter:
            victim = self.random.choice(sorted(self.tracker.models))
            return [Order(Kind.UNLOAD, victim)]
        held = [
            (model, adapter)
            for model, adapters in sorted(self.tracker.models.items())
            for adapter in sorted(adapters)
        ]
        if not held:
            return []
        return [Order(Kind.UNLOAD, *self.random.choice(held))]


class EngineRoomTest(unittest.TestCase):
    """Load pattern: orders are late, lost or refused, and holders change."""

    def play(self, seed, trouble_share=0.0, flap_share=0.0, change_share=0.0):
        clock = virtual_clock.VirtualClock(start_ms=5_000)
        chances = random.Random(seed)
        spec = gateway_harness.make_engine(*MODELS)
        engine = engine_room.RoomEngine(clock, chances, spec)
        engine.trouble_share = trouble_share
        holder = Holder(clock, engine, seed)
        for _ in range(600):
            clock.advance(STEP_MS)
            holder.step()
            if chances.random() < flap_share:
                holder.fencing_token = 0
                clock.advance(chances.randrange(1, STEP_MS))
                holder.fencing_token = 7
            if chances.random() < change_share:
                holder.runner.stop_tracking(holder.tracker)
                holder = Holder(clock, engine, seed)
        self.assertGreater(engine.loads, MIN_LOADS)
        return engine.overloads

    def overloads(self, **changes):
        """Return the loads beyond the room by seed."""
        found = {seed: self.play(seed, **changes) for seed in range(1, 21)}
        return {seed: loads for seed, loads in found.items() if loads}

    def test_adapter_in_use_keeps_its_slot_until_it_is_gone(self):
        """Guards against a slot that is taken while an unload waits."""
        self.assertEqual(self.overloads(), {})

    def test_orders_that_are_late_or_lost_take_room(self):
        """Guards against a load beside an order without an answer."""
        self.assertEqual(self.overloads(trouble_share=0.15), {})

    def test_dropped_unload_gives_no_room(self):
        """Guards against a load after an unload that was never sent again.

        The fencing token is gone for less than the interval of the checks.
        """
        self.assertEqual(
            self.overloads(trouble_share=0.15, flap_share=0.2), {}
        )

    def test_next_coordinator_counts_orders_of_the_one_before(self):
        """Guards against reports from before the last order."""
        self.assertEqual(
            self.overloads(trouble_share=0.15, change_share=0.03), {}
        )
