"""Command that clears a quarantined fingerprint."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.console import command_registry

if TYPE_CHECKING:
    from balsamwall.console import session as console_session


@command_registry.command("quarantine-clear")
def quarantine_clear(
    session: console_session.Session, fingerprint: str
) -> None:
    """Remove a fingerprint from quarantine, so that its requests run."""
    body = session.administration.post(
        "quarantine/clear", {"fingerprint": fingerprint}
    )
    session.show(body, f"{fingerprint} is cleared")
