"""Fault schedules over dispatchers, routers and executors."""

from __future__ import annotations

from concurrent import futures
import os
import unittest

from balsamwall.dispatch import caller_request
from tests.request_path import schedule

SCHEDULES = 10_000
BATCH = 250
# Seeds that failed because of a fault that is fixed now.
REGRESSION_SEEDS = {
    250: "a trial claim was relayed indefinitely after the trial had ended",
    2280: "a key of unknown outcome was redispatched until its deadline",
    3213: "an agent started work after its drain bound because of a pause",
    3105: "a key of unknown outcome was redispatched until its deadline",
}


def run_seeds(first, count):
    """Return the number of schedules run and the failures by seed."""
    failures = []
    for seed in range(first, first + count):
        try:
            schedule.Schedule(seed).run()
        except Exception as error:
            failures.append((seed, repr(error)))
    return count, failures


class ScheduleTest(unittest.TestCase):
    """Requirements R3 to R7 under combinations of faults."""

    def test_seeded_schedules(self):
        """Guards against answers and outcomes that a fault order breaks."""
        starts = range(0, SCHEDULES, BATCH)
        workers = min(12, os.cpu_count() or 1)
        total, failures = 0, []
        with futures.ProcessPoolExecutor(workers) as pool:
            batches = [pool.submit(run_seeds, s, BATCH) for s in starts]
            for batch in batches:
                count, failed = batch.result()
                total += count
                failures += failed
        print(f"{total} fault schedules run")
        self.assertEqual([], failures)
        self.assertGreaterEqual(total, SCHEDULES)

    def test_seeds_that_found_faults(self):
        """Guards against regressions of faults found by these seeds."""
        for seed, fault in REGRESSION_SEEDS.items():
            with self.subTest(fault):
                schedule.Schedule(seed).run()

    def test_without_faults_all_are_answered(self):
        """Guards against recovery that loses answers without any fault."""
        for seed in range(20):
            fault_free = schedule.Schedule(seed, fault_count=0)
            fault_free.run()
            for caller in fault_free.callers:
                self.assertIsInstance(
                    caller.outcomes[0], caller_request.AnswerEnd
                )

    def test_one_body_crashes_two_servers_at_most(self):
        """Guards against a repeated crashing body that stops the fleet.

        After two crashes the body must be quarantined everywhere.
        """
        for seed in range(20):
            run = schedule.Schedule(seed, fault_count=0)
            for second in range(2, 9):
                run.clock.call_later(second * 1_000, run.poison)
            run.run()
            crashes = sum(node.backend.crashes for node in run.agents_seen)
            self.assertLessEqual(crashes, 2, f"seed {seed}")
