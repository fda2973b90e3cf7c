"""Local replica of the VM list of the platform."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable


@dataclasses.dataclass(slots=True, frozen=True)
class VmRecord:
    """Entry of the VM list."""

    vm: str
    availability_zone: str
    tenant: str
    role: str
    state: str  # "live" or "leaving"
    address: str  # "ip:port" of the internal stream


class VmDirectory:
    """Latest snapshot of the VM list; ignores older snapshots."""

    __slots__ = (
        "_removed",
        "_on_removed",
        "_on_leaving",
        "_on_live",
        "_records",
        "_revision",
    )

    def __init__(self) -> None:
        self._revision = -1
        self._records: dict[str, VmRecord] = {}
        self._removed: set[str] = set()
        self._on_live: list[Callable[[VmRecord], object]] = []
        self._on_leaving: list[Callable[[VmRecord], object]] = []
        self._on_removed: list[Callable[[str], object]] = []

    @property
    def revision(self) -> int:
        """Return the revision of the latest snapshot, -1 without one."""
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
        """Register callbacks for VMs that are added, leaving or removed.

        `on_live` is also called when the address of a live VM changes.
        """
        if on_live is not None:
            self._on_live.append(on_live)
        if on_leaving is not None:
            self._on_leaving.append(on_leaving)
        if on_removed is not None:
            self._on_removed.append(on_removed)

    def is_removed(self, vm: str) -> bool:
        """Return whether a VM was listed before and no longer is."""
        return vm in self._removed

    def replace(self, revision: int, records: Iterable[VmRecord]) -> bool:
        """Apply a snapshot; return False if it is not newer."""
        if revision <= self._revision:
            return False
        self._revision = revision
        old_records, new_records = (
            self._records,
            {record.vm: record for record in records},
        )
        self._records = new_records
        for vm in old_records.keys() - new_records.keys():
            self._removed.add(vm)
            for on_removed in self._on_removed:
                on_removed(vm)
        for vm, record in new_records.items():
            self._removed.discard(vm)
            self._notify_changes(old_records.get(vm), record)
        return True

    def _notify_changes(self, old: VmRecord | None, new: VmRecord) -> None:
        has_new_address = old is not None and old.address != new.address
        if new.state == "live" and (old is None or has_new_address):
            for on_live in self._on_live:
                on_live(new)
        if new.state == "leaving" and (old is None or old.state == "live"):
            for on_leaving in self._on_leaving:
                on_leaving(new)
