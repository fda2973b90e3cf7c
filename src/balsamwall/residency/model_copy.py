"""Copy of a model or adapter in the memory of an engine."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.configuration import tenant_configuration

CopyKey = tuple[str, str]


class CopyState(enum.Enum):
    """State of a copy as far as the agent knows."""

    LOADING = "loading"
    READY = "ready"
    UNLOADING = "unloading"


@dataclasses.dataclass(slots=True, frozen=True)
class CopySpec:
    """What an order names: one version of a model or adapter."""

    name: str
    kind: str  # "model" or "adapter"
    version: str
    base: str  # base model of an adapter, else empty
    memory_bytes: int

    @property
    def key(self) -> CopyKey:
        """Return the name and version."""
        return (self.name, self.version)

    @property
    def ledger_key(self) -> str:
        """Return the key of the charge."""
        return f"copy:{self.name}@{self.version}"


@dataclasses.dataclass(slots=True)
class ModelCopy:
    """Copy with its state; a withdrawn copy takes no new requests."""

    spec: CopySpec
    state: CopyState
    is_withdrawn: bool = False
    ready_ms: int = 0


def find_spec(
    configuration: tenant_configuration.TenantConfiguration | None, name: str
) -> CopySpec | None:
    """Return the configured version of a name, or None."""
    if configuration is None:
        return None
    model = configuration.models.get(name)
    if model is not None:
        return CopySpec(name, "model", model.version, "", model.weight_bytes)
    adapter = configuration.adapters.get(name)
    if adapter is not None:
        return CopySpec(
            name,
            "adapter",
            adapter.version,
            adapter.base,
            adapter.weight_bytes,
        )
    return None
