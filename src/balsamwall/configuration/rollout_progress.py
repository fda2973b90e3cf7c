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

    def has(self, name: str) -> bool:
        """Tell whether any version of a name is ready."""
        return name in self.models or name in self.adapters

    def has_version(self, name: str, version: str) -> bool:
        """Tell whether a version is ready; any, if none is reported."""
        if self.versions and version:
            return f"{name}@{version}" in self.versions
        return self.has(name)


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


def progress(
    steps: Sequence[rollout_planner.RolloutStep],
    revision: int,
    view: RolloutView,
) -> list[StepProgress]:
    """Return the state of each step; steps are in planned order."""
    result: list[StepProgress] = []
    done: set[int] = set()
    for step in steps:
        item = _step_progress(step, steps, revision, view, done)
        if item.state is StepState.DONE:
            done.add(step.number)
        result.append(item)
    return result


def _step_progress(
    step: rollout_planner.RolloutStep,
    steps: Sequence[rollout_planner.RolloutStep],
    revision: int,
    view: RolloutView,
    done: set[int],
) -> StepProgress:
    if step.action is rollout_planner.Action.PARAMETERS:
        return _parameters(step, revision, view)
    if step.action is rollout_planner.Action.LOAD:
        return _load(step, view)
    waiting = [n for n in step.depends_on if n not in done]
    if waiting:
        return StepProgress(
            step,
            StepState.PENDING,
            f"waits for {', '.join(map(str, waiting))}",
        )
    is_replacement = any(
        other.action is rollout_planner.Action.LOAD and other.name == step.name
        for other in steps
    )
    holders = []
    for vm, residents in view.residents.items():
        if is_replacement and not residents.versions:
            # The name alone shows the new version, which stays.
            continue
        if residents.has_version(step.name, step.version):
            holders.append(vm)
    if holders:
        return StepProgress(
            step, StepState.RUNNING, f"still on {_short(holders)}"
        )
    return StepProgress(step, StepState.DONE, "on no VM")


def _parameters(
    step: rollout_planner.RolloutStep, revision: int, view: RolloutView
) -> StepProgress:
    behind = [vm for vm, own in view.revisions.items() if own < revision]
    if not behind:
        return StepProgress(
            step, StepState.DONE, f"on {len(view.revisions)} VMs"
        )
    is_begun = len(behind) < len(view.revisions)
    state = StepState.RUNNING if is_begun else StepState.PENDING
    return StepProgress(step, state, f"not yet on {_short(behind)}")


def _load(
    step: rollout_planner.RolloutStep, view: RolloutView
) -> StepProgress:
    holders = [
        vm
        for vm, residents in view.residents.items()
        if residents.has_version(step.name, step.version)
    ]
    if holders:
        return StepProgress(step, StepState.DONE, f"on {_short(holders)}")
    names = {step.name, f"{step.name}@{step.version}"}
    loading = [
        vm
        for vm, residents in view.residents.items()
        if residents.loading & names
    ]
    if loading:
        return StepProgress(
            step, StepState.RUNNING, f"loading on {_short(loading)}"
        )
    return StepProgress(step, StepState.PENDING, "on no VM")


def _short(vms: list[str]) -> str:
    shown = ", ".join(sorted(vms)[:3])
    return shown if len(vms) <= 3 else f"{shown} and {len(vms) - 3} more"


class RolloutTracker:
    """Steps of each tenant since the last finished roll-out."""

    __slots__ = ("_baselines", "_planner", "_replica", "_view")

    def __init__(
        self,
        replica: configuration_replica.ConfigurationReplica,
        view: Callable[[str], RolloutView],
    ) -> None:
        self._replica = replica
        self._view = view
        self._planner = rollout_planner.RolloutPlanner()
        self._baselines: dict[
            str, tenant_configuration.TenantConfiguration | None
        ] = {}
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
        elif all(p.state is StepState.DONE for p in self._progress(old)):
            self._baselines[new.tenant] = old
