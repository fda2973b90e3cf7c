"""Command that compares two stored revisions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.console import command_registry

if TYPE_CHECKING:
    from balsamwall.console import session as console_session


@command_registry.command("diff")
def diff(session: console_session.Session, old: int, new: int) -> None:
    """Print the difference between two stored revisions."""
    body = session.administration.get(
        "configuration/diff", **{"from": str(old), "to": str(new)}
    )
    session.show(body, str(body["difference_text"]))
