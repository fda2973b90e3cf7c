"""Distribution of the VM list inside one process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.membership import vm_directory
from balsamwall.settings import address

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.infrastructure import vm_list_client
    from balsamwall.protocol import peer_table


class VmFeed:
    """Keep the directory, the addresses and the kept streams up to date."""

    __slots__ = ("_count", "_directory", "_listeners", "_tables")

    def __init__(self, count: Callable[[str], None]) -> None:
        self._count = count
        self._directory = vm_directory.VmDirectory()
        self._listeners: list[Callable[[vm_directory.VmDirectory], None]] = []
        self._tables: list[peer_table.PeerTable] = []

    @property
    def directory(self) -> vm_directory.VmDirectory:
        """Return the VMs as they were listed last."""
        return self._directory

    def add_table(self, table: peer_table.PeerTable) -> None:
        """Give the addresses of the VMs to a peer table."""
        self._tables.append(table)

    def add_listener(
        self, listener: Callable[[vm_directory.VmDirectory], None]
    ) -> None:
        """Call back after each change of the list."""
        self._listeners.append(listener)

    def on_listing(self, listing: vm_list_client.VmListing) -> None:
        """Take a list unless it is older than the one in use."""
        records = [
            vm_directory.VmRecord(
                row.vm,
                row.availability_zone,
                row.tenant,
                row.role,
                row.state,
                row.address,
            )
            for row in listing.vms
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
            (row.vm, row.availability_zone)
            for row in self._directory.records.values()
            if row.state == "live" and tenant in row.tenant.split()
        ]

    def agents(self, tenant: str) -> list[vm_directory.VmRecord]:
        """Return the agents of a tenant, leaving ones included."""
        return [
            row
            for row in self._directory.records.values()
            if row.role == "agent" and row.tenant == tenant
        ]

    def entries(self, tenant: str) -> list[vm_directory.VmRecord]:
        """Return the live entries that serve a tenant."""
        return [
            row
            for row in self._directory.records.values()
            if row.role == "entry"
            and row.state == "live"
            and tenant in row.tenant.split()
        ]

    def _addresses(
        self, records: list[vm_directory.VmRecord]
    ) -> dict[str, address.Address]:
        addresses = {}
        for row in records:
            try:
                addresses[row.vm] = address.parse(row.address)
            except ValueError:
                # One unusable row must not hide the other VMs.
                self._count("vm_list_bad_address")
        return addresses
