"""Command that shows the active configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.console import command_registry

if TYPE_CHECKING:
    from balsamwall.console import session as console_session


@command_registry.command("show")
def show(session: console_session.Session, revision: int = 0) -> None:
    """Print the files in force, or those of a stored revision."""
    path = "configuration"
    if revision:
        path += f"/revisions/{revision}"
    body = session.administration.get(path)
    lines = [f"# revision {body['revision']}, change {body['change_id']}"]
    if "author" in body:
        lines[0] += f" by {body['author']}"
    if body.get("source"):
        lines.append(f"# from: {body['source']}")
    for name, text in body["files"].items():
        lines += [f"# file: {name}", text.rstrip("\n")]
    session.show(body, "\n".join(lines))
