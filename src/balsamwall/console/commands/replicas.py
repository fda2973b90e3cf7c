"""Command that lists where models and adapters are resident."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.console import command_registry

if TYPE_CHECKING:
    from balsamwall.console import session as console_session

COLUMNS = ("name", "vms")


@command_registry.command("replicas")
def replicas(session: console_session.Session, name: str = "") -> None:
    """List the VMs that hold each model and adapter, or the named one."""
    query = {"name": name} if name else {}
    body = session.administration.get("replicas", **query)
    session.show_table(body, body["replicas"], COLUMNS)
