"""Set-up of each scenario and the check of all invariants after it."""

from __future__ import annotations

import os
import sys

from behave.reporter import summary

if os.environ.get("PYTHONHASHSEED") != "0":
    # The iteration order of sets of strings must be the same in every run.
    os.environ["PYTHONHASHSEED"] = "0"
    os.execv(sys.executable, [sys.executable, "-m", "behave", *sys.argv[1:]])

from scenarios.world import fleet as fleet_module

# Time limit for open requests after the last step, which covers deadlines,
# resends and loads.
SETTLE_STEP_MS = 1_000
SETTLE_LIMIT_MS = 60_000


def before_all(context):
    """Hide durations, so that the output is the same in every run."""
    summary.AbstractSummaryReporter.show_duration = False


def before_scenario(context, scenario):
    """Start with an empty plan and no fleet."""
    context.plan = fleet_module.Plan()
    context.scenario_name = scenario.name
    context.fleet = None


def after_scenario(context, scenario):
    """Wait for all requests to finish and check every invariant."""
    fleet = context.fleet
    if fleet is None:
        return
    try:
        if scenario.status.name == "failed":
            if os.environ.get("SCENARIO_TRACE"):
                fleet.print_summary()
            print(fleet.trace.report())
            return
        for _ in range(SETTLE_LIMIT_MS // SETTLE_STEP_MS):
            if not fleet.callers.is_open():
                break
            fleet.clock.advance(SETTLE_STEP_MS)
        fleet.invariants.finish()
        if os.environ.get("SCENARIO_TRACE"):
            fleet.print_summary()
        assert not fleet.trace.violations, fleet.trace.report()
    finally:
        fleet.close()
