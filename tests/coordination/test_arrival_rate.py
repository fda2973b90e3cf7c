"""Tests of the arrival rate of a model while demand shifts."""

from __future__ import annotations

import unittest

from balsamwall.coordination import arrival_rate

REPORT_MS = 200
# Time after which both averages are full.
COUNTED_MS = 60_000


class ArrivalRateTest(unittest.TestCase):
    """Load pattern: demand moves from one busy model to another."""

    def setUp(self):
        self.rate = arrival_rate.ArrivalRate()

    def receive(self, per_s, duration_ms):
        for _ in range(duration_ms // REPORT_MS):
            self.rate.decay(REPORT_MS)
            self.rate.add(per_s * REPORT_MS / 1_000, per_s * 100)
        return self.rate.per_s(COUNTED_MS)

    def test_rising_demand_is_seen_within_a_second(self):
        """Guards against replicas that are planned seconds after a shift."""
        self.assertGreater(self.receive(30, 1_000), 12)

    def test_falling_demand_is_seen_within_a_second(self):
        """Guards against engines that keep a model nobody asks for."""
        self.receive(30, 15_000)
        self.assertLess(self.receive(0, 1_200), 15)

    def test_pause_between_rare_requests_is_no_change(self):
        """Guards against the eviction of a rare model after each request."""
        for _ in range(8):
            self.receive(2.5, 400)
            rate = self.receive(0, 1_600)
        self.assertGreater(rate, 0.25)

    def test_mean_prompt_is_that_of_the_arrivals(self):
        """Guards against prefill work that ignores the size of prompts."""
        self.receive(30, 15_000)
        self.assertAlmostEqual(self.rate.mean_tokens, 500, delta=1)
