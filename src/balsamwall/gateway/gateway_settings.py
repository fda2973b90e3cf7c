"""Settings of an entry that forwards straight to backend servers."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.settings import address as address_module


@dataclasses.dataclass(slots=True, frozen=True)
class GatewaySettings:
    """Checked settings; times in milliseconds."""

    vm: str
    availability_zone: str
    ip: str
    callers: address_module.Address
    probes: address_module.Address
    store: address_module.Address
    fleet_port: int  # streams between the entries
    metrics_port: int
    grace_ms: int  # from SIGTERM to the kill
    lease_ms: int  # of the holder of the orders
    min_lease_ms: int
    retry_share: float  # of the requests, over all entries
    retry_extra: float  # retries allowed in a window beside the share
    retry_window_ms: int
