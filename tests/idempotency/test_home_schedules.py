"""Random fault schedules of key homes."""

from __future__ import annotations

import concurrent.futures
import unittest

from tests.idempotency import home_group_harness

SCHEDULES = 10_000


def run_one(seed: int) -> tuple[int, list[str], dict[str, int], int]:
    """Run one schedule; return seed, violations, codes and run count."""
    group = home_group_harness.run_schedule(seed)
    runs = len(group.executions)
    return seed, group.violations, group.codes, runs


class HomeScheduleTest(unittest.TestCase):
    """Guard against keys that run twice."""

    def test_no_key_runs_twice(self) -> None:
        """Random restarts, joins, leaves and losses must not repeat a key."""
        codes: dict[str, int] = {}
        total_runs = 0
        with concurrent.futures.ProcessPoolExecutor(6) as pool:
            outcomes = pool.map(run_one, range(SCHEDULES), chunksize=50)
            for seed, violations, seen, runs in outcomes:
                self.assertEqual([], violations, f"seed {seed}")
                total_runs += runs
                for name, count in seen.items():
                    codes[name] = codes.get(name, 0) + count
        print(
            f"{SCHEDULES} key-home schedules, {total_runs} keys ran: {codes}"
        )
        self.assertGreater(total_runs, 10 * SCHEDULES)
        self.assertGreater(codes["KEY_RECORD_INCOMPLETE"], 0)
        self.assertGreater(codes["NOT_HOME"], 0)

    def test_restarted_member_leaves_at_once(self) -> None:
        """A member that leaves right after a restart must report lost records.

        If it leaves before the restart is written to the map, the
        successors take its empty transfer for a complete one.
        """
        group = home_group_harness.run_schedule(940)
        self.assertEqual([], group.violations)
