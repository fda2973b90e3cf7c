"""Tests of the units and monitors that connect the components."""

from __future__ import annotations

import unittest

from balsamwall.composition import backend_monitor
from balsamwall.composition import demand_meter
from balsamwall.composition import peer_residents
from balsamwall.composition import tenant_switch
from balsamwall.protocol import messages_session
from balsamwall.protocol import messages_state
from balsamwall.results import result_code
from balsamwall.timing import virtual_clock


def hello(vm: str, tenant: str = "t", incarnation: int = 1):
    return messages_session.Hello(
        1, vm, "agent", "a", tenant, incarnation, b""
    )


class Recorder:
    def __init__(self) -> None:
        self.sent = []

    def send(self, peer, item) -> None:
        self.sent.append((peer, item))


class PeerResidentsTest(unittest.TestCase):
    """Guard against stale holders: lost, leaving or restarted agents."""

    def setUp(self) -> None:
        self.view = peer_residents.PeerResidents("vm-1")
        self.view.on_peer_up("vm-2", hello("vm-2"))
        self.report_residents("vm-2", 1)

    def report_residents(self, vm: str, incarnation: int) -> None:
        item = messages_state.Residents(incarnation, 1, ["m"], [], [], [])
        self.view.on_message(vm, item)

    def test_leaving_holder_does_not_count(self) -> None:
        """Counting a leaving holder could evict the last remaining copy."""
        self.assertEqual(["vm-2"], self.view.holders("m"))
        self.view.on_message("vm-2", messages_state.Leaving("vm-2", 1, "x"))
        self.assertEqual([], self.view.holders("m"))

    def test_residents_of_an_earlier_incarnation_are_ignored(self) -> None:
        """A restarted agent does not hold what it reported before."""
        self.view.on_peer_down("vm-2")
        self.view.on_peer_up("vm-2", hello("vm-2", incarnation=2))
        self.report_residents("vm-2", 1)
        self.assertEqual([], self.view.holders("m"))


class TenantSwitchTest(unittest.TestCase):
    """Guard against messages that cross tenants."""

    def test_messages_reach_only_the_unit_of_the_sender(self) -> None:
        """A report in the wrong unit would route requests across tenants."""
        seen = []

        class Unit:
            def __init__(self, name) -> None:
                self.name = name

            def on_message(self, peer, item) -> None:
                seen.append((self.name, peer))

            def on_peer_up(self, peer, item) -> None:
                pass

        switch = tenant_switch.TenantSwitch({"t": Unit("t"), "u": Unit("u")})
        switch.on_peer_up("vm-1", hello("vm-1", "t"))
        switch.on_peer_up("vm-2", hello("vm-2", "u"))
        item = messages_state.Leaving("vm-1", 1, "x")
        switch.on_message("vm-1", item)
        switch.on_message("vm-2", item)
        switch.on_message("vm-3", item)
        self.assertEqual([("t", "vm-1"), ("u", "vm-2")], seen)

    def test_unknown_tenant_is_refused(self) -> None:
        """A request of an unknown tenant must fail, not wait forever."""
        failures = []

        class Listener:
            def on_failure(self, failure) -> None:
                failures.append(failure.code)

        class Request:
            tenant = "v"
            request_id = "r"

        tenant_switch.TenantSwitch({}).submit(Request(), Listener())
        self.assertEqual([result_code.ResultCode.UNKNOWN_TENANT], failures)


class DemandTest(unittest.TestCase):
    """Guard against demand that does not reach the planner."""

    def test_refused_requests_count_for_all_entries(self) -> None:
        """Without refusals, an overloaded model would seem idle."""
        clock = virtual_clock.VirtualClock()
        collector = demand_meter.DemandCollector(clock)
        for _ in range(60):
            clock.advance(1_000)
            collector.on_refused("m", True, 100, 2)
        rate = collector.forecast.rate("m", clock.now_ms())
        self.assertAlmostEqual(2.0, rate, delta=0.3)


class HealthMonitorTest(unittest.TestCase):
    """Guard against a backend server marked down after one failed check."""

    def test_three_failures_in_a_row(self) -> None:
        """A single failed health check must not fail running requests."""
        clock = virtual_clock.VirtualClock()
        answers = [False, False, True, False, False, False]
        events = []

        class Source:
            def check_health(self, callback) -> None:
                if answers:
                    callback(answers.pop(0))

        class Executor:
            def on_backend_up(self) -> None:
                events.append("up")

            def on_backend_down(self, is_crash) -> None:
                events.append("down")

        backend_monitor.HealthMonitor(clock, Source(), Executor()).start()
        clock.advance(10_000)
        self.assertEqual(["up", "down"], events)
