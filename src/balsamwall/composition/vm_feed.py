"""Distribution of VM list updates within one process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.membership import vm_directory
from balsamwall.settings import address

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.infrastructure import vm_list_client
    from balsamwall.protocol import peer_table


class VmFeed:
    """Apply VM lists to the directory, the peer tables and the listeners."""

    __slots__ = ("_count", "_directory", "_listeners", "_tables")

    def __init__(self, count: Callable[[str], None]) -> None:
        self._count = count
        self._directory = vm_directory.VmDirectory()
        self._listeners: list[Callable[[vm_directory.VmDirectory], None]] = []
        self._tables: list[peer_table.PeerTable] = []

    @property
    def directory(self) -> vm_directory.VmDirectory:
        """Return the directory with the newest list applied."""
        return self._directory

    def add_table(self, table: peer_table.PeerTable) -> None:
        """Update the addresses in a peer table with each list from now on."""
        self._tables.append(table)

    def add_listener(
        self, listener: Callable[[vm_directory.VmDirectory], None]
    ) -> None:
        """Call back with the directory after each change of the list."""
        self._listeners.append(listener)

    def on_listing(self, listing: vm_list_client.VmListing) -> None:
        """Apply a list unless it is older than the current one."""
        records = [
            vm_directory.VmRecord(
                record.vm,
                record.availability_zone,
                record.tenant,
                record.role,
                record.state,
                record.address,
            )
            for record in listing.vms
        ]
        addresses = self._addresses(records)
        for table in self._tables:
            table.set_addresses(addresses)
        if self._directory.replace(listing.revision, records):
            for listener in self._listeners:
                listener(self._directory)

    def members(self, tenant: str) -> list[tuple[str, str]]:
        """Return the live VMs of a tenant with their availability zones."""
        return [
            (record.vm, record.availability_zone)
            for record in self._directory.records.values()
            if record.state == "live" and tenant in record.tenant.split()
        ]

    def agents(self, tenant: str) -> list[vm_directory.VmRecord]:
        """Return the agents of a tenant, including those that are leaving."""
        return [
            record
            for record in self._directory.records.values()
            if record.role == "agent" and record.tenant == tenant
        ]

    def entries(self, tenant: str) -> list[vm_directory.VmRecord]:
        """Return the live entries that serve a tenant."""
        return [
            record
            for record in self._directory.records.values()
            if record.role == "entry"
            and record.state == "live"
            and tenant in record.tenant.split()
        ]

    def _addresses(
        self, records: list[vm_directory.VmRecord]
    ) -> dict[str, address.Address]:
        addresses = {}
        for record in records:
            try:
                addresses[record.vm] = address.parse(record.address)
            except ValueError:
                # One invalid address must not hide the other VMs.
                self._count("vm_list_bad_address")
        return addresses
