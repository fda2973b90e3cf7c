"""Data classes of the daemon settings."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.settings import address


@dataclasses.dataclass(slots=True, frozen=True)
class TlsSettings:
    """Paths of PEM files; peer certificates need the authority's signature."""

    certificate: str
    private_key: str
    authority: str


@dataclasses.dataclass(slots=True, frozen=True)
class LimitSettings:
    """Resource and rate limits of the process."""

    body_bytes: int
    total_body_bytes: int
    answer_bytes: int
    caller_connections: int
    caller_buffer_bytes: int
    peer_connections: int
    peer_buffer_bytes: int
    peer_frames_per_second: int
    rejected_keys_per_second: int


@dataclasses.dataclass(slots=True, frozen=True)
class AdministrationKey:
    """Administration API key with its scope; `tenant` may be "*"."""

    name: str
    tenant: str
    access: str  # "read" or "write"; "write" includes "read"
    sha256: str


@dataclasses.dataclass(slots=True, frozen=True)
class BackendSettings:
    """Backend server and the agent unit that serves it."""

    name: str
    kind: str  # "engine" or "service"
    server: address.Address
    peer: str
    listen: address.Address
    services: tuple[str, ...]
    max_order_delay_ms: int
    max_concurrent: int


@dataclasses.dataclass(slots=True, frozen=True)
class DaemonSettings:
    """All settings of one daemon."""

    role: str  # "entry" or "agent"
    vm: str
    tenant: str
    availability_zone: str
    listen_callers: address.Address | None
    listen_administration: address.Address | None
    listen_metrics: address.Address
    key_value: tuple[address.Address, ...]
    vm_list: address.Address
    weight_store: address.Address | None
    internal_keys: dict[str, bytes] = dataclasses.field(repr=False)
    current_key_id: str
    tls: TlsSettings | None
    limits: LimitSettings
    administration_keys: tuple[AdministrationKey, ...]
    backends: tuple[BackendSettings, ...]
