"""Command that accepts configuration files."""

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
    """Validate files and put them in force as the next revision.

    The base revision is the one that the change was written against; it
    defaults to the stored one. A change identifier that is sent again takes
    effect once.
    """
    texts = file_reader.read_files(files)
    if base_revision < 0:
        base_revision = revisions.current(session)
    change_id = change_id or str(uuid.uuid4())
    session.note(f"change identifier {change_id}")
    body = session.administration.post(
        "configuration",
        {
            "files": texts,
            "base_revision": base_revision,
            "change_id": change_id,
        },
    )
    session.show(body, revisions.describe_change(body))
