"""Describe a copy of a model or adapter in the memory of an engine."""

from __future__ import annotations

import dataclasses
import enum

CopyKey = tuple[str, str]


class CopyState(enum.Enum):
    """List the states of a copy as last known to the agent."""

    LOADING = "loading"
    READY = "ready"
    UNLOADING = "unloading"


@dataclasses.dataclass(slots=True, frozen=True)
class CopySpec:
    """Describe one version of a model or adapter, as named in an order."""

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
        """Return the key of its charge in the memory ledger."""
        return f"copy:{self.name}@{self.version}"


@dataclasses.dataclass(slots=True)
class ModelCopy:
    """Hold a copy with its state; a withdrawn copy accepts no new requests."""

    spec: CopySpec
    state: CopyState
    is_withdrawn: bool = False
    # Time on the agent's monotonic clock at which the copy was first listed or
    # became ready, whichever is later.
    ready_ms: int = 0
