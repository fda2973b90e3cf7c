"""State of the fleet as the planner sees it."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from balsamwall.configuration import tenant_configuration


@dataclasses.dataclass(slots=True, frozen=True)
class WorkerView:
    """One model engine and what it holds or loads."""

    vm: str
    availability_zone: str
    tenant: str
    # Memory that weights may occupy, without what is kept for KV cache.
    weight_limit_bytes: int
    residents: frozenset[str]
    loading: frozenset[str] = frozenset()
    is_leaving: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class FleetView:
    """Workers of all tenants and the configurations in force."""

    workers: tuple[WorkerView, ...]
    configurations: Mapping[str, tenant_configuration.TenantConfiguration]


@dataclasses.dataclass(slots=True, frozen=True)
class Step:
    """Proposed load, or swap that drops another name for it."""

    vm: str
    action: str  # "load" or "swap"
    name: str
    other: str
    urgency: int
