"""Command that withdraws a drain."""

from __future__ import annotations

from typing import TYPE_CHECKING
import urllib.parse

from balsamwall.console import command_registry

if TYPE_CHECKING:
    from balsamwall.console import session as console_session


@command_registry.command("undrain")
def undrain(session: console_session.Session, vm: str) -> None:
    """Withdraw a drain that the VM's agent has not seen.

    A leaving mark that an agent has seen is never removed; replace the VM
    instead. The exit code is then 3.
    """
    name = urllib.parse.quote(vm, safe="")
    body = session.administration.post(f"vms/{name}/undrain", {})
    session.show(body, f"{vm}: the waiting drain is withdrawn")
