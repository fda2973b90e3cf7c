"""Command line of the benchmarks."""

from __future__ import annotations

import argparse
import sys

from bench import attainment
from bench import cost_report
from bench import output_length
from bench import plot
from bench import workload


def main(arguments: list[str]) -> int:
    """Run the selected benchmarks; return 1 if a bound is exceeded."""
    parser = argparse.ArgumentParser(prog="python -m bench")
    parser.add_argument(
        "--check", action="store_true", help="check the regression bounds"
    )
    parser.add_argument(
        "--costs", action="store_true", help="print CPU cost only"
    )
    parser.add_argument(
        "--plot", metavar="FILE", help="only write a chart to FILE"
    )
    parser.add_argument(
        "--deployment", default="kovacevic", choices=workload.DEPLOYMENTS
    )
    parser.add_argument("--trace", default="burst", choices=workload.TRACES)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(arguments)
    if options.plot:
        plot.draw(
            options.plot, options.deployment, options.trace, options.seed
        )
        return 0
    if options.costs:
        for cost in cost_report.measure():
            print(cost.line(), flush=True)
        return 0
    # The growth ratios are measured before the worker processes start, because
    # load on other cores distorts them.
    bounds = cost_report.check_bounds() if options.check else []
    results = attainment.run_all()
    for key, result in results.items():
        print(result.line())
        if key[2] == "balsamwall":
            share = attainment.capacity_share(key[0], key[1], key[3])
            print(
                f"deployment={key[0]} trace={key[1]} seed={key[3]}"
                f" capacity_bound={share:.4f}"
            )
    for length_result in output_length.run_all():
        print(length_result.line())
    if not options.check:
        return 0
    bounds = attainment.check_bounds(results) + bounds
    for bound in bounds:
        for line in bound.lines():
            print(line)
    return 0 if all(bound.is_met for bound in bounds) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
