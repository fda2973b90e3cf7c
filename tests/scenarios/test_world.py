"""Tests of the invariant checks and fakes of the scenarios.

A check that never fails would let every scenario pass, so each test of a
check violates one invariant on purpose.
"""

from __future__ import annotations

import unittest

from balsamwall.protocol import messages_session
from balsamwall.results import result_code
from balsamwall.timing import virtual_clock
from scenarios.world import backends
from scenarios.world import callers
from scenarios.world import duration
from scenarios.world import faults
from scenarios.world import fleet as fleet_module
from scenarios.world import invariants
from scenarios.world import process
from scenarios.world import trace

BODY = b'{"model": "quote-1", "messages": []}'


def small_fleet():
    """Return a settled fleet of two engines, one service and one entry."""
    zone = "availability zone"
    vms = [
        {"vm": f"draft-{n}", zone: "a", "runs": "engine", "memory": "24 GiB"}
        for n in (1, 2)
    ]
    vms.append({"vm": "hold-1", zone: "a", "runs": "holds", "memory": "-"})
    plan = fleet_module.Plan(
        vms=vms,
        entries=[{"entry": "entry-1", zone: "a"}],
        models=[{"model": "quote-1", "version": "1", "weights": "7 GiB"}],
        workspaces=[
            {
                "workspace": "venues",
                "models": "quote-1",
                "services": "holds",
                "class": "urgent",
            }
        ],
    )
    fleet = fleet_module.Fleet("test", plan)
    fleet.settle()
    return fleet


class RecordingProcess(process.Process):
    """Process that records the timers that fired."""

    def build(self, clock):
        self.seen = []
        for delay_ms in (10, 20, 30):
            clock.call_later(delay_ms, self.seen.append, delay_ms)


class ProcessTest(unittest.TestCase):
    def setUp(self):
        self.clock = virtual_clock.VirtualClock()
        self.process = RecordingProcess(
            self.clock, trace.Trace(self.clock), "vm-1", "agent", "a", "t"
        )
        self.process.start()

    def test_pause_delays_events_and_keeps_their_order(self):
        """Guards against a pause that drops events, unlike SIGSTOP."""
        self.clock.advance(10)
        self.process.pause()
        self.clock.advance(100)
        self.assertEqual([10], self.process.seen)
        self.process.resume()
        self.assertEqual([10, 20, 30], self.process.seen)

    def test_kill_drops_events_of_the_earlier_run(self):
        """Guards against timers of a killed process firing after a restart."""
        self.clock.advance(10)
        self.process.stop("is killed")
        self.process.start()
        self.clock.advance(15)
        self.assertEqual([10], self.process.seen)

    def test_unhandled_error_breaks_a_promise(self):
        """Guards against exceptions in timers that are swallowed."""
        self.process.run(1, lambda: 1 // 0)
        self.assertIn("ZeroDivision", self.process.trace.report())


class InvariantsTest(unittest.TestCase):
    def setUp(self):
        self.fleet = small_fleet()
        self.addCleanup(self.fleet.close)
        self.holder = min(self.fleet.invariants.vms_serving("quote-1"))

    def violated(self):
        """Return the violated invariants."""
        return {item.invariant for item in self.fleet.trace.violations}

    def log(self, vm, request_id="", key=""):
        now_ms = self.fleet.clock.now_ms()
        row = backends.Execution(now_ms, vm, request_id, key)
        self.fleet.log.append(row)

    def request(self, key=""):
        demand = callers.Demand("venues", "quote-1", 1, 0, 1)
        entry = self.fleet.entries["entry-1"]
        item = callers.Request(
            self.fleet.callers, 0, entry, demand, "/", BODY, key
        )
        item.request_id = "r1"
        return item

    def test_quiet_fleet_breaks_nothing(self):
        """Guards against violations reported for a fleet without faults."""
        self.fleet.clock.advance(5_000)
        self.fleet.invariants.finish()
        self.assertEqual(set(), self.violated())

    def test_memory_above_capacity(self):
        """A charge above the capacity must be reported (R1)."""
        memory = self.fleet.engines[self.holder].backend.core.memory
        memory.charge("kv:x", memory.capacity_bytes)
        memory.release("kv:x")
        self.fleet.clock.advance(1_000)
        self.assertIn(invariants.R1, self.violated())

    def test_copy_that_vanishes_without_a_fault(self):
        """Loss of the last copy without a fault must be reported (R2)."""
        core = self.fleet.engines[self.holder].backend.core
        core.orders.residents.clear()
        self.fleet.clock.advance(1_000)
        self.assertIn(invariants.R2, self.violated())

    def test_wrong_answer(self):
        """The response to another request must be reported (R3)."""
        item = self.request(key="k1")
        item.data += b"other"
        item._finish(result_code.ResultCode.OK)
        self.assertIn(
            "R3 complete responses to the right caller", self.violated()
        )

    def test_untrue_refusal(self):
        """A not-run code after an execution must be reported (R4)."""
        self.log(self.holder, "r1")
        self.request()._finish(result_code.ResultCode.NO_REPLICA)
        self.assertIn(invariants.R4, self.violated())

    def test_key_that_runs_twice(self):
        """Executions of one key on two VMs must be reported (R5)."""
        self.log("hold-1", "r1", "k1")
        self.log("hold-2", "r2", "k1")
        self.fleet.clock.advance(1_000)
        self.assertIn(invariants.R5, self.violated())

    def test_run_on_a_leaving_backend_server(self):
        """A run past the drain limit must be reported (R6)."""
        self.fleet.invariants.on_drain(self.fleet.agents["hold-1"])
        self.fleet.clock.advance(invariants.DRAIN_LIMIT_MS + 1)
        self.log("hold-1", "r1")
        self.fleet.clock.advance(1_000)
        self.assertIn(invariants.R6, self.violated())

    def test_answer_cut_off_by_a_drain(self):
        """A request that a drain interrupts must be reported (R7)."""
        self.log("hold-1", "r1")
        self.fleet.invariants.on_drain(self.fleet.agents["hold-1"])
        self.request()._finish(result_code.ResultCode.OUTCOME_UNKNOWN)
        self.assertIn(invariants.R7, self.violated())

    def test_configuration_that_does_not_arrive(self):
        """A revision that is out of date for 12 s must be reported (R8)."""
        self.fleet.agents["hold-1"].replica._tenants = frozenset(["other"])
        self.fleet.apply(self.fleet.plan, "operator-1", None)
        self.fleet.clock.advance(invariants.CONFIGURATION_LIMIT_MS + 1_000)
        self.assertIn(invariants.R8, self.violated())

    def test_silent_stream_is_found_after_3_s_and_replaced(self):
        """Guards against silent streams that the ping timeout misses."""
        table = self.fleet.entries["entry-1"].table
        self.fleet.network.silence("hold-1")
        self.fleet.clock.advance(2_000)
        self.assertIn("hold-1", table.connected_peers)
        self.fleet.clock.advance(2_000)
        texts = [item.text for item in self.fleet.trace.events]
        self.assertIn("stream to hold-1: silent", texts)
        self.fleet.clock.advance(2_000)
        self.assertIn("hold-1", table.connected_peers)
        hello = table.hello_of("hold-1")
        self.assertIsInstance(hello, messages_session.Hello)


class LanguageTest(unittest.TestCase):
    def test_duration_needs_a_unit(self):
        """Guards against bare numbers, which could be seconds or ms."""
        self.assertEqual(2_500, duration.parse("2.5 s"))
        with self.assertRaises(AssertionError):
            duration.parse("5")

    def test_unknown_fault_is_named(self):
        """Guards against a misspelt fault that is silently ignored."""
        with self.assertRaisesRegex(AssertionError, "unknown fault 'kil'"):
            faults.schedule(None, 0, "kil", "", None)

    def test_report_names_the_first_violation_and_events_before_it(self):
        """The report must lead to the cause of the first violation."""
        clock = virtual_clock.VirtualClock()
        found = trace.Trace(clock)
        found.record("before")
        clock.advance(61_005)
        found.record_violation("R5", "first")
        found.record("after")
        found.record_violation("R6", "second")
        report = found.report()
        self.assertIn("first violation: R5 at 01:01.005", report)
        self.assertIn("before", report)
        self.assertNotIn("after", report)
