"""Plan the steps that lead from one configuration to another."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from balsamwall.configuration import configuration_difference
from balsamwall.configuration import memory_check

if TYPE_CHECKING:
    from balsamwall.configuration import tenant_configuration

    Configuration = tenant_configuration.TenantConfiguration


class Action(enum.Enum):
    """What a roll-out step does."""

    PARAMETERS = "parameters"  # limits and classes; effective on receipt
    LOAD = "load"
    UNLOAD = "unload"


@dataclasses.dataclass(slots=True, frozen=True)
class RolloutStep:
    """Step that may start once all steps in `depends_on` are done.

    Steps are numbered from 1, and `depends_on` holds such numbers. `version`
    is empty for parameters, `base` for all but adapters.
    """

    number: int
    action: Action
    part: str  # "workspaces", "services", "models" or "adapters"
    name: str
    version: str = ""
    base: str = ""
    depends_on: tuple[int, ...] = ()

    def __str__(self) -> str:
        item = f"{self.part.removesuffix('s')} {self.name}"
        if self.version:
            item += f"@{self.version}"
        text = f"{self.number}. {self.action.value} {item}"
        if self.depends_on:
            text += f" after {', '.join(map(str, self.depends_on))}"
        return text

    def to_json(self) -> dict[str, object]:
        """Return the fields as JSON values."""
        return {**dataclasses.asdict(self), "action": self.action.value}


@dataclasses.dataclass(slots=True, frozen=True)
class _RequiredVersion:
    """Version of a model or adapter that must be resident on some VM."""

    part: str
    name: str
    version: str
    base: str
    base_version: str


class RolloutPlanner:
    """Plan steps that keep every configured name reachable.

    A new version is loaded before the version that it replaces is unloaded,
    and an adapter is loaded after its base model. Names that no workspace
    uses any longer are unloaded last, or first if the fleet's memory cannot
    hold the old and new versions at the same time.
    """

    __slots__ = ("_step_numbers", "_steps")

    def __init__(self) -> None:
        self._steps: list[RolloutStep] = []
        self._step_numbers: dict[tuple[Action, str, str], int] = {}

    def plan(
        self, old: Configuration | None, new: Configuration
    ) -> list[RolloutStep]:
        """Return the steps, each after the steps that it depends on.

        If `old` is None, every configured model and adapter is loaded.
        """
        self._steps = []
        self._step_numbers = {}
        self._add_parameters(old, new)
        before = _required_versions(old) if old is not None else {}
        after = _required_versions(new)
        dropped = [c for name, c in before.items() if name not in after]
        replaced = [
            name
            for name, item in after.items()
            if name in before and before[name] != item
        ]
        is_memory_tight = not _fits_with_old_versions(
            old, new, dropped, replaced
        )
        if is_memory_tight:
            # Keep a base model until its adapters have moved to another.
            needed_bases = {before[name].base for name in replaced}
            unloaded_first = [
                item for item in dropped if item.name not in needed_bases
            ]
            dropped = [item for item in dropped if item.name in needed_bases]
            self._add_unloads(unloaded_first, ())
        for name, item in after.items():
            if name not in before:
                self._add_load(item, replaced)
        self._add_replacements(replaced, before, after, is_memory_tight)
        loads = [
            step.number for step in self._steps if step.action is Action.LOAD
        ]
        self._add_unloads(dropped, tuple(loads))
        return list(self._steps)

    def _add(
        self,
        action: Action,
        part: str,
        name: str,
        version: str = "",
        base: str = "",
        depends_on: tuple[int, ...] = (),
    ) -> int:
        number = len(self._steps) + 1
        self._steps.append(
            RolloutStep(number, action, part, name, version, base, depends_on)
        )
        self._step_numbers[action, name, version] = number
        return number

    def _add_parameters(
        self, old: Configuration | None, new: Configuration
    ) -> None:
        seen: set[tuple[str, str]] = set()
        for entry in configuration_difference.difference(old, new):
            key = (entry.part, entry.name)
            if entry.part in ("workspaces", "services") and key not in seen:
                seen.add(key)
                self._add(Action.PARAMETERS, entry.part, entry.name)

    def _add_load(
        self,
        item: _RequiredVersion,
        replaced: list[str],
        depends_on: tuple[int, ...] = (),
    ) -> None:
        if (Action.LOAD, item.name, item.version) in self._step_numbers:
            return
        if item.base in replaced:
            # Loaded in `_add_replacements`, after the new base version.
            return
        base = self._step_numbers.get(
            (Action.LOAD, item.base, item.base_version)
        )
        if base is not None:
            depends_on = (*depends_on, base)
        self._add(
            Action.LOAD,
            item.part,
            item.name,
            item.version,
            item.base,
            tuple(sorted(set(depends_on))),
        )

    def _add_replacements(
        self,
        replaced: list[str],
        before: dict[str, _RequiredVersion],
        after: dict[str, _RequiredVersion],
        is_memory_tight: bool,
    ) -> None:
        # If memory is tight, each replacement waits until the old versions of
        # the one before it are unloaded.
        prerequisites: tuple[int, ...] = ()
        models = [n for n in replaced if after[n].part == "models"]
        done: set[str] = set()
        for name in models:
            dependents = [c for c in after.values() if c.base == name]
            self._add_load(after[name], [], prerequisites)
            for item in dependents:
                self._add_load(item, [], prerequisites)
            prerequisites = self._add_unloads_of_old_versions(
                [name, *(c.name for c in dependents)],
                before,
                after,
                prerequisites,
            )
            done.update([name, *(c.name for c in dependents)])
            if not is_memory_tight:
                prerequisites = ()
        for name in replaced:
            if name not in done:
                self._add_load(after[name], [], prerequisites)
                prerequisites = self._add_unloads_of_old_versions(
                    [name], before, after, prerequisites
                )
                if not is_memory_tight:
                    prerequisites = ()

    def _add_unloads_of_old_versions(
        self,
        names: list[str],
        before: dict[str, _RequiredVersion],
        after: dict[str, _RequiredVersion],
        prerequisites: tuple[int, ...],
    ) -> tuple[int, ...]:
        """Add unloads of old versions after the loads of all new ones.

        Return the numbers of the added steps, or `prerequisites` if there are
        none.
        """
        loads = tuple(
            sorted(
                self._step_numbers[Action.LOAD, name, after[name].version]
                for name in names
            )
        )
        unloads = [
            self._add(
                Action.UNLOAD,
                before[name].part,
                name,
                before[name].version,
                before[name].base,
                loads,
            )
            for name in reversed(names)
            if name in before and before[name].version != after[name].version
        ]
        return tuple(unloads) or prerequisites

    def _add_unloads(
        self, dropped: list[_RequiredVersion], depends_on: tuple[int, ...]
    ) -> None:
        # Unload adapters before their base model.
        for item in sorted(dropped, key=lambda item: item.part):
            dependencies = depends_on
            if item.part == "models":
                dependencies += tuple(
                    self._step_numbers[
                        Action.UNLOAD, other.name, other.version
                    ]
                    for other in dropped
                    if other.base == item.name
                )
            self._add(
                Action.UNLOAD,
                item.part,
                item.name,
                item.version,
                item.base,
                dependencies,
            )


def _required_versions(
    configuration: Configuration,
) -> dict[str, _RequiredVersion]:
    """Return the required version of each configured name, models first."""
    names = configuration.configured_names()
    versions = {
        model.name: _RequiredVersion(
            "models", model.name, model.version, "", ""
        )
        for model in configuration.models.values()
        if model.name in names
    }
    for adapter in configuration.adapters.values():
        if adapter.name in names:
            versions[adapter.name] = _RequiredVersion(
                "adapters",
                adapter.name,
                adapter.version,
                adapter.base,
                configuration.models[adapter.base].version,
            )
    return versions


def _fits_with_old_versions(
    old: Configuration | None,
    new: Configuration,
    dropped: list[_RequiredVersion],
    replaced: list[str],
) -> bool:
    if old is None or new.fleet is None:
        return True
    models = dict(new.models)
    adapters = dict(new.adapters)
    for item in dropped:
        if item.part == "models":
            models[item.name] = old.models[item.name]
        elif item.base in models or item.base in old.models:
            models.setdefault(item.base, old.models[item.base])
            adapters[item.name] = old.adapters[item.name]
    for name in replaced:
        if name in old.models:
            models[f"{name}@old"] = old.models[name]
        elif name in old.adapters and name in new.adapters:
            # Count only the adapter weights, not the base of the old version.
            adapters[f"{name}@old"] = dataclasses.replace(
                old.adapters[name], base=new.adapters[name].base
            )
    return memory_check.check(models, adapters, new.fleet).fits
