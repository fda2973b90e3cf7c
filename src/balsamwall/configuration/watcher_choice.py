"""Select the processes that watch the key-value service."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# With two, one can fail undetected without delaying changes.
WATCHERS_PER_ZONE = 2


def select_watchers(
    tenant: str, members: Iterable[tuple[str, str]]
) -> dict[str, list[str]]:
    """Return the watchers by availability zone.

    Members are pairs of VM name and availability zone. Processes with the
    same members select the same watchers (rendezvous hashing).
    """
    by_zone: dict[str, list[str]] = {}
    for vm, zone in set(members):
        by_zone.setdefault(zone, []).append(vm)
    return {
        zone: sorted(names, key=lambda vm: _score(tenant, vm))[
            :WATCHERS_PER_ZONE
        ]
        for zone, names in by_zone.items()
    }


def is_watcher(
    tenant: str, vm: str, zone: str, members: Iterable[tuple[str, str]]
) -> bool:
    """Return whether a VM watches a tenant's document for its zone."""
    zone_members = [member for member in members if member[1] == zone]
    return vm in select_watchers(tenant, [*zone_members, (vm, zone)])[zone]


def _score(tenant: str, vm: str) -> tuple[bytes, str]:
    text = f"{tenant}\0{vm}".encode()
    return hashlib.blake2b(text, digest_size=8).digest(), vm
