"""Metrics gauges of agent and entry units."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.agent import agent_parts
    from balsamwall.composition import engine_unit
    from balsamwall.composition import entry_unit
    from balsamwall.composition import service_unit
    from balsamwall.metrics import metrics as metrics_module


def watch_agents(
    metrics: metrics_module.Metrics,
    units: dict[str, engine_unit.EngineUnit | service_unit.ServiceUnit],
) -> None:
    """Add the gauges of the units of an agent, one series per unit."""
    for field, description in (
        ("running", "Attempts that run at the backend server"),
        ("waiting_urgent", "Urgent attempts in the admission queue"),
        ("waiting_deferrable", "Deferrable attempts in the admission queue"),
    ):
        metrics.add_labelled_gauge(
            field,
            description,
            "unit",
            {name: _load_reader(unit, field) for name, unit in units.items()},
        )
    metrics.add_labelled_gauge(
        "backend_down",
        "1 while the backend server does not answer",
        "unit",
        {name: _down_reader(unit) for name, unit in units.items()},
    )
    engines = {
        name: unit for name, unit in units.items() if unit.memory is not None
    }
    for attribute, description in (
        ("committed_bytes", "Committed memory of the accelerators"),
        ("capacity_bytes", "Capacity of the accelerators"),
    ):
        metrics.add_labelled_gauge(
            attribute,
            description,
            "unit",
            {
                name: _memory_reader(unit, attribute)
                for name, unit in engines.items()
            },
        )
    metrics.add_labelled_gauge(
        "residents",
        "Models and adapters that are ready",
        "unit",
        {name: _residents_reader(unit) for name, unit in engines.items()},
    )


def watch_entry(
    metrics: metrics_module.Metrics,
    units: dict[str, entry_unit.EntryUnit],
) -> None:
    """Add the gauges of an entry, one series per tenant."""
    metrics.add_labelled_gauge(
        "names_without_replica",
        "Configured models and adapters without a ready replica",
        "tenant",
        {name: _missing_replicas_reader(unit) for name, unit in units.items()},
    )
    metrics.add_labelled_gauge(
        "quarantined_fingerprints",
        "Request fingerprints that are refused",
        "tenant",
        {name: _quarantined_reader(unit) for name, unit in units.items()},
    )


def _load_reader(
    unit: engine_unit.EngineUnit | service_unit.ServiceUnit, field: str
) -> Callable[[], float]:
    def read() -> float:
        counts: agent_parts.LoadCounts = unit.load_source.load_counts()
        return float(getattr(counts, field))

    return read


def _down_reader(
    unit: engine_unit.EngineUnit | service_unit.ServiceUnit,
) -> Callable[[], float]:
    return lambda: float(unit.is_down)


def _memory_reader(
    unit: engine_unit.EngineUnit | service_unit.ServiceUnit, attribute: str
) -> Callable[[], float]:
    return lambda: float(getattr(unit.memory, attribute))


def _residents_reader(
    unit: engine_unit.EngineUnit | service_unit.ServiceUnit,
) -> Callable[[], float]:
    def read() -> float:
        names = unit.resident_names()
        return float(len(names.models) + len(names.adapters))

    return read


def _missing_replicas_reader(
    unit: entry_unit.EntryUnit,
) -> Callable[[], float]:
    return lambda: float(len(unit.names_without_replica()))


def _quarantined_reader(unit: entry_unit.EntryUnit) -> Callable[[], float]:
    return lambda: float(
        sum(
            judgement.action == "quarantine"
            for judgement in unit.crash.active_judgements()
        )
    )
