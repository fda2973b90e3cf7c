"""Tests of 30 entries under twice the load that their engines can serve."""

from __future__ import annotations

import functools
import unittest

from balsamwall.gateway import fair_order
from balsamwall.gateway import wait_forecast
from balsamwall.gateway import wait_policy
from balsamwall.timing import virtual_clock
from tests.fixtures import gateway_harness
from tests.fixtures import overload_fleet

URGENT, DEFERRABLE = overload_fleet.URGENT, overload_fleet.DEFERRABLE
# The first of 16 workspaces sends ten times its usual traffic, the last one a
# quarter of that of the others.
LARGEST, SMALLEST = "w0", "w15"
WEIGHTS = {LARGEST: 10.0, SMALLEST: 0.25} | {
    f"w{number}": 1.0 for number in range(1, 15)
}
OVERLOAD = 2
CLASS_SHARES = {URGENT: 0.3, DEFERRABLE: 0.7}
WARM_UP_MS = 8_000
DURATION_MS = 10_000
# One in ten sends goes to the oldest request, whatever its class.
OLDEST_SHARE = 0.1


def rates(kinds):
    """Return requests per second by class and workspace."""
    total = OVERLOAD * overload_fleet.CAPACITY_PER_S
    weights = sum(WEIGHTS.values())
    return {
        (kind, name): total * CLASS_SHARES[kind] * weight / weights
        for kind in kinds
        for name, weight in WEIGHTS.items()
    }


@functools.cache
def run(is_fair, *kinds, has_exchange=True):
    fleet = overload_fleet.OverloadFleet(
        rates(kinds), is_fair, has_exchange=has_exchange
    )
    return fleet.run(WARM_UP_MS, DURATION_MS)


class OverloadTest(unittest.TestCase):
    """Overload is paid by those who cause it, and by deferrable work."""

    def setUp(self):
        self.fair = run(True, URGENT, DEFERRABLE)
        self.plain = run(False, URGENT, DEFERRABLE)
        self.capacity = overload_fleet.CAPACITY_PER_S * DURATION_MS // 1_000

    def test_more_value_is_served_than_by_arrival(self):
        """Guards against an order that serves requests that are late."""
        self.assertGreater(self.fair.value(), self.plain.value())

    def test_urgent_requests_are_not_late_because_of_others(self):
        """Guards against deferrable requests that use the room of urgent."""
        alone = run(True, URGENT)
        on_time = {
            outcomes: outcomes.count(outcomes.on_time, URGENT)
            / outcomes.count(outcomes.sent, URGENT)
            for outcomes in (alone, self.fair)
        }
        least = (1.0 - OLDEST_SHARE) * on_time[alone]
        self.assertGreaterEqual(on_time[self.fair], least)

    def test_deferrable_requests_do_not_starve(self):
        """Guards against urgent requests that take all sends."""
        served = self.fair.count(self.fair.served, DEFERRABLE)
        self.assertGreaterEqual(served, OLDEST_SHARE * self.capacity)

    def test_large_workspace_pays_for_its_excess(self):
        """Guards against deferrable work of a large workspace going first."""
        shares = {
            name: self.fair.served[DEFERRABLE, name]
            / self.fair.sent[DEFERRABLE, name]
            for name in WEIGHTS
        }
        others = sum(shares[name] for name in WEIGHTS if name != LARGEST)
        self.assertLess(shares[LARGEST], others / (len(WEIGHTS) - 1))

    def assert_smallest_served(self, kind):
        share = self.fair.count(self.fair.served, kind) / len(WEIGHTS)
        due = min(self.fair.sent[kind, SMALLEST], share)
        served = self.fair.served[kind, SMALLEST]
        self.assertGreaterEqual(served, (1.0 - OLDEST_SHARE) * due)

    def test_smallest_workspace_gets_its_urgent_share(self):
        """Guards against urgent requests behind those of a large one."""
        self.assert_smallest_served(URGENT)

    def test_smallest_workspace_gets_its_deferrable_share(self):
        """Guards against a small workspace that waits behind a large one."""
        self.assert_smallest_served(DEFERRABLE)

    def test_entries_tell_each_other_what_they_served(self):
        """Guards against counters of the own sends of each entry."""
        alone = run(True, URGENT, DEFERRABLE, has_exchange=False)
        served = {
            outcomes: outcomes.served[DEFERRABLE, SMALLEST]
            for outcomes in (alone, self.fair)
        }
        self.assertGreater(served[self.fair], served[alone])


class RefusalTest(unittest.TestCase):
    """A request that cannot be sent in time is refused at once."""

    def expected_ms(self, own, ahead, entries=1):
        """Return the forecast for a workspace with half of the sends."""
        clock = virtual_clock.VirtualClock()
        harness = gateway_harness.GatewayHarness(clock=clock)
        harness.add_servers("s1", models={"m1": ()}, slots=25)
        forecast = wait_forecast.WaitForecast(clock)  # 10 requests a second
        forecast.on_state({}, {"m1": 1_000})
        return forecast.until_turn_ms(
            "app",
            "m1",
            harness.directory.holders("app", "m1", ""),
            lambda server: None,
            fair_order.Position(100, own, ahead, 0.5, 1.0),
            entries,
        )

    def test_backlog_drains_at_the_share_of_its_workspace(self):
        """Guards against a Retry-After at which the backlog still waits."""
        self.assertEqual(self.expected_ms(own=50, ahead=50), 10_000)

    def test_backlog_of_others_does_not_count(self):
        """Guards against refusals because of another workspace's backlog."""
        self.assertEqual(self.expected_ms(own=0, ahead=0), 0)

    def test_entries_share_the_rate(self):
        """Guards against each entry counting on all engines."""
        wait_ms = self.expected_ms(own=0, ahead=1, entries=30)
        self.assertEqual(wait_ms, 3_000)

    def test_lasting_queue_is_limited_to_the_target(self):
        """Guards against a queue in which each request becomes late."""
        policy = wait_policy.WaitPolicy(None)
        route = overload_fleet.ROUTES[DEFERRABLE]
        half_ms = route.caller_timeout_ms // 2
        for queued_for_ms, limit_ms in (
            (half_ms, half_ms),
            (half_ms + 1, 2_000),
        ):
            for expected_ms in (limit_ms, limit_ms + 1):
                with self.subTest(
                    queued_for_ms=queued_for_ms, expected_ms=expected_ms
                ):
                    self.assertEqual(
                        policy.is_turn_too_late(
                            route, expected_ms, 2_000, queued_for_ms
                        ),
                        expected_ms > limit_ms,
                    )
