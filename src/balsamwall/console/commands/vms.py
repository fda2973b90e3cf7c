"""Command that lists VMs with their state, load and memory."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.console import command_registry

if TYPE_CHECKING:
    from balsamwall.console import session as console_session

COLUMNS = (
    "vm",
    "availability_zone",
    "role",
    "state",
    "config_revision",
    "running",
    "waiting",
    "committed_bytes",
    "capacity_bytes",
    "models",
    "adapters",
    "services",
)


@command_registry.command("vms")
def vms(session: console_session.Session) -> None:
    """List VMs with their state, load and memory."""
    body = session.administration.get("vms")
    session.show_table(body, body["vms"], COLUMNS)
