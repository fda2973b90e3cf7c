"""Check that one copy of each model and adapter fits into the fleet."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from balsamwall.configuration import tenant_configuration


@dataclasses.dataclass(slots=True, frozen=True)
class PackingResult:
    """Result of packing one copy of each model and adapter onto VMs."""

    needed_vms: int
    available_vms: int  # model VMs without the spare ones
    # Weights of the packed groups; a base counts once per group.
    weight_bytes: int
    usable_bytes_per_vm: int  # VM memory without the KV cache reserve
    oversized: tuple[str, ...]  # too large for one VM, adapters with base

    @property
    def fits(self) -> bool:
        """Return whether all models and adapters fit the available VMs."""
        return not self.oversized and self.needed_vms <= self.available_vms


def check(
    models: Mapping[str, tenant_configuration.ModelSpec],
    adapters: Mapping[str, tenant_configuration.AdapterSpec],
    fleet: tenant_configuration.FleetSpec,
) -> PackingResult:
    """Compute the VMs needed for one copy of each model and adapter.

    Groups of a model and its adapters are packed by first-fit decreasing.
    Adapters that do not fit next to their base are grouped with another copy
    of it. The result is an upper bound on the VMs that an optimal packing
    needs.
    """
    usable = round(fleet.vm_memory_bytes * (1 - fleet.kv_reserve))
    groups, oversized = _groups(models, adapters, usable)
    bins: list[int] = []
    for size in sorted(groups, reverse=True):
        for index, free in enumerate(bins):
            if size <= free:
                bins[index] = free - size
                break
        else:
            bins.append(usable - size)
    return PackingResult(
        needed_vms=len(bins),
        available_vms=max(0, fleet.model_vms - fleet.spare_vms),
        weight_bytes=sum(groups),
        usable_bytes_per_vm=usable,
        oversized=tuple(oversized),
    )


def _groups(
    models: Mapping[str, tenant_configuration.ModelSpec],
    adapters: Mapping[str, tenant_configuration.AdapterSpec],
    usable: int,
) -> tuple[list[int], list[str]]:
    groups: list[int] = []
    oversized: list[str] = []
    by_base: dict[str, list[tenant_configuration.AdapterSpec]] = {}
    for adapter in adapters.values():
        by_base.setdefault(adapter.base, []).append(adapter)
    for model in models.values():
        if model.weight_bytes > usable:
            oversized.append(model.name)
            continue
        size = model.weight_bytes
        for adapter in by_base.get(model.name, []):
            if model.weight_bytes + adapter.weight_bytes > usable:
                oversized.append(adapter.name)
            elif size + adapter.weight_bytes > usable:
                groups.append(size)
                size = model.weight_bytes + adapter.weight_bytes
            else:
                size += adapter.weight_bytes
        groups.append(size)
    return groups, oversized
