"""Snapshot of the fleet and the steps that the planner proposes."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from balsamwall.configuration import tenant_configuration


@dataclasses.dataclass(slots=True, frozen=True)
class WorkerView:
    """Worker, the model engine of a VM, with the names it holds or loads.

    A name is that of a model or of an adapter.
    """

    vm: str
    availability_zone: str
    tenant: str
    # Memory for weights; excludes the reserve for the KV cache.
    weight_limit_bytes: int
    residents: frozenset[str]
    loading: frozenset[str] = frozenset()
    is_leaving: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class FleetView:
    """Workers of all tenants and the active configuration of each tenant."""

    workers: tuple[WorkerView, ...]
    configurations: Mapping[str, tenant_configuration.TenantConfiguration]


@dataclasses.dataclass(slots=True, frozen=True)
class Step:
    """Proposed load, or a swap that unloads `other` first."""

    vm: str
    action: str  # "load" or "swap"
    name: str
    other: str
    urgency: int
