"""Check the grant, dependents and running requests of an unload."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from balsamwall.residency import model_copy

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.residency import copy_table
    from balsamwall.residency import residency_hooks
    from balsamwall.residency import residency_task
    from balsamwall.residency import retention
    from balsamwall.timing import clock as clock_module


class UnloadVerdict(enum.Enum):
    """Name the next action for an unload.

    After ASK_GRANT and WAIT the check is repeated; REFUSE ends the unload.
    """

    ORDER = "order"
    ASK_GRANT = "ask_grant"
    WAIT = "wait"
    REFUSE = "refuse"


class UnloadCheck:
    """Check the preconditions of an unload before its order is sent."""

    __slots__ = ("_clock", "_hooks", "_is_configured", "_retention", "_table")

    def __init__(
        self,
        clock: clock_module.Clock,
        table: copy_table.CopyTable,
        retention_table: retention.RetentionTable,
        hooks: residency_hooks.ResidencyHooks,
        is_configured: Callable[[str], bool],
    ) -> None:
        self._clock = clock
        self._table = table
        self._retention = retention_table
        self._hooks = hooks
        self._is_configured = is_configured

    def is_evictable(self, copy: model_copy.ModelCopy) -> bool:
        """Return whether an eviction may start or could get a grant."""
        name = copy.spec.name
        if not self._is_configured(name):
            return True
        if not self._retention.may_evict(name):
            return False
        return bool(self._hooks.holders(name))

    def eviction_cost(self, copy: model_copy.ModelCopy) -> float:
        """Return the demand for a name, -1 if it is not configured.

        Copies with the lowest cost are evicted first.
        """
        if not self._is_configured(copy.spec.name):
            return -1.0
        return self._hooks.demand(copy.spec.name)

    def dependent(
        self, copy: model_copy.ModelCopy
    ) -> model_copy.ModelCopy | None:
        """Return an adapter to unload before a base model, or None."""
        if self._has_other_version(copy):
            return None
        return next(iter(self._table.dependents(copy.spec.name)), None)

    def check(
        self, task: residency_task.ResidencyTask, copy: model_copy.ModelCopy
    ) -> UnloadVerdict:
        """Return the next action for an unload.

        The copy is withdrawn from new requests once no dependent can be
        added and a grant, where one is needed, is usable. ORDER
        marks the grant as used, so the order must be sent.
        """
        name = copy.spec.name
        has_other = self._has_other_version(copy)
        if not has_other and self._table.may_gain_dependents(name):
            return UnloadVerdict.WAIT
        needs_grant = not has_other and self._is_configured(name)
        if needs_grant:
            if task.is_grant_refused or not self._retention.may_evict(name):
                return UnloadVerdict.REFUSE
            if task.grant is None:
                return UnloadVerdict.ASK_GRANT
            if not task.grant.is_usable(self._clock.now_ms()):
                return UnloadVerdict.REFUSE
        self._table.set_withdrawn(copy.spec.key, True)
        if self._is_in_use(copy, has_other):
            return UnloadVerdict.WAIT
        if needs_grant and not self._retention.mark_ordered(name):
            return UnloadVerdict.REFUSE
        return UnloadVerdict.ORDER

    def _other_ready_versions(
        self, copy: model_copy.ModelCopy
    ) -> list[model_copy.ModelCopy]:
        """Return other ready versions of the same name."""
        return [
            other
            for other in self._table.versions(copy.spec.name)
            if other is not copy and other.state is model_copy.CopyState.READY
        ]

    def _has_other_version(self, copy: model_copy.ModelCopy) -> bool:
        return bool(self._other_ready_versions(copy))

    def _is_in_use(self, copy: model_copy.ModelCopy, has_other: bool) -> bool:
        """Return whether running requests may use a copy.

        Requests to an adapter also use its base model.
        """
        dependents = self._table.dependents(copy.spec.name)
        names = {copy.spec.name, *(item.spec.name for item in dependents)}
        used = [name for name in names if self._hooks.is_in_use(name)]
        if not used:
            return False
        if not has_other:
            return True
        oldest = [self._hooks.oldest_running_ms(name) for name in used]
        # Requests that started after another version became ready use that
        # version.
        return any(
            oldest_ms is None
            or not any(
                other.ready_ms < oldest_ms
                for other in self._other_ready_versions(copy)
            )
            for oldest_ms in oldest
        )
