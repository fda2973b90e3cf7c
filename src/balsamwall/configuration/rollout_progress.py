"""Track the progress of a roll-out from the reports of agents."""

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


# Minimum time between two checks whether a tenant's roll-out has finished.
# Planning for thousands of models takes tens of milliseconds.
CHECK_INTERVAL_MS = 10_000


class StepState(enum.Enum):
    """Progress of a roll-out step."""

    PENDING = "pending"
    RUNNING = "running"
    DONE = "done"


@dataclasses.dataclass(slots=True, frozen=True)
class ResidentSet:
    """Names that one agent reports as resident or loading.

    `versions` holds "name@version" of what is ready and may be empty, and
    `loading` holds names with or without a version.
    """

    models: frozenset[str] = frozenset()
    adapters: frozenset[str] = frozenset()
    loading: frozenset[str] = frozenset()
    services: frozenset[str] = frozenset()
    versions: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True, frozen=True)
class RolloutView:
    """Resident names and active configuration revisions by VM."""

    residents: Mapping[str, ResidentSet]
    revisions: Mapping[str, int]


@dataclasses.dataclass(slots=True, frozen=True)
class StepProgress:
    """State of one step with a description of where it stands."""

    step: rollout_planner.RolloutStep
    state: StepState
    detail: str

    def to_json(self) -> dict[str, object]:
        """Return the fields as JSON values."""
        return {
            **self.step.to_json(),
            "state": self.state.value,
            "detail": self.detail,
        }


class _ResidencyIndex:
    """Index of VMs by reported name, so that a step needs one look-up."""

    __slots__ = ("_by_name", "_by_version", "_loading", "_vms_with_versions")

    def __init__(self, residents: Mapping[str, ResidentSet]) -> None:
        self._by_name: dict[str, list[str]] = {}
        self._by_version: dict[str, list[str]] = {}
        self._loading: dict[str, list[str]] = {}
        self._vms_with_versions: set[str] = set()
        for vm, report in residents.items():
            if report.versions:
                self._vms_with_versions.add(vm)
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
        """Return the VMs on which a version is ready.

        A VM that reports no versions counts for any version of its resident
        names, unless `needs_version` is set.
        """
        vms = list(self._by_version.get(f"{name}@{version}", []))
        if not needs_version:
            vms += [
                vm
                for vm in self._by_name.get(name, [])
                if vm not in self._vms_with_versions
            ]
        return vms

    def loading(self, name: str, version: str) -> list[str]:
        """Return the VMs that are loading a name or this version of it."""
        return [
            *self._loading.get(name, []),
            *self._loading.get(f"{name}@{version}", []),
        ]


def progress(
    steps: Sequence[rollout_planner.RolloutStep],
    revision: int,
    view: RolloutView,
) -> list[StepProgress]:
    """Return the state of each step; `steps` must be in planned order.

    `revision` is the revision that the steps lead to. Parameter steps are
    done once every VM in the view has reached it.
    """
    index = _ResidencyIndex(view.residents)
    behind = [vm for vm, active in view.revisions.items() if active < revision]
    loaded = {
        step.name
        for step in steps
        if step.action is rollout_planner.Action.LOAD
    }
    result: list[StepProgress] = []
    done: set[int] = set()
    for step in steps:
        if step.action is rollout_planner.Action.PARAMETERS:
            item = _parameters_progress(step, behind, len(view.revisions))
        elif step.action is rollout_planner.Action.LOAD:
            item = _load_progress(step, index)
        else:
            waiting = [n for n in step.depends_on if n not in done]
            item = _unload_progress(step, waiting, step.name in loaded, index)
        if item.state is StepState.DONE:
            done.add(step.number)
        result.append(item)
    return result


def _parameters_progress(
    step: rollout_planner.RolloutStep, behind: list[str], total: int
) -> StepProgress:
    if not behind:
        return StepProgress(step, StepState.DONE, f"on {total} VMs")
    has_started = len(behind) < total
    state = StepState.RUNNING if has_started else StepState.PENDING
    return StepProgress(step, state, f"not yet on {_summarize(behind)}")


def _load_progress(
    step: rollout_planner.RolloutStep, index: _ResidencyIndex
) -> StepProgress:
    ready = index.ready(step.name, step.version)
    if ready:
        return StepProgress(step, StepState.DONE, f"on {_summarize(ready)}")
    loading = index.loading(step.name, step.version)
    if loading:
        return StepProgress(
            step, StepState.RUNNING, f"loading on {_summarize(loading)}"
        )
    return StepProgress(step, StepState.PENDING, "on no VM")


def _unload_progress(
    step: rollout_planner.RolloutStep,
    waiting: list[int],
    is_replaced: bool,
    index: _ResidencyIndex,
) -> StepProgress:
    if waiting:
        numbers = ", ".join(map(str, waiting[:3]))
        if len(waiting) > 3:
            numbers += f" and {len(waiting) - 3} more"
        return StepProgress(step, StepState.PENDING, f"waits for {numbers}")
    # A replaced name stays resident in its new version, so the name alone
    # does not show whether the old version is unloaded.
    remaining = index.ready(step.name, step.version, needs_version=is_replaced)
    if remaining:
        return StepProgress(
            step, StepState.RUNNING, f"still on {_summarize(remaining)}"
        )
    return StepProgress(step, StepState.DONE, "on no VM")


def _summarize(vms: list[str]) -> str:
    shown = ", ".join(sorted(vms)[:3])
    return shown if len(vms) <= 3 else f"{shown} and {len(vms) - 3} more"


class RolloutTracker:
    """Track each tenant's steps since its last finished roll-out.

    The steps are planned from a baseline, the last configuration that was
    found to be rolled out in full, or None if there is none.
    """

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
        """Return the progress of a tenant; empty without a configuration."""
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
            # The previous configuration is unknown after a restart. Plan
            # every load; loads of resident names count as done.
            self._baselines[new.tenant] = None
            return
        now_ms = self._clock.now_ms()
        last_ms = self._checked_ms.get(new.tenant, -CHECK_INTERVAL_MS)
        if now_ms - last_ms < CHECK_INTERVAL_MS:
            # With an older baseline the plan only lists more done steps.
            return
        self._checked_ms[new.tenant] = now_ms
        if all(p.state is StepState.DONE for p in self._progress(old)):
            self._baselines[new.tenant] = old
