"""Command that lists leaving VMs and pending drains."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.console import command_registry

if TYPE_CHECKING:
    from balsamwall.console import session as console_session

COLUMNS = ("vm", "state", "running", "waiting", "author")


@command_registry.command("drains")
def drains(session: console_session.Session) -> None:
    """List leaving VMs, and drains that no agent has received yet."""
    body = session.administration.get("drains")
    session.show_table(body, body["drains"], COLUMNS)
