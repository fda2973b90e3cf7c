"""Steps that declare the fleet and the demand of its callers."""

from __future__ import annotations

from behave import given
from behave import use_step_matcher

from scenarios.world import callers
from scenarios.world import duration
from scenarios.world import fleet as fleet_module

use_step_matcher("parse")


def table_rows(context) -> list[dict[str, str]]:
    """Return the rows of the step's table as dictionaries."""
    return [dict(row.items()) for row in context.table]


@given('the fleet of tenant "{tenant}"')
def set_fleet(context, tenant):
    context.plan.tenant = tenant
    context.plan.vms = table_rows(context)


@given("the entries")
def set_entries(context):
    context.plan.entries = table_rows(context)


@given("the models")
def set_models(context):
    context.plan.models = table_rows(context)


@given("the adapters")
def set_adapters(context):
    context.plan.adapters = table_rows(context)


@given("the workspaces")
def set_workspaces(context):
    context.plan.workspaces = table_rows(context)


@given("engines with fencing numbers checked: {answer}")
def set_fencing(context, answer):
    for row in context.plan.vms:
        row["fencing"] = answer


@given("everything is resident")
def settle(context):
    context.fleet = fleet_module.Fleet(context.scenario_name, context.plan)
    context.fleet.settle()


@given("the demand")
def set_demand(context):
    for row in table_rows(context):
        words = row.get("details", "").split(", ")
        context.fleet.callers.schedule(
            callers.Demand(
                workspace=row["workspace"],
                target=row["target"],
                interval_ms=duration.parse(row["every"]),
                from_ms=duration.parse(row["from"]),
                until_ms=duration.parse(row["until"]),
                tokens=int(row.get("tokens", "8")),
                request_class=row.get("class", ""),
                is_streamed="whole" not in words,
                is_repeatable="not repeatable" not in words,
                is_crashing="crashes engines" in words,
                entry=row.get("through", ""),
            )
        )
