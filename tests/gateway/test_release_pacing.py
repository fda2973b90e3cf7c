"""Tests of the release of requests that waited for one model."""

from __future__ import annotations

import random
import unittest

from balsamwall.gateway import release_pacing
from balsamwall.gateway import residency_waits
from balsamwall.timing import virtual_clock
from tests.fixtures import gateway_harness

ENTRIES = 10


class FakeWaiter:
    """Waiting request that records the delay of its release."""

    def __init__(self, priority):
        self.priority = priority
        self.delay_ms = None

    def on_resident(self, delay_ms):
        self.delay_ms = delay_ms


class ReleasePacingTest(unittest.TestCase):
    """Load pattern: many entries hold requests while a model loads."""

    def pacing(self, seed):
        return release_pacing.ReleasePacing(random.Random(seed))

    def test_requests_of_all_entries_are_spread(self):
        """Guards against prompts that reach a loaded model together.

        Streams of other models at its engine would pause meanwhile.
        """
        delays_ms = sorted(
            self.pacing(seed).delays_ms(1, ENTRIES)[0]
            for seed in range(ENTRIES)
        )
        spacing_ms = release_pacing.PROMPT_SPACING_MS
        self.assertGreater(delays_ms[-1], 4 * spacing_ms)
        self.assertLessEqual(delays_ms[-1], ENTRIES * spacing_ms)

    def test_single_request_is_sent_at_once(self):
        """Guards against a delay that spares no stream."""
        self.assertEqual(self.pacing(1).delays_ms(1, 1), [0])

    def test_long_backlog_is_released_within_a_bound(self):
        """Guards against callers that leave while their model is idle."""
        delays_ms = self.pacing(1).delays_ms(200, 200)
        self.assertLessEqual(delays_ms[-1], release_pacing.MAX_SPREAD_MS)

    def test_urgent_requests_are_released_first(self):
        """Guards against urgent requests behind deferrable ones."""
        clock = virtual_clock.VirtualClock()
        waits = residency_waits.ResidencyWaits(
            clock, lambda wanted: None, self.pacing(1)
        )
        priorities = ((2, 0), (0, 3), (1, 1), (1, 0))
        waiters = [FakeWaiter(item) for item in priorities]
        wanted = residency_waits.WantedModel("app", "m1", "")
        for waiter in waiters:
            waits.add(wanted, waiter)
        waits.set_fleet_counts({"m1": ENTRIES})
        harness = gateway_harness.GatewayHarness(gateway_harness.make_route())
        harness.add_servers("s1", models={"m1": ()})
        waits.on_server_changed(harness.directory.get("s1"))
        waiters.sort(key=lambda waiter: waiter.priority)
        delays_ms = [waiter.delay_ms for waiter in waiters]
        self.assertEqual(delays_ms, sorted(delays_ms))
