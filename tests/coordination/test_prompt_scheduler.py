"""Tests of the assignment of prompts to engines."""

from __future__ import annotations

import unittest

from balsamwall.coordination import engine_tracker
from balsamwall.coordination import prompt_scheduler
from balsamwall.timing import virtual_clock
from tests.fixtures import gateway_harness

TOKENS = 2_000


class PromptSchedulerTest(unittest.TestCase):
    """Load pattern: prompts of many entries within the same moment."""

    def setUp(self):
        self.clock = virtual_clock.VirtualClock(start_ms=10_000)
        self.scheduler = prompt_scheduler.PromptScheduler(self.clock)
        engine = gateway_harness.make_engine("m1")
        self.trackers = [
            engine_tracker.EngineTracker(
                gateway_harness.make_record(name, slots=12), engine
            )
            for name in ("e0", "e1", "e2")
        ]

    def assign(self, tokens=TOKENS, loads=None, pending=None, **changes):
        prompt = prompt_scheduler.Prompt(tokens, **{"zone": "z1", **changes})
        return self.scheduler.assign(
            self.trackers, loads or {}, pending or {}, prompt
        )

    def test_simultaneous_prompts_are_spread(self):
        """Guards against entries that all choose the least loaded engine.

        Prompts that meet at one engine pause all streams that run there.
        """
        counts = {}
        for _ in range(6):
            server_id = self.assign()
            counts[server_id] = counts.get(server_id, 0) + 1
        self.assertEqual(counts, {"e0": 2, "e1": 2, "e2": 2})

    def test_engine_with_a_large_prompt_is_avoided(self):
        """Guards against counting prompts instead of their tokens."""
        first = self.assign(tokens=7_000)
        others = {self.assign(tokens=1_000) for _ in range(4)}
        self.assertNotIn(first, others)

    def test_prefilled_prompt_no_longer_counts(self):
        """Guards against an engine that stays avoided while it is idle."""
        self.assertEqual(self.assign(tokens=7_000), "e0")
        self.clock.advance(1_000)
        self.assertEqual(self.assign(), "e0")

    def test_slow_engine_is_avoided(self):
        """Guards against an engine that is slower than expected."""
        self.assertEqual(self.assign(pending={"e0": 9_000}), "e1")

    def test_cached_part_attracts_a_prompt(self):
        """Guards against prefilling the parts of a session again."""
        found = self.assign(cached_at="e2", cached_tokens=1_500)
        self.assertEqual(found, "e2")

    def test_full_engine_is_avoided(self):
        """Guards against a wait for a slot beside an idle engine."""
        self.assertEqual(self.assign(loads={"e0": 12, "e1": 12}), "e2")

    def test_no_holder_gives_no_server(self):
        """Guards against a request that is sent to a removed engine."""
        self.trackers = []
        self.assertEqual(self.assign(), "")

    def test_overloaded_replicas_get_no_prompt(self):
        """Guards against prompts that pass the queues of the entries."""
        pending = dict.fromkeys(["e0", "e1", "e2"], 40_000)
        self.assertEqual(self.assign(pending=pending), "")
