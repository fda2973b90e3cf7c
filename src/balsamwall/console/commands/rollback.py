"""Command that rolls back to an earlier revision."""

from __future__ import annotations

from typing import TYPE_CHECKING
import uuid

from balsamwall.console import command_registry
from balsamwall.console import revisions

if TYPE_CHECKING:
    from balsamwall.console import session as console_session


@command_registry.command("rollback")
def rollback(
    session: console_session.Session,
    revision: int,
    base_revision: int = -1,
    change_id: str = "",
) -> None:
    """Apply the files of a stored revision as a new, higher revision."""
    if base_revision < 0:
        base_revision = revisions.current_revision(session)
    change_id = change_id or str(uuid.uuid4())
    session.print_notice(f"change identifier {change_id}")
    body = session.administration.post(
        "configuration/rollback",
        {
            "to_revision": revision,
            "base_revision": base_revision,
            "change_id": change_id,
        },
    )
    session.show(body, revisions.describe_change(body))
