"""Memory for the weights of one more copy."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.residency import urgency as urgency_levels
from balsamwall.residency import victim_choice

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.residency import copy_table
    from balsamwall.residency import memory_ledger
    from balsamwall.residency import model_copy
    from balsamwall.residency import residency_task


# A name without any copy is worse than small batches, so its load may take
# most of the reserve; the rest keeps requests possible.
UNREACHABLE_RESERVE_SHARE = 0.25


class MemoryRoom:
    """Tell whether weights fit and what to unload if they do not."""

    __slots__ = (
        "_cost",
        "_floor_bytes",
        "_is_evictable",
        "_kv_reserve",
        "_ledger",
        "_table",
    )

    def __init__(
        self,
        ledger: memory_ledger.MemoryLedger,
        table: copy_table.CopyTable,
        is_evictable: Callable[[model_copy.ModelCopy], bool],
        cost: Callable[[model_copy.ModelCopy], float],
        floor_bytes: int,
        kv_reserve: Callable[[], float],
    ) -> None:
        """Take what stays free of weights: bytes and a share of all."""
        self._ledger = ledger
        self._table = table
        self._is_evictable = is_evictable
        self._cost = cost
        self._floor_bytes = floor_bytes
        self._kv_reserve = kv_reserve

    def has_room(
        self, task: residency_task.ResidencyTask, spec: model_copy.CopySpec
    ) -> bool:
        """Tell whether the weights fit beside all that is charged."""
        charged = self._table.remaining_bytes(spec)
        needed = self._table.weight_bytes + spec.memory_bytes - charged
        return needed <= self._limit_bytes(task)

    def victims(
        self,
        task: residency_task.ResidencyTask,
        spec: model_copy.CopySpec,
        spared: set[str],
    ) -> list[model_copy.ModelCopy] | None:
        """Return what to unload; empty to wait, None if nothing helps."""
        held = sum(copy.spec.memory_bytes for copy in self._table.copies())
        limit_bytes = self._limit_bytes(task)
        if held + spec.memory_bytes <= limit_bytes:
            return []
        if task.drop or task.is_roll:
            dropped = task.drop or task.name
            if dropped in task.barred:
                return None
            return self._table.versions(dropped) or None
        is_evictable = self._is_evictable
        if task.urgency < urgency_levels.UNREACHABLE:
            is_evictable = self._is_unwanted
        return victim_choice.choose_victims(
            self._table,
            task.barred | {spec.base} | spared,
            held + spec.memory_bytes - limit_bytes,
            is_evictable,
            self._cost,
        )

    def _is_unwanted(self, copy: model_copy.ModelCopy) -> bool:
        """Tell whether a copy is of a name that is not configured."""
        return self._cost(copy) < 0

    def _limit_bytes(self, task: residency_task.ResidencyTask) -> int:
        """Return the memory that weights may occupy after a task."""
        capacity = self._ledger.capacity_bytes
        reserve = self._kv_reserve()
        if task.urgency >= urgency_levels.UNREACHABLE:
            reserve *= UNREACHABLE_RESERVE_SHARE
        return capacity - max(self._floor_bytes, round(capacity * reserve))
