"""Steps that schedule faults and advance the virtual time."""

from __future__ import annotations

from behave import use_step_matcher
from behave import when

from scenarios.world import duration
from scenarios.world import faults

use_step_matcher("parse")


def parse_length(text: str) -> int | None:
    """Return the duration of a fault in ms, or None if it has no end."""
    return None if text in ("ever", "-") else duration.parse(text)


@when("these events happen")
def schedule_events(context):
    for row in context.table:
        faults.schedule(
            context.fleet,
            duration.parse(row["at"]),
            row["event"],
            row.get("on", "") or "",
            parse_length(row.get("for", "ever") or "ever"),
        )


@when('"{event}" happens on "{target}" at {at} for {length}')
def schedule_event(context, event, target, at, length):
    faults.schedule(
        context.fleet,
        duration.parse(at),
        event,
        target.strip("-"),
        parse_length(length),
    )


@when("{length} pass")
def pass_time(context, length):
    context.fleet.clock.advance(duration.parse(length))
