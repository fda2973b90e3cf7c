"""Command that applies configuration files."""

from __future__ import annotations

from typing import TYPE_CHECKING
import uuid

from balsamwall.console import command_registry
from balsamwall.console import file_reader
from balsamwall.console import revisions

if TYPE_CHECKING:
    from balsamwall.console import session as console_session


@command_registry.command("apply")
def apply(
    session: console_session.Session,
    *files: str,
    base_revision: int = -1,
    change_id: str = "",
) -> None:
    """Validate files and apply them as the next revision.

    The base revision is the one that the files were edited from; it defaults
    to the stored one. A change identifier takes effect at most once, so a
    command can be retried with the same identifier.
    """
    texts = file_reader.read_files(files)
    if base_revision < 0:
        base_revision = revisions.current_revision(session)
    change_id = change_id or str(uuid.uuid4())
    session.print_notice(f"change identifier {change_id}")
    body = session.administration.post(
        "configuration",
        {
            "files": texts,
            "base_revision": base_revision,
            "change_id": change_id,
        },
    )
    session.show(body, revisions.describe_change(body))
