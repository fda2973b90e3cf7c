"""Define the settings of a gateway process."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from balsamwall.limits import quota_tolerance as quota_tolerance_module

if TYPE_CHECKING:
    from balsamwall.settings import address as address_module


@dataclasses.dataclass(slots=True, frozen=True)
class GatewaySettings:
    """Hold the validated settings; times are in milliseconds."""

    vm: str
    availability_zone: str
    ip: str
    callers: address_module.Address
    probes: address_module.Address
    store: address_module.Address
    fleet_port: int  # message streams between the entries
    metrics_port: int
    grace_ms: int  # from SIGTERM to SIGKILL
    lease_ms: int  # lease of the coordinator of engine orders
    min_lease_ms: int
    retry_share: float  # fraction of the requests of all entries
    retry_extra: float  # retries allowed in a window on top of the share
    retry_window_ms: int
    # Whether keys are refused once the configuration has not been confirmed as
    # the newest for max_unconfirmed_ms: one may have been revoked meanwhile.
    refuses_unconfirmed_keys: bool = False
    max_unconfirmed_ms: int = 5_000
    # Whether engines reject an order with a fencing token below one they have
    # seen. Without that, orders need the lease itself.
    engines_check_tokens: bool = True
    quota_tolerance: quota_tolerance_module.QuotaTolerance = (
        quota_tolerance_module.QuotaTolerance()
    )
