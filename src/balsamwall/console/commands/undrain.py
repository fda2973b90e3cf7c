"""Command that withdraws a drain."""

from __future__ import annotations

from typing import TYPE_CHECKING
import urllib.parse

from balsamwall.console import command_registry

if TYPE_CHECKING:
    from balsamwall.console import session as console_session


@command_registry.command("undrain")
def undrain(session: console_session.Session, vm: str) -> None:
    """Cancel a drain that the VM's agent has not received.

    A drain that the agent has received cannot be cancelled, and the exit code
    is 3; replace the VM instead.
    """
    name = urllib.parse.quote(vm, safe="")
    body = session.administration.post(f"vms/{name}/undrain", {})
    session.show(body, f"{vm}: the waiting drain is withdrawn")
