"""Command that shows the effect of a change without applying it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.console import command_registry
from balsamwall.console import file_reader
from balsamwall.console import revisions

if TYPE_CHECKING:
    from balsamwall.console import session as console_session


@command_registry.command("dry-run")
def dry_run(session: console_session.Session, *files: str) -> None:
    """Validate files on the server; print the difference and the steps."""
    texts = file_reader.read_files(files)
    body = session.administration.post(
        "configuration/dry-run", {"files": texts}
    )
    session.show(body, revisions.describe_plan(body))
