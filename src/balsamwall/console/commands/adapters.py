"""Command that lists adapters with their bases, replicas and workspaces."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.console import command_registry

if TYPE_CHECKING:
    from balsamwall.console import session as console_session

COLUMNS = ("name", "base", "version", "weight_bytes", "replicas", "workspaces")


@command_registry.command("adapters")
def adapters(session: console_session.Session) -> None:
    """List adapters with their bases, replicas and workspaces."""
    body = session.administration.get("adapters")
    session.show_table(body, body["adapters"], COLUMNS)
