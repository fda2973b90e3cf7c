"""Command that lists models with their replicas and workspaces."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.console import command_registry

if TYPE_CHECKING:
    from balsamwall.console import session as console_session

COLUMNS = ("name", "version", "weight_bytes", "replicas", "workspaces")


@command_registry.command("models")
def models(session: console_session.Session) -> None:
    """List models with their replicas and workspaces."""
    body = session.administration.get("models")
    session.show_table(body, body["models"], COLUMNS)
