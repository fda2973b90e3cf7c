"""Fault schedules over dispatchers, routers and executors."""

from __future__ import annotations

from concurrent import futures
import os
import unittest

from balsamwall.dispatch import caller_request
from tests.request_path import schedule

SCHEDULES = 10_000
BATCH = 250
# Seeds that once found a fault, with the fault.
FOUND = {
    250: "a claim of a trial was relayed for ever after its end",
    2280: "a key of unknown outcome was dispatched again until its deadline",
    3213: "after a pause an agent started work later than its drain allows",
    3105: "a key of unknown outcome was dispatched again until its deadline",
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
    """Guard the requirements R3 to R7 against faults in combination."""

    def test_seeded_schedules(self):
        """A rare order of faults may break an answer or a certificate."""
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
        """A fault that was fixed may come back."""
        for seed, fault in FOUND.items():
            with self.subTest(fault):
                schedule.Schedule(seed).run()

    def test_without_faults_all_are_answered(self):
        """Recovery that starts without a fault would lose answers."""
        for seed in range(20):
            quiet = schedule.Schedule(seed, faults=0)
            quiet.run()
            for caller in quiet.callers:
                self.assertIsInstance(
                    caller.outcomes[0], caller_request.AnswerEnd
                )

    def test_one_body_crashes_two_servers_at_most(self):
        """A caller that repeats a crashing body could stop the fleet."""
        for seed in range(20):
            run = schedule.Schedule(seed, faults=0)
            for second in range(2, 9):
                run.clock.call_later(second * 1_000, run.poison)
            run.run()
            crashes = sum(node.backend.crashes for node in run.agents_seen)
            self.assertLessEqual(crashes, 2, f"seed {seed}")
