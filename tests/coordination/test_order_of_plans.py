"""Tests of the order in which absent models are placed on engines."""

from __future__ import annotations

import unittest

from balsamwall.coordination import coordinator as coordinator_module
from balsamwall.coordination import engine_control
from balsamwall.coordination import messages_fleet
from balsamwall.coordination import order_authority
from balsamwall.coordination import residency_planner
from balsamwall.gateway import backend_directory
from balsamwall.gateway import configuration_holder
from balsamwall.logs import decision_log
from balsamwall.timing import virtual_clock
from tests.coordination import test_coordinator
from tests.fixtures import gateway_harness
from tests.fixtures import origin_harness


class AcceptingEngine:
    """Engine that reports one model and accepts every order."""

    def __init__(self, clock):
        self.clock = clock
        self.orders = []

    def read_report(self, record, callback):
        report = engine_control.EngineReport(
            len(self.orders), False, {"m1": frozenset()}, frozenset(), 0, 0
        )
        self.clock.call_later(1, callback, report)

    def send_order(
        self, record, order, order_count, token, send_by_ms, callback
    ):
        self.orders.append((order.kind.value, order.model))
        accepted = engine_control.OrderOutcome.ACCEPTED
        self.clock.call_later(1, callback, accepted)


class OrderOfPlansTest(unittest.TestCase):
    """Load pattern: several absent models and one engine to load them."""

    def setUp(self):
        self.clock = virtual_clock.VirtualClock(start_ms=5_000)
        configuration = configuration_holder.ConfigurationHolder()
        engine = gateway_harness.make_engine(
            "m1", "busy", "rare", weights_mb=40_000.0
        )
        configuration.offer(
            gateway_harness.make_configuration(
                1, gateway_harness.make_route(), engine=engine
            )
        )
        self.directory = backend_directory.BackendDirectory(self.clock.now_ms)
        lease = test_coordinator.FakeLease()
        lease.is_held, lease.revision = True, 7
        links = test_coordinator.FakeLinks()
        log = decision_log.DecisionLog(self.clock)
        self.engine = AcceptingEngine(self.clock)
        self.coordinator = coordinator_module.Coordinator(
            self.clock,
            configuration,
            self.directory,
            order_authority.OrderAuthority(
                self.clock, lease, lambda: links.count, lambda: True, log, None
            ),
            self.engine,
            links,
            log,
            *gateway_harness.make_limits(self.clock),
            origin_harness.make_parts(
                gateway_harness.GatewayHarness(clock=self.clock)
            ).merger,
        )
        record = gateway_harness.make_record(
            "e1", models={"m1": ()}, on_disk=frozenset({"rare"})
        )
        self.directory.put(record)
        self.coordinator.start()
        self.clock.advance(900)

    def request_model(self, model):
        self.coordinator.on_message(
            "f1", messages_fleet.LoadWanted("app", model, "")
        )

    def test_most_requested_model_is_loaded_first(self):
        """Guards against a rare model that is loaded before a busy one."""
        # The load of the engine rules out prefetches.
        running = [["e1", "other", "", 8]]
        arrivals = {"busy": [60, 0]}
        self.coordinator.on_message(
            "f1", messages_fleet.DemandReport(running, [], {}, arrivals, {})
        )
        self.clock.advance(residency_planner.MIN_RESIDENCE_MS)
        self.request_model("rare")
        self.clock.advance(1)
        self.request_model("busy")
        self.clock.advance(500)
        self.assertEqual(
            self.engine.orders, [("unload", "m1"), ("load", "busy")]
        )

    def test_removed_engine_is_not_polled(self):
        """Guards against calls to an address that another server may use."""
        calls = []

        def read_report(record, callback):
            calls.append(self.clock.now_ms())
            self.clock.call_later(1, callback, None)

        self.engine.read_report = read_report
        self.request_model("m1")
        self.clock.advance(1_000)
        self.assertGreater(len(calls), 1)
        self.directory.remove("e1")
        seen = len(calls)
        self.clock.advance(5_000)
        self.assertEqual(len(calls), seen)
