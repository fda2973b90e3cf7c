"""Command that lists the stored revisions."""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING

from balsamwall.console import command_registry

if TYPE_CHECKING:
    from balsamwall.console import session as console_session


@command_registry.command("history")
def history(session: console_session.Session) -> None:
    """List the stored revisions, newest first."""
    body = session.administration.get("configuration/history")
    rows = [
        {
            **entry,
            "changed": datetime.datetime.fromtimestamp(
                entry["changed_ms"] / 1_000, datetime.UTC
            ).strftime("%Y-%m-%d %H:%M:%SZ"),
            "rollback_of": entry["rollback_of"] or "",
        }
        for entry in body["entries"]
    ]
    columns = ("revision", "changed", "author", "rollback_of", "change_id")
    session.show_table(body, rows, columns)
