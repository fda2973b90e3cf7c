"""Short soak runs with fixed seeds and with seeds that once failed."""

from __future__ import annotations

import json
import subprocess
import sys
import unittest

FAULTS_S = 3
LIMIT_S = 90
# Seeds that once caused violations, each with the cause.
REGRESSIONS: dict[int, str] = {
    1: "one crash with equal requests counted as several and rejected all",
    603: "loss of an entry looked like the end of a response without chunks",
    611: "sound requests held back on the reports that came first",
}
# The first seed has all kinds of faults, the second only planned
# operations.
SEEDS = (2, 5)


class SoakTest(unittest.TestCase):
    """Guard the guarantees of real entries during series of faults."""

    def run_seed(self, seed: int) -> None:
        done = subprocess.run(
            [
                *(sys.executable, "-m", "soak", "one", str(seed)),
                f"--seconds={FAULTS_S}",
            ],
            capture_output=True,
            text=True,
            timeout=LIMIT_S,
            check=True,
        )
        report = json.loads(done.stdout.splitlines()[-1])
        self.assertEqual(report["violations"], [], report["faults"])
        self.assertGreater(report["served"], 0)

    def test_fixed_seeds(self) -> None:
        """Guard against violations caused by overlapping faults."""
        for seed in (*SEEDS, *REGRESSIONS):
            with self.subTest(seed=seed, cause=REGRESSIONS.get(seed)):
                self.run_seed(seed)
