"""Seeded fault schedules of orders, evictions, drains and versions."""

from __future__ import annotations

import concurrent.futures
import os
import unittest

from tests.order_schedules import fleet

SCHEDULES = 10_000
BATCH = 250
MAX_PROCESSES = 8

# Each seed fails when the rule named beside it is removed.
REGRESSION_SEEDS = {
    218: "a charge stays while a repeated load may arrive",
    145: "a handover includes copies that are still loading",
    50: "a handover waits for the first listing",
    265: "an empty engine is announced after a restart",
    63: "a restarted agent waits before it orders without fencing",
    371: "memory is reserved for a load of the earlier incarnation",
    184: "a restarted agent raises the fence before it orders",
    92: "a grant is issued after a new read of the engine's listing",
    920: "an order without an answer may take effect until its delay ends",
    223: "memory is released only after a listing without the copy",
    6: "an unload waits for running requests",
    3: "memory is charged in full before a load",
}


def run_batch(first: int) -> list[tuple[int, object]]:
    """Run a batch of seeds; return each failing one with a violation."""
    found = []
    for seed in range(first, first + BATCH):
        violations = fleet.Fleet(seed).run()
        if violations:
            found.append((seed, violations[0]))
    return found


class OrderSchedulesTest(unittest.TestCase):
    """Guard R1 and R2 against lost, late and repeated orders."""

    def test_seeded_schedules(self) -> None:
        """Memory overcommitted, a last copy unloaded, a copy not reloaded."""
        processes = min(MAX_PROCESSES, os.cpu_count() or 1)
        with concurrent.futures.ProcessPoolExecutor(processes) as pool:
            starts = range(0, SCHEDULES, BATCH)
            results = list(pool.map(run_batch, starts))
        print(f"{len(results) * BATCH} order schedules ran")
        found = [item for result in results for item in result]
        self.assertEqual([], found)

    def test_regression_seeds(self) -> None:
        """Each schedule breaks if one rule is missing."""
        for seed, rule in REGRESSION_SEEDS.items():
            with self.subTest(seed=seed, rule=rule):
                self.assertEqual([], fleet.Fleet(seed).run())
