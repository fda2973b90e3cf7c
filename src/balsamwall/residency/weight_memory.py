"""Determine the memory for the weights of one more copy."""

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


# Share of the KV cache reserve kept free when a name without a reachable copy
# is loaded. Requests for that name cannot be served at all, whereas a smaller
# KV cache only reduces the batch size; the part kept still admits requests.
UNREACHABLE_RESERVE_SHARE = 0.25


class WeightMemory:
    """Decide whether weights fit and what to unload if they do not."""

    __slots__ = (
        "_cost",
        "_kv_floor_bytes",
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
        kv_floor_bytes: int,
        kv_reserve: Callable[[], float],
    ) -> None:
        """Initialize with the memory that weights must leave free.

        kv_floor_bytes is an absolute size, kv_reserve returns a share of the
        capacity; the larger of the two applies.
        """
        self._ledger = ledger
        self._table = table
        self._is_evictable = is_evictable
        self._cost = cost
        self._kv_floor_bytes = kv_floor_bytes
        self._kv_reserve = kv_reserve

    def fits(
        self, task: residency_task.ResidencyTask, spec: model_copy.CopySpec
    ) -> bool:
        """Return whether the weights fit beside those already charged."""
        charged = self._table.removed_charge_bytes(spec)
        needed = self._table.weight_bytes + spec.memory_bytes - charged
        return needed <= self._limit_bytes(task)

    def victims(
        self,
        task: residency_task.ResidencyTask,
        spec: model_copy.CopySpec,
        excluded: set[str],
    ) -> list[model_copy.ModelCopy] | None:
        """Return the copies to unload for a load.

        An empty list means that the memory of removed copies is still to be
        released, None that no allowed unload frees enough. A task that
        replaces a name or changes a version unloads all versions of that name
        without a check that they free enough. Other tasks unload no name in
        `excluded`.
        """
        weight_bytes = sum(
            copy.spec.memory_bytes for copy in self._table.copies()
        )
        limit_bytes = self._limit_bytes(task)
        if weight_bytes + spec.memory_bytes <= limit_bytes:
            return []
        if task.replaced_name or task.is_version_change:
            replaced_name = task.replaced_name or task.name
            if replaced_name in task.excluded_names:
                return None
            return self._table.versions(replaced_name) or None
        is_evictable = self._is_evictable
        if task.urgency < urgency_levels.UNREACHABLE:
            is_evictable = self._is_unconfigured
        return victim_choice.choose_victims(
            self._table,
            task.excluded_names | {spec.base} | excluded,
            weight_bytes + spec.memory_bytes - limit_bytes,
            is_evictable,
            self._cost,
        )

    def _is_unconfigured(self, copy: model_copy.ModelCopy) -> bool:
        """Return whether the name of a copy is not in the configuration.

        The cost function returns a negative value for such a copy.
        """
        return self._cost(copy) < 0

    def _limit_bytes(self, task: residency_task.ResidencyTask) -> int:
        """Return the bytes that weights may occupy after a task."""
        capacity = self._ledger.capacity_bytes
        reserve = self._kv_reserve()
        if task.urgency >= urgency_levels.UNREACHABLE:
            reserve *= UNREACHABLE_RESERVE_SHARE
        return capacity - max(self._kv_floor_bytes, round(capacity * reserve))
