"""Tests of the simulation behind the benchmark figures."""

from __future__ import annotations

import dataclasses
import unittest

from balsamwall.backend import backend_server
from balsamwall.timing import virtual_clock
from bench import attainment
from bench import baselines
from bench import fake_engine
from bench import output_length
from bench import product_fleet
from bench import score
from bench import weight_store
from bench import workload


def short_workload(trace="burst", end_ms=8_000):
    work = workload.build(workload.DEPLOYMENTS["tampere"], trace, 1)
    requests = tuple(r for r in work.requests if r.arrival_ms < end_ms)
    return dataclasses.replace(work, requests=requests)


class WorkloadTest(unittest.TestCase):
    def test_same_seed_gives_same_requests(self):
        """Guard against traces that differ between runs."""
        first, second = short_workload(), short_workload()
        self.assertEqual(first, second)

    def test_bursts_are_tenfold(self):
        """Guard against bursts without requests in the trace."""
        work = workload.build(workload.DEPLOYMENTS["tampere"], "burst", 1)
        burst = work.bursts[0]
        name = burst.names[0]
        spans = [
            (b.start_ms, b.end_ms) for b in work.bursts if name in b.names
        ]
        times = [r.arrival_ms for r in work.requests if r.target == name]
        inside = sum(any(a <= t < b for a, b in spans) for t in times)
        inside_ms = sum(min(b, workload.TRACE_MS) - a for a, b in spans)
        outside_ms = workload.TRACE_MS - inside_ms
        ratio = inside / inside_ms * outside_ms / (len(times) - inside)
        self.assertGreater(ratio, 7)
        self.assertLess(ratio, 14)

    def test_first_placement_fits_and_is_complete(self):
        """Guard against a placement that exceeds memory or omits a name."""
        for deployment in workload.DEPLOYMENTS.values():
            work = workload.build(deployment, "calm", 1)
            sizes = workload.sizes_of(work.configuration)
            held = workload.build_placement(work, dict.fromkeys(sizes, 1.0))
            limit = workload.CAPACITY_BYTES - workload.KV_FLOOR_BYTES
            for names in held:
                self.assertLessEqual(sum(sizes[n] for n in names), limit)
            self.assertEqual({n for names in held for n in names}, set(sizes))


class EngineTest(unittest.TestCase):
    def test_step_grows_with_batch_and_prefill(self):
        """Guard against a step time that ignores batch size and prefill."""
        clock = virtual_clock.VirtualClock()
        store = weight_store.WeightStore(clock, 1.0, 1)
        engine = fake_engine.FakeEngine(clock, store, lambda: None)
        request = workload.Request("r", 0, "m", "m", True, 512, 3, 0)
        outcome = score.Outcome(clock, request, 0)

        class Listener:
            def on_data(self, offset, data):
                outcome.on_chunk(data)

            def on_end(self, *facts):
                outcome.on_end()

        engine.start(
            backend_server.BackendRequest(
                "r", "model", "m", "", {}, b"3", True, True, 512, 9, "", 9
            ),
            Listener(),
        )
        clock.advance(37)
        self.assertEqual(engine.sequences[0].remaining_tokens, 3)
        clock.advance(1 + 12 + 12)
        self.assertEqual(engine.batch_size, 0)
        self.assertEqual(outcome.reason, "on time")

    def test_store_keeps_rate_and_concurrency(self):
        """Guard against loads beyond the limits of the weight store."""
        clock = virtual_clock.VirtualClock()
        store = weight_store.WeightStore(clock, 2.0, 2)
        ends = []
        for _ in range(3):
            store.load(0, lambda: ends.append(clock.now_ms()))
        clock.advance(10_000)
        self.assertEqual(ends, [1_500, 2_000, 3_000])


class ScoreTest(unittest.TestCase):
    def outcome_reason(self, first_ms, gap_ms):
        clock = virtual_clock.VirtualClock()
        request = workload.Request("r", 0, "m", "m", True, 1, 20, 0)
        outcome = score.Outcome(clock, request, 0)
        clock.advance(first_ms)
        outcome.on_chunk(b"a")
        for _ in range(20):
            clock.advance(gap_ms)
            outcome.on_chunk(b"a")
        outcome.on_end()
        return outcome.reason

    def test_limits_of_an_urgent_request(self):
        """Guard against late responses that are counted as on time."""
        self.assertEqual(self.outcome_reason(510, 69), "on time")
        self.assertEqual(self.outcome_reason(511, 1), "first token late")
        self.assertEqual(self.outcome_reason(1, 70), "slow tokens")
        self.assertEqual(self.outcome_reason(1, 1_000), "late")


class FleetTest(unittest.TestCase):
    def test_every_policy_answers_light_load(self):
        """Guard against a simulated fleet that drops requests."""
        work = short_workload("calm", 4_000)
        for fleet in (baselines.StaticRandom, product_fleet.ProductFleet):
            result = fleet(work).run()
            self.assertEqual(result.requests, len(work.requests))
            self.assertGreater(result.share, 0.95, result.line())
            self.assertEqual(result.moves, 0)

    def test_same_run_gives_same_line(self):
        """Guard against results that depend on hash order or real time."""
        work = short_workload("calm", 2_000)
        lines = {
            product_fleet.ProductFleet(work).run().line() for _ in range(2)
        }
        self.assertEqual(len(lines), 1)


class BoundTest(unittest.TestCase):
    def result(self, policy, attained, moves):
        return score.RunResult(
            "tampere", "burst", policy, 1, 6, 100, attained, moves
        )

    def test_worst_seed_breaks_a_bound(self):
        """Guard against a mean over seeds that hides a bad run."""
        results = {}
        for key in attainment.all_keys():
            attained = 96 if key[2] == "balsamwall" else 100
            if key[2] in attainment.BASELINES:
                attained = 70
            if key == ("tampere", "calm", "balsamwall", 3):
                attained = 94
            results[key] = self.result(key[2], attained, 0)
        broken = [
            bound.name
            for bound in attainment.check_bounds(results)
            if not bound.is_met
        ]
        self.assertEqual(broken, ["clairvoyant-share-tampere-calm"])

    def test_moves_are_bounded(self):
        """Guard against a policy that gains attainment by excess loads."""
        results = {
            key: self.result(key[2], 50, {"balsamwall": 7}.get(key[2], 5))
            for key in attainment.all_keys()
        }
        met = {b.name: b.is_met for b in attainment.check_bounds(results)}
        self.assertFalse(met["clairvoyant-moves-tampere-fault"])
        self.assertFalse(met["on-demand-moves-tampere-fault"])


class OutputLengthTest(unittest.TestCase):
    def test_misprediction_preempts_and_still_ends(self):
        """Guard against requests that are lost after a preemption."""
        preemptions = 0
        for seed in output_length.SEEDS:
            run = output_length.Simulation("running-quantile", 1_024, seed)
            preemptions += run.run().preemptions
            started = [i for i in run._requests if i.first_token_ms >= 0]
            self.assertTrue(
                all(i.generated_tokens == i.output_tokens for i in started)
            )
        self.assertGreater(preemptions, 0)
