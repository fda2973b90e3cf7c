"""Faults and their names in the scenarios."""

from __future__ import annotations

from collections.abc import Callable
import copy
import dataclasses

from scenarios.world import backends
from scenarios.world import callers
from scenarios.world import fleet as fleet_module

Fleet = fleet_module.Fleet
# Starts the fault and returns the function that ends it, if any.
StartFault = Callable[[Fleet, str], Callable[[], None] | None]

_REGISTRY: dict[str, tuple[StartFault, str]] = {}


def fault(name: str, affects: str) -> Callable[[StartFault], StartFault]:
    """Register a fault; affects is "vm", "platform" or "nothing"."""

    def add(start: StartFault) -> StartFault:
        _REGISTRY[name] = (start, affects)
        return start

    return add


def names() -> list[str]:
    """Return the names of all faults, sorted."""
    return sorted(_REGISTRY)


def vms_of(fleet: Fleet, target: str) -> list[str]:
    """Return the VMs of a list of VMs and availability zones.

    Raises AssertionError if none matches.
    """
    found = []
    for word in target.replace(",", " ").split():
        for vm, daemon in fleet.daemons.items():
            if word in (vm, daemon.zone):
                found.append(vm)
    if not found:
        raise AssertionError(f"no VM or availability zone matches {target!r}")
    return found


def schedule(
    fleet: Fleet, at_ms: int, name: str, target: str, for_ms: int | None
) -> None:
    """Start a fault at a time of the scenario and end it after for_ms."""
    if name not in _REGISTRY:
        raise AssertionError(f"unknown fault {name!r}; known: {names()}")
    delay_ms = at_ms - fleet.now_ms
    fleet.clock.call_later(
        max(0, delay_ms), _start, fleet, name, target, for_ms
    )


def _start(fleet: Fleet, name: str, target: str, for_ms: int | None) -> None:
    start, affects = _REGISTRY[name]
    fleet.trace.record(f"fault: {name} {target}".rstrip())
    record = None
    if affects == "vm":
        record = fleet.invariants.begin_fault(name, vms_of(fleet, target))
    elif affects == "platform":
        record = fleet.invariants.begin_fault(name)
    end = start(fleet, target)
    if end is None:
        if record is not None:
            fleet.invariants.end_fault(record)
    elif for_ms is not None:
        fleet.clock.call_later(for_ms, _end, fleet, name, target, end, record)


def _end(fleet, name, target, end, record) -> None:
    fleet.trace.record(f"end of fault: {name} {target}".rstrip())
    end()
    if record is not None:
        fleet.invariants.end_fault(record)


@fault("kill", "vm")
def kill(fleet, target):
    vms = vms_of(fleet, target)
    for vm in vms:
        fleet.daemons[vm].stop("is killed")

    def restart():
        for vm in vms:
            fleet.daemons[vm].start()

    return restart


@fault("pause", "vm")
def pause(fleet, target):
    vms = vms_of(fleet, target)
    for vm in vms:
        fleet.daemons[vm].pause()

    def resume():
        for vm in vms:
            fleet.daemons[vm].resume()

    return resume


@fault("lose the VM", "vm")
def lose_vm(fleet, target):
    for vm in vms_of(fleet, target):
        fleet.lose_vm(vm)


@fault("lose the availability zone", "vm")
def lose_zone(fleet, target):
    lose_vm(fleet, target)


@fault("silence the streams of", "vm")
def silence(fleet, target):
    for vm in vms_of(fleet, target):
        fleet.network.silence(vm)


@fault("cut off", "vm")
def cut(fleet, target):
    vms = vms_of(fleet, target)
    fleet.network.cut(vms)
    return lambda: fleet.network.heal(vms)


@fault("key-value outage", "platform")
def key_value_outage(fleet, target):
    fleet.key_value.is_down = True
    return fleet.key_value.end_outage


@fault("slow key-value service", "platform")
def slow_key_value(fleet, target):
    before_ms, fleet.key_value.latency_ms = fleet.key_value.latency_ms, 800

    def end():
        fleet.key_value.latency_ms = before_ms

    return end


@fault("lose answers of key-value writes", "platform")
def lose_answers(fleet, target):
    fleet.key_value.responses_to_lose += int(target)


@fault("weight store outage", "platform")
def weight_store_outage(fleet, target):
    fleet.weights.is_down = True

    def end():
        fleet.weights.is_down = False

    return end


def _set_engine_attribute(fleet, target, name, value):
    engines = [fleet.agents[vm].backend.server for vm in vms_of(fleet, target)]
    before = [getattr(engine, name) for engine in engines]
    for engine in engines:
        setattr(engine, name, value)

    def end():
        for engine, old in zip(engines, before, strict=True):
            setattr(engine, name, old)

    return end


@fault("lose half of the orders to", "vm")
def lose_orders(fleet, target):
    return _set_engine_attribute(fleet, target, "order_loss_rate", 0.5)


@fault("lose answers to orders of", "vm")
def lose_order_answers(fleet, target):
    return _set_engine_attribute(
        fleet, target, "order_response_loss_rate", 0.5
    )


@fault("delay orders to", "vm")
def delay_orders(fleet, target):
    return _set_engine_attribute(fleet, target, "order_delay_ms", 6_000)


@fault("crash the backend server of", "vm")
def crash(fleet, target):
    for vm in vms_of(fleet, target):
        fleet.agents[vm].backend.crash()


@fault("lose one answer of the service of", "vm")
def lose_service_answer(fleet, target):
    for vm in vms_of(fleet, target):
        backend = fleet.agents[vm].backend
        assert isinstance(backend, backends.Service)
        backend.responses_to_lose += 1


@fault("drain by signal", "nothing")
def drain_by_signal(fleet, target):
    fleet.start_drain(target, "signal")


@fault("drain by operator", "nothing")
def drain_by_operator(fleet, target):
    fleet.start_drain(target, "operator")


@fault("drain by VM list", "nothing")
def drain_by_list(fleet, target):
    fleet.start_drain(target, "VM list")


def _changed_plan(fleet, target):
    """Return a plan with changes such as "quote-* version 2"."""
    plan = copy.deepcopy(fleet.plan)
    for change in target.split(";"):
        section, key, value = change.split(maxsplit=2)
        rows = [*plan.models, *plan.adapters, *plan.workspaces]
        for row in rows:
            if section in row.values():
                row[key] = value
                break
        else:
            raise AssertionError(f"no model, adapter or workspace {section!r}")
    return plan


@fault("operator changes", "nothing")
def change(fleet, target):
    plan = _changed_plan(fleet, target)
    fleet.apply(plan, "operator-1", None)
    fleet.plan = plan


@fault("two operators change", "nothing")
def change_concurrently(fleet, target):
    first, second = target.split("|")
    base = fleet.working_entry().replica.revision(fleet.plan.tenant)
    entries = [vm for vm, entry in fleet.entries.items() if entry.is_working]
    for number, words in enumerate((first, second)):
        fleet.apply(
            _changed_plan(fleet, words),
            f"operator-{number + 1}",
            base,
            entries[number % len(entries)],
        )


@fault("operator returns to revision", "nothing")
def rollback(fleet, target):
    fleet.rollback(int(target), "operator-1")


@fault("burst", "nothing")
def burst(fleet, target):
    """Send a burst such as "60 to quote-1 by venues"."""
    count, _, name, _, workspace = target.split()
    demand = callers.Demand(
        workspace, name, 20, fleet.now_ms, fleet.now_ms + 20 * int(count)
    )
    fleet.callers.schedule(dataclasses.replace(demand))
