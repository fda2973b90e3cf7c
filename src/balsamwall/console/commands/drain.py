"""Command that drains a VM."""

from __future__ import annotations

from typing import TYPE_CHECKING
import urllib.parse

from balsamwall.console import command_registry

if TYPE_CHECKING:
    from balsamwall.console import session as console_session


@command_registry.command("drain")
def drain(session: console_session.Session, vm: str) -> None:
    """Drain a VM; this cannot be undone once its agent is informed."""
    name = urllib.parse.quote(vm, safe="")
    body = session.administration.post(f"vms/{name}/drain", {})
    if body["can_be_withdrawn"]:
        text = f"{vm}: no agent is reachable; the drain waits for it"
    else:
        text = f"{vm}: the agent has the leaving mark, which is permanent"
    session.show(body, text)
