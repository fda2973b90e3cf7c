"""Selection of the entries that hold leases and shares of load permits."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.membership import rendezvous

if TYPE_CHECKING:
    from balsamwall.composition import vm_feed
    from balsamwall.configuration import tenant_configuration

# Limits of loads if the configuration has no weight store section.
DEFAULT_LOADS_PER_SECOND = 1.0
DEFAULT_CONCURRENT_LOADS = 2


def lease_candidate(feed: vm_feed.VmFeed, tenant: str, name: str) -> str:
    """Return the entry that may hold a lease; empty if there is no entry."""
    names = [record.vm for record in feed.entries(tenant)]
    return rendezvous.top_member(f"{tenant}/{name}", names) or ""


def share_owners(feed: vm_feed.VmFeed, tenant: str, count: int) -> list[str]:
    """Return the entries that own the first `count` permit shares.

    They are in the order of the shares. There are fewer than `count` if there
    are fewer live entries.
    """
    names = [record.vm for record in feed.entries(tenant)]
    return rendezvous.top_members(f"{tenant}/permit-share", names, count)


def weight_store_limits(
    configuration: tenant_configuration.TenantConfiguration,
) -> tuple[float, int]:
    """Return the loads per second and the maximum of concurrent loads."""
    spec = configuration.weight_store
    if spec is None:
        return DEFAULT_LOADS_PER_SECOND, DEFAULT_CONCURRENT_LOADS
    return spec.loads_per_second, spec.max_concurrent
