"""Progress of a roll-out from what agents report."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from balsamwall.configuration import rollout_planner

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from balsamwall.configuration import configuration_replica
    from balsamwall.configuration import tenant_configuration
    from balsamwall.timing import clock as timing_clock


# Planning takes tens of milliseconds for thousands of models.
CHECK_INTERVAL_MS = 10_000


class StepState(enum.Enum):
    """State of a step."""

    PENDING = "pending"
    RUNNING = "running"
    DONE = "done"


@dataclasses.dataclass(slots=True, frozen=True)
class ResidentSet:
    """Report of one agent; versions hold "name@version" of ready copies."""

    models: frozenset[str] = frozenset()
    adapters: frozenset[str] = frozenset()
    loading: frozenset[str] = frozenset()
    services: frozenset[str] = frozenset()
    versions: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True, frozen=True)
class RolloutView:
    """What the fleet reports: residents and revisions in force by VM."""

    residents: Mapping[str, ResidentSet]
    revisions: Mapping[str, int]


@dataclasses.dataclass(slots=True, frozen=True)
class StepProgress:
    """State of one step and what it waits for."""

    step: rollout_planner.RolloutStep
    state: StepState
    detail: str

    def to_json(self) -> dict[str, object]:
        """Return the fields as plain JSON values."""
        return {
            **self.step.to_json(),
            "state": self.state.value,
            "detail": self.detail,
        }


class _Holders:
    """VMs by what they report, so that each step takes one look-up."""

    __slots__ = ("_by_name", "_by_version", "_loading", "_versioned")

    def __init__(self, residents: Mapping[str, ResidentSet]) -> None:
        self._by_name: dict[str, list[str]] = {}
        self._by_version: dict[str, list[str]] = {}
        self._loading: dict[str, list[str]] = {}
        self._versioned: set[str] = set()
        for vm, report in residents.items():
            if report.versions:
                self._versioned.add(vm)
            for table, names in (
                (self._by_name, report.models | report.adapters),
                (self._by_version, report.versions),
                (self._loading, report.loading),
            ):
                for name in names:
                    table.setdefault(name, []).append(vm)

    def ready(
        self, name: str, version: str, needs_version: bool = False
    ) -> list[str]:
        """Return the VMs that hold a version ready.

        A VM that reports no versions is taken to hold any version of what
        it holds, unless the version must be known.
        """
        vms = list(self._by_version.get(f"{name}@{version}", []))
        if not needs_version:
            vms += [
                vm
                for vm in self._by_name.get(name, [])
                if vm not in self._versioned
            ]
        return vms

    def loading(self, name: str, version: str) -> list[str]:
        """Return the VMs that load a name."""
        return [
            *self._loading.get(name, []),
            *self._loading.get(f"{name}@{version}", []),
        ]


def progress(
    steps: Sequence[rollout_planner.RolloutStep],
    revision: int,
    view: RolloutView,
) -> list[StepProgress]:
    """Return the state of each step; steps are in planned order."""
    holders = _Holders(view.residents)
    behind = [vm for vm, own in view.revisions.items() if own < revision]
    loaded = {
        step.name
        for step in steps
        if step.action is rollout_planner.Action.LOAD
    }
    result: list[StepProgress] = []
    done: set[int] = set()
    for step in steps:
        if step.action is rollout_planner.Action.PARAMETERS:
            item = _parameters(step, behind, len(view.revisions))
        elif step.action is rollout_planner.Action.LOAD:
            item = _load(step, holders)
        else:
            waiting = [n for n in step.depends_on if n not in done]
            item = _unload(step, waiting, step.name in loaded, holders)
        if item.state is StepState.DONE:
            done.add(step.number)
        result.append(item)
    return result


def _parameters(
    step: rollout_planner.RolloutStep, behind: list[str], total: int
) -> StepProgress:
    if not behind:
        return StepProgress(step, StepState.DONE, f"on {total} VMs")
    is_begun = len(behind) < total
    state = StepState.RUNNING if is_begun else StepState.PENDING
    return StepProgress(step, state, f"not yet on {_short(behind)}")


def _load(
    step: rollout_planner.RolloutStep, holders: _Holders
) -> StepProgress:
    ready = holders.ready(step.name, step.version)
    if ready:
        return StepProgress(step, StepState.DONE, f"on {_short(ready)}")
    loading = holders.loading(step.name, step.version)
    if loading:
        return StepProgress(
            step, StepState.RUNNING, f"loading on {_short(loading)}"
        )
    return StepProgress(step, StepState.PENDING, "on no VM")


def _unload(
    step: rollout_planner.RolloutStep,
    waiting: list[int],
    is_replaced: bool,
    holders: _Holders,
) -> StepProgress:
    if waiting:
        numbers = ", ".join(map(str, waiting[:3]))
        if len(waiting) > 3:
            numbers += f" and {len(waiting) - 3} more"
        return StepProgress(step, StepState.PENDING, f"waits for {numbers}")
    # The name alone shows the new version of a replaced copy, which stays.
    still = holders.ready(step.name, step.version, needs_version=is_replaced)
    if still:
        return StepProgress(
            step, StepState.RUNNING, f"still on {_short(still)}"
        )
    return StepProgress(step, StepState.DONE, "on no VM")


def _short(vms: list[str]) -> str:
    shown = ", ".join(sorted(vms)[:3])
    return shown if len(vms) <= 3 else f"{shown} and {len(vms) - 3} more"


class RolloutTracker:
    """Steps of each tenant since the last finished roll-out."""

    __slots__ = (
        "_baselines",
        "_checked_ms",
        "_clock",
        "_planner",
        "_replica",
        "_view",
    )

    def __init__(
        self,
        clock: timing_clock.Clock,
        replica: configuration_replica.ConfigurationReplica,
        view: Callable[[str], RolloutView],
    ) -> None:
        self._clock = clock
        self._replica = replica
        self._view = view
        self._planner = rollout_planner.RolloutPlanner()
        self._baselines: dict[
            str, tenant_configuration.TenantConfiguration | None
        ] = {}
        self._checked_ms: dict[str, int] = {}
        replica.add_listener(self._on_change)

    def current(self, tenant: str) -> list[StepProgress]:
        """Return the progress of a tenant, empty without configuration."""
        configuration = self._replica.current(tenant)
        if configuration is None:
            return []
        return self._progress(configuration)

    def _progress(
        self, new: tenant_configuration.TenantConfiguration
    ) -> list[StepProgress]:
        steps = self._planner.plan(self._baselines.get(new.tenant), new)
        return progress(steps, new.revision, self._view(new.tenant))

    def _on_change(
        self,
        new: tenant_configuration.TenantConfiguration,
        old: tenant_configuration.TenantConfiguration | None,
    ) -> None:
        if old is None:
            # After a restart the earlier configuration is unknown; every
            # load counts, and those that are resident are done at once.
            self._baselines[new.tenant] = None
            return
        now_ms = self._clock.now_ms()
        last_ms = self._checked_ms.get(new.tenant, -CHECK_INTERVAL_MS)
        if now_ms - last_ms < CHECK_INTERVAL_MS:
            # An older baseline only lists more steps that are done.
            return
        self._checked_ms[new.tenant] = now_ms
        if all(p.state is StepState.DONE for p in self._progress(old)):
            self._baselines[new.tenant] = old
