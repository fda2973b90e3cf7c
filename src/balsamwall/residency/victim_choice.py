"""Select the copies to evict when memory is needed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.residency import model_copy

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.residency import copy_table


def choose_victims(
    table: copy_table.CopyTable,
    excluded: set[str],
    required_bytes: int,
    is_evictable: Callable[[model_copy.ModelCopy], bool],
    cost: Callable[[model_copy.ModelCopy], float],
) -> list[model_copy.ModelCopy] | None:
    """Return copies that free enough memory, adapters before their base.

    Copies with the lowest cost are chosen first; names in `excluded` are
    not chosen. None means that evicting all candidates would not free enough.
    """
    candidates = [
        copy
        for copy in table.copies()
        if copy.state is model_copy.CopyState.READY
        and copy.spec.name not in excluded
        and is_evictable(copy)
    ]
    evictable = {copy.spec.key for copy in candidates}
    chosen: dict[model_copy.CopyKey, model_copy.ModelCopy] = {}
    freed = 0
    for copy in sorted(candidates, key=lambda c: (cost(c), c.spec.key)):
        if freed >= required_bytes:
            break
        if copy.spec.key in chosen:
            continue
        dependents = table.dependents(copy.spec.name)
        if any(item.spec.key not in evictable for item in dependents):
            continue
        for item in [*dependents, copy]:
            if item.spec.key not in chosen:
                chosen[item.spec.key] = item
                freed += item.spec.memory_bytes
    return list(chosen.values()) if freed >= required_bytes else None
