"""Command line of the system benchmarks; prints one row per figure."""

from __future__ import annotations

import sys

from bench.system import fleet_slopes
from bench.system import running_system
from bench.system import table_slopes

PARTS = {
    "tables": table_slopes.measure,
    "fleet": fleet_slopes.measure,
    "traffic": running_system.measure_traffic,
    "changes": running_system.measure_changes,
    "rest": running_system.measure_idle,
}


def main() -> int:
    """Run the parts named in the arguments, or all; return the exit status."""
    names = sys.argv[1:] or list(PARTS)
    unknown = [name for name in names if name not in PARTS]
    if unknown:
        print(f"unknown: {unknown}, allowed: {', '.join(PARTS)}")
        return 2
    for name in names:
        print(f"## {name}", flush=True)
        PARTS[name](_report)
    return 0


def _report(what: str, value: float, unit: str) -> None:
    print(f"{what:<60} {value:>14,.3f} {unit}", flush=True)


if __name__ == "__main__":
    sys.exit(main())
