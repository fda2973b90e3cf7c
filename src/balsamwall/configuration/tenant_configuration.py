"""Data classes of a tenant's configuration."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class ModelSpec:
    """Model that workspaces of the tenant can use."""

    name: str
    version: str
    weight_bytes: int
    kv_bytes_per_token: int
    max_context_tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class AdapterSpec:
    """Adapter of a base model."""

    name: str
    base: str
    version: str
    weight_bytes: int


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceSpec:
    """Non-model service; paths not listed as repeatable are not repeatable."""

    name: str
    is_repeatable: bool
    timeout_ms: int
    repeatable_paths: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class WorkspaceSpec:
    """Access, limits and placement weights of one workspace."""

    name: str
    api_key_hashes: tuple[str, ...]  # SHA-256 in hexadecimal
    models: tuple[str, ...]
    adapters: tuple[str, ...]
    services: tuple[str, ...]
    is_urgent_by_default: bool
    urgent_deadline_ms: int
    deferrable_deadline_ms: int
    first_token_ms: int
    requests_per_second: float
    burst: int
    max_concurrent: int
    max_output_tokens: int
    move_weight: float
    attainment_weight: float
    resend_window_ms: int
    are_opaque_keys_allowed: bool


@dataclasses.dataclass(slots=True, frozen=True)
class FleetSpec:
    """Capacity for the models and adapters of a tenant."""

    model_vms: int
    vm_memory_bytes: int
    kv_reserve: float  # fraction of memory reserved for the KV cache
    spare_vms: int  # VMs that may fail while all weights still fit
    availability_zones: int = 1


@dataclasses.dataclass(slots=True, frozen=True)
class WeightStoreSpec:
    """Load limits of the weight store, enforced by permits."""

    loads_per_second: float
    max_concurrent: int


@dataclasses.dataclass(slots=True, frozen=True)
class TenantConfiguration:
    """Accepted configuration of a tenant at one revision."""

    tenant: str
    revision: int
    change_id: str
    models: dict[str, ModelSpec]
    adapters: dict[str, AdapterSpec]
    services: dict[str, ServiceSpec]
    workspaces: dict[str, WorkspaceSpec]
    fleet: FleetSpec | None = None
    weight_store: WeightStoreSpec | None = None

    def base_of(self, name: str) -> str:
        """Return the base model of an adapter, or the model itself."""
        adapter = self.adapters.get(name)
        return adapter.base if adapter is not None else name

    def configured_names(self) -> set[str]:
        """Return models and adapters in use, with the bases of adapters."""
        names: set[str] = set()
        for workspace in self.workspaces.values():
            names.update(workspace.models)
            names.update(workspace.adapters)
        return names | {self.base_of(name) for name in names}
