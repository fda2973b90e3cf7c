"""View of the platform's list of VMs."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable


@dataclasses.dataclass(slots=True, frozen=True)
class VmRecord:
    """Row of the VM list."""

    vm: str
    availability_zone: str
    tenant: str
    role: str
    state: str  # "live" or "leaving"
    address: str  # "ip:port" of the internal stream


class VmDirectory:
    """Merge of VM list snapshots; an older snapshot changes nothing."""

    __slots__ = (
        "_gone",
        "_on_gone",
        "_on_leaving",
        "_on_live",
        "_records",
        "_revision",
    )

    def __init__(self) -> None:
        self._revision = -1
        self._records: dict[str, VmRecord] = {}
        self._gone: set[str] = set()
        self._on_live: list[Callable[[VmRecord], object]] = []
        self._on_leaving: list[Callable[[VmRecord], object]] = []
        self._on_gone: list[Callable[[str], object]] = []

    @property
    def revision(self) -> int:
        """Return the revision of the snapshot in use, -1 without one."""
        return self._revision

    @property
    def records(self) -> dict[str, VmRecord]:
        """Return the listed VMs by name."""
        return self._records

    def subscribe(
        self,
        on_live: Callable[[VmRecord], object] | None = None,
        on_leaving: Callable[[VmRecord], object] | None = None,
        on_removed: Callable[[str], object] | None = None,
    ) -> None:
        """Call back on VMs that appear, start to leave or are gone."""
        if on_live is not None:
            self._on_live.append(on_live)
        if on_leaving is not None:
            self._on_leaving.append(on_leaving)
        if on_removed is not None:
            self._on_gone.append(on_removed)

    def is_removed(self, vm: str) -> bool:
        """Tell whether a VM was listed once and no longer is."""
        return vm in self._gone

    def replace(self, revision: int, records: Iterable[VmRecord]) -> bool:
        """Take a snapshot unless it is not newer than the one in use."""
        if revision <= self._revision:
            return False
        self._revision = revision
        before, now = self._records, {row.vm: row for row in records}
        self._records = now
        for vm in before.keys() - now.keys():
            self._gone.add(vm)
            for on_gone in self._on_gone:
                on_gone(vm)
        for vm, row in now.items():
            self._gone.discard(vm)
            self._tell_changes(before.get(vm), row)
        return True

    def _tell_changes(self, old: VmRecord | None, new: VmRecord) -> None:
        is_moved = old is not None and old.address != new.address
        if new.state == "live" and (old is None or is_moved):
            for on_live in self._on_live:
                on_live(new)
        if new.state == "leaving" and (old is None or old.state == "live"):
            for on_leaving in self._on_leaving:
                on_leaving(new)
