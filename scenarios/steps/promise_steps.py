"""Steps that check conditions beyond the permanent invariants."""

from __future__ import annotations

from behave import then
from behave import use_step_matcher

from scenarios.world import callers
from scenarios.world import duration

use_step_matcher("parse")


def _explain(fleet, text: str) -> str:
    return f"{text}\n{fleet.trace.report()}"


def _settle(fleet) -> None:
    for _ in range(60):
        if not fleet.callers.is_open():
            return
        fleet.clock.advance(1_000)


@then("all promises hold")
def check_promises(context):
    _settle(context.fleet)
    context.fleet.invariants.finish()
    trace = context.fleet.trace
    assert not trace.violations, trace.report()


@then("at least {percent:d}% of the {kind} requests are answered")
def check_answered(context, percent, kind):
    fleet = context.fleet
    _settle(fleet)
    found = fleet.callers.counts("" if kind == "model" else kind)
    total = sum(found.values())
    assert total, "no request was sent"
    share = 100 * found.get("OK", 0) / total
    assert share >= percent, f"{share:.1f}% of {total}: {found}"


@then("every hold is answered")
def check_holds(context):
    fleet = context.fleet
    _settle(fleet)
    open_holds = [h for h in fleet.callers.holds if not h.is_answered]
    assert fleet.callers.holds, "no hold was sent"
    lines = [
        callers.describe(hold.sends[-1]) + f" after {len(hold.sends)} sends"
        for hold in open_holds[:5]
    ]
    assert not open_holds, "\n".join([f"{len(open_holds)} open", *lines])


@then("at least {percent:d}% of the holds are answered")
def check_share_of_holds(context, percent):
    fleet = context.fleet
    _settle(fleet)
    total = len(fleet.callers.holds)
    found = sum(hold.is_answered for hold in fleet.callers.holds)
    assert total, "no hold was sent"
    assert 100 * found >= percent * total, f"{found} of {total}"


@then('"{vm}" has drained within {length} of the mark')
def check_drained(context, vm, length):
    found = [d for d in context.fleet.invariants.drains if d.vm == vm]
    assert found, f"{vm} was never marked as leaving"
    assert found[-1].end_ms is not None, f"{vm} has not drained"
    took_ms = found[-1].end_ms - found[-1].start_ms
    assert took_ms <= duration.parse(length), f"drain took {took_ms} ms"


@then("{count:d} of the changes are accepted and {refused:d} get a conflict")
def check_changes(context, count, refused):
    codes = [code for code, _ in context.fleet.invariants.change_results]
    # The first change is the initial configuration.
    accepted = codes[1:].count("accepted")
    conflicts = codes[1:].count("configuration_conflict")
    assert (accepted, conflicts) == (count, refused), codes


@then("revision {number:d} is in force everywhere")
def check_revision(context, number):
    fleet = context.fleet
    found = {
        vm: daemon.replica.revision(fleet.plan.tenant)
        for vm, daemon in fleet.daemons.items()
        if daemon.is_working
    }
    wrong = {vm: value for vm, value in found.items() if value != number}
    assert not wrong, wrong


@then('the version of "{name}" is {version} wherever it is resident')
def check_version(context, name, version):
    fleet = context.fleet
    found = {
        vm: sorted(
            held.version
            for held in agent.backend.core.orders.residents.values()
            if held.name == name
        )
        for vm, agent in fleet.engines.items()
        if agent.is_working
    }
    wrong = {vm: v for vm, v in found.items() if v and v != [version]}
    assert not wrong, wrong
    assert any(found.values()), f"{name} is not resident"


@then("the content that crashes engines stops no more than {count:d} of them")
def check_crashes(context, count):
    boots = {
        vm: agent.backend.core.boot - 1
        for vm, agent in context.fleet.engines.items()
    }
    assert sum(boots.values()) <= count, boots


@then("everything is resident again")
def check_all_resident(context):
    invariants = context.fleet.invariants
    missing = [
        n for n in invariants.configured() if not invariants.vms_serving(n)
    ]
    assert not missing, sorted(missing)


@then('"{entry}" has no open request')
def check_no_open(context, entry):
    found = [
        item.label
        for item in context.fleet.callers.requests
        if item.entry.vm == entry and not item.is_finished
    ]
    assert not found, found
