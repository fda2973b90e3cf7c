"""Tests of the demand that the holder of the orders knows."""

from __future__ import annotations

import unittest

from balsamwall.coordination import demand as demand_module
from balsamwall.coordination import messages_fleet
from balsamwall.timing import virtual_clock

REPORT_MS = 200


class DemandTest(unittest.TestCase):
    """Rates are right from the first second on."""

    def setUp(self):
        self.clock = virtual_clock.VirtualClock(start_ms=50_000)
        self.demand = demand_module.Demand(self.clock)

    def report(self, per_s, duration_ms):
        for _ in range(duration_ms // REPORT_MS):
            self.clock.advance(REPORT_MS)
            arrivals = {"m1": [per_s * REPORT_MS / 1_000, 0]}
            self.demand.on_report(
                "v1", messages_fleet.DemandReport([], [], {}, arrivals)
            )
            self.demand.update()

    def test_new_holder_knows_the_rate_after_a_second(self):
        """Guards against too few copies after a holder was lost."""
        self.clock.advance(30_000)
        self.demand.restart()
        self.report(per_s=40, duration_ms=1_000)
        self.assertAlmostEqual(self.demand.rate("m1"), 40, delta=6)

    def test_long_known_rate_is_not_scaled(self):
        """Guards against a rate that is counted twice."""
        self.report(per_s=40, duration_ms=30_000)
        self.assertAlmostEqual(self.demand.rate("m1"), 40, delta=3)

    def test_restart_forgets_what_an_earlier_term_saw(self):
        """Guards against demand of the time before another holder."""
        self.report(per_s=40, duration_ms=5_000)
        self.demand.restart()
        self.demand.update()
        self.assertEqual(self.demand.rate("m1"), 0)
