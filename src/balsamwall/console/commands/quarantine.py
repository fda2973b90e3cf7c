"""Command that lists quarantined request fingerprints."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.console import command_registry

if TYPE_CHECKING:
    from balsamwall.console import session as console_session

COLUMNS = ("fingerprint", "left_ms", "reason")


@command_registry.command("quarantine")
def quarantine(session: console_session.Session) -> None:
    """List quarantined request fingerprints."""
    body = session.administration.get("quarantine")
    session.show_table(body, body["quarantine"], COLUMNS)
