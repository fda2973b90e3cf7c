"""Entries that hold leases and fixed shares of weight permits."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.membership import rendezvous

if TYPE_CHECKING:
    from balsamwall.composition import vm_feed
    from balsamwall.configuration import tenant_configuration

# Used until the configuration names the limits of the weight store.
DEFAULT_LOADS_PER_SECOND = 1.0
DEFAULT_LOADS_AT_ONCE = 2


def lease_candidate(feed: vm_feed.VmFeed, tenant: str, name: str) -> str:
    """Return the entry that may hold a lease, empty without an entry."""
    names = [row.vm for row in feed.entries(tenant)]
    return rendezvous.top_member(f"{tenant}/{name}", names) or ""


def share_owners(feed: vm_feed.VmFeed, tenant: str, count: int) -> list[str]:
    """Return the entries that own the fixed shares of permits."""
    names = [row.vm for row in feed.entries(tenant)]
    return rendezvous.top_members(f"{tenant}/permit-share", names, count)


def weight_store_limits(
    configuration: tenant_configuration.TenantConfiguration,
) -> tuple[float, int]:
    """Return loads per second and loads at once of the weight store."""
    spec = configuration.weight_store
    if spec is None:
        return DEFAULT_LOADS_PER_SECOND, DEFAULT_LOADS_AT_ONCE
    return spec.loads_per_second, spec.max_concurrent
