"""Steps that let faults happen and time pass."""

from __future__ import annotations

from behave import use_step_matcher
from behave import when

from scenarios.world import duration
from scenarios.world import faults

use_step_matcher("parse")


@when("these events happen")
def schedule_events(context):
    for row in context.table:
        for_text = row.get("for", "") or ""
        faults.schedule(
            context.fleet,
            duration.parse(row["at"]),
            row["event"],
            row.get("on", "") or "",
            duration.parse(for_text) if for_text.strip("- ") else None,
        )


@when('"{event}" happens on "{target}" at {at} for {length}')
def schedule_event(context, event, target, at, length):
    faults.schedule(
        context.fleet,
        duration.parse(at),
        event,
        target.strip("-"),
        duration.parse(length) if length != "ever" else None,
    )


@when("{length} pass")
def pass_time(context, length):
    context.fleet.clock.advance(duration.parse(length))
