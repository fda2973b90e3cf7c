"""Ordered steps from one configuration to another."""

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
    """Kind of a step."""

    PARAMETERS = "parameters"  # limits and classes; in force on arrival
    LOAD = "load"
    UNLOAD = "unload"


@dataclasses.dataclass(slots=True, frozen=True)
class RolloutStep:
    """One step; it begins when the steps that it depends on are done."""

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
        """Return the fields as plain JSON values."""
        return {**dataclasses.asdict(self), "action": self.action.value}


@dataclasses.dataclass(slots=True, frozen=True)
class _Copy:
    """Version of a model or adapter that must be resident."""

    part: str
    name: str
    version: str
    base: str
    base_version: str


class RolloutPlanner:
    """Planner of steps that keep every configured name reachable.

    New copies are loaded before the ones that they replace are removed,
    and adapters after their bases. Names that no workspace uses any longer
    are removed last, or first if old and new do not fit side by side.
    """

    __slots__ = ("_numbers", "_steps")

    def __init__(self) -> None:
        self._steps: list[RolloutStep] = []
        self._numbers: dict[tuple[Action, str, str], int] = {}

    def plan(
        self, old: Configuration | None, new: Configuration
    ) -> list[RolloutStep]:
        """Return the steps in an order that satisfies their dependencies."""
        self._steps = []
        self._numbers = {}
        self._add_parameters(old, new)
        before = _copies(old) if old is not None else {}
        after = _copies(new)
        dropped = [c for name, c in before.items() if name not in after]
        replaced = [
            name
            for name, copy in after.items()
            if name in before and before[name] != copy
        ]
        is_tight = not _fits_side_by_side(old, new, dropped, replaced)
        if is_tight:
            self._unload_all(dropped, ())
        for name, copy in after.items():
            if name not in before:
                self._load(copy, replaced)
        self._replace(replaced, before, after, is_tight)
        if not is_tight:
            loads = [
                step.number
                for step in self._steps
                if step.action is Action.LOAD
            ]
            self._unload_all(dropped, tuple(loads))
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
        self._numbers[action, name, version] = number
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

    def _load(
        self,
        copy: _Copy,
        later: list[str],
        depends_on: tuple[int, ...] = (),
    ) -> None:
        if (Action.LOAD, copy.name, copy.version) in self._numbers:
            return
        if copy.base in later:
            # The adapter follows the new version of its base.
            return
        base = self._numbers.get((Action.LOAD, copy.base, copy.base_version))
        if base is not None:
            depends_on = (*depends_on, base)
        self._add(
            Action.LOAD,
            copy.part,
            copy.name,
            copy.version,
            copy.base,
            tuple(sorted(set(depends_on))),
        )

    def _replace(
        self,
        replaced: list[str],
        before: dict[str, _Copy],
        after: dict[str, _Copy],
        is_tight: bool,
    ) -> None:
        gate: tuple[int, ...] = ()
        models = [n for n in replaced if after[n].part == "models"]
        done: set[str] = set()
        for name in models:
            followers = [c for c in after.values() if c.base == name]
            self._load(after[name], [], gate)
            for copy in followers:
                self._load(copy, [], gate)
            gate = self._unload_old(
                [name, *(c.name for c in followers)], before, after, gate
            )
            done.update([name, *(c.name for c in followers)])
            if not is_tight:
                gate = ()
        for name in replaced:
            if name not in done:
                self._load(after[name], [], gate)
                gate = self._unload_old([name], before, after, gate)
                if not is_tight:
                    gate = ()

    def _unload_old(
        self,
        names: list[str],
        before: dict[str, _Copy],
        after: dict[str, _Copy],
        gate: tuple[int, ...],
    ) -> tuple[int, ...]:
        """Remove old versions after all their replacements are loaded."""
        loads = tuple(
            sorted(
                self._numbers[Action.LOAD, name, after[name].version]
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
        return tuple(unloads) or gate

    def _unload_all(
        self, dropped: list[_Copy], depends_on: tuple[int, ...]
    ) -> None:
        # Adapters go before the base that they lie on.
        for copy in sorted(dropped, key=lambda copy: copy.part):
            needed = depends_on
            if copy.part == "models":
                needed += tuple(
                    self._numbers[Action.UNLOAD, other.name, other.version]
                    for other in dropped
                    if other.base == copy.name
                )
            self._add(
                Action.UNLOAD,
                copy.part,
                copy.name,
                copy.version,
                copy.base,
                needed,
            )


def _copies(configuration: Configuration) -> dict[str, _Copy]:
    """Return what must be resident, models first."""
    names = configuration.configured_names()
    copies = {
        model.name: _Copy("models", model.name, model.version, "", "")
        for model in configuration.models.values()
        if model.name in names
    }
    for adapter in configuration.adapters.values():
        if adapter.name in names:
            copies[adapter.name] = _Copy(
                "adapters",
                adapter.name,
                adapter.version,
                adapter.base,
                configuration.models[adapter.base].version,
            )
    return copies


def _fits_side_by_side(
    old: Configuration | None,
    new: Configuration,
    dropped: list[_Copy],
    replaced: list[str],
) -> bool:
    if old is None or new.fleet is None:
        return True
    models = dict(new.models)
    adapters = dict(new.adapters)
    for copy in dropped:
        if copy.part == "models":
            models[copy.name] = old.models[copy.name]
        elif copy.base in models or copy.base in old.models:
            models.setdefault(copy.base, old.models[copy.base])
            adapters[copy.name] = old.adapters[copy.name]
    for name in replaced:
        if name in old.models:
            models[f"{name}@old"] = old.models[name]
        elif name in old.adapters and name in new.adapters:
            # Only the weights count here, not the base of the old version.
            adapters[f"{name}@old"] = dataclasses.replace(
                old.adapters[name], base=new.adapters[name].base
            )
    return memory_check.check(models, adapters, new.fleet).fits
