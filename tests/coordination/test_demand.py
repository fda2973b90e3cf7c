"""Tests of the demand that the coordinator aggregates."""

from __future__ import annotations

import unittest

from balsamwall.coordination import demand as demand_module
from balsamwall.coordination import messages_fleet
from balsamwall.timing import virtual_clock

REPORT_MS = 200


class DemandTest(unittest.TestCase):
    """Rates are accurate from the first second of a term."""

    def setUp(self):
        self.clock = virtual_clock.VirtualClock(start_ms=50_000)
        self.demand = demand_module.Demand(self.clock)

    def report(self, per_s, duration_ms):
        for _ in range(duration_ms // REPORT_MS):
            self.clock.advance(REPORT_MS)
            arrivals = {"m1": [per_s * REPORT_MS / 1_000, 0]}
            self.demand.on_report(
                "v1", messages_fleet.DemandReport([], [], {}, arrivals, {})
            )
            self.demand.update()

    def test_rate_is_accurate_one_second_after_a_restart(self):
        """Guards against too few replicas after a change of coordinator."""
        self.clock.advance(30_000)
        self.demand.restart()
        self.report(per_s=40, duration_ms=1_000)
        self.assertAlmostEqual(self.demand.rate("m1"), 40, delta=6)

    def test_rate_is_not_corrected_after_the_window(self):
        """Guards against a startup correction that persists."""
        self.report(per_s=40, duration_ms=30_000)
        self.assertAlmostEqual(self.demand.rate("m1"), 40, delta=3)

    def test_restart_discards_the_demand_of_an_earlier_term(self):
        """Guards against stale demand from before another coordinator."""
        self.report(per_s=40, duration_ms=5_000)
        self.demand.restart()
        self.demand.update()
        self.assertEqual(self.demand.rate("m1"), 0)
