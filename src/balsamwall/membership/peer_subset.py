"""Selection of the agents that an entry connects to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.membership import rendezvous

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamwall.membership import vm_directory

SUBSET_AGENTS = 64


def choose_subset(
    entry_vm: str,
    availability_zone: str,
    agents: Iterable[vm_directory.VmRecord],
    size: int = SUBSET_AGENTS,
) -> set[str]:
    """Return the agents of an entry, all of them if at most `size`.

    Half of the subset comes from the availability zone of the entry. The
    rest is spread over the other zones, so that every entry keeps live
    agents when a zone is lost.
    """
    by_zone: dict[str, list[str]] = {}
    for record in agents:
        by_zone.setdefault(record.availability_zone, []).append(record.vm)
    total = sum(len(names) for names in by_zone.values())
    if total <= size:
        return {name for names in by_zone.values() for name in names}
    own = by_zone.pop(availability_zone, [])
    chosen = set(rendezvous.top_members(entry_vm, own, size // 2))
    for index, zone in enumerate(sorted(by_zone)):
        remaining_zones = len(by_zone) - index
        share = (size - len(chosen)) // remaining_zones
        chosen.update(rendezvous.top_members(entry_vm, by_zone[zone], share))
    return chosen
