"""Administration endpoints that describe the entry itself."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.entry import administration

if TYPE_CHECKING:
    from balsamwall.entry import entry_core


@administration.endpoint("GET", "/v1/endpoints", administration.READ)
def list_endpoints(
    core: entry_core.EntryCore,
    call: administration.AdministrationCall,
    reply: administration.Reply,
) -> None:
    """List all endpoints with the access level that each requires."""
    rows = [
        {"method": item.method, "path": item.path, "access": item.access}
        for item in administration.endpoints()
    ]
    reply.send({"endpoints": rows})


@administration.endpoint(
    "GET", "/v1/tenants/{tenant}/status", administration.READ
)
def show_status(
    core: entry_core.EntryCore,
    call: administration.AdministrationCall,
    reply: administration.Reply,
) -> None:
    """Show readiness, open requests, revision and connected agents."""
    reply.send(
        {
            "is_leaving": core.is_leaving,
            "not_ready_reason": core.not_ready_reason,
            "open_requests": core.open_requests,
            "revision": core.config_revisions().get(call.tenant),
            "agents": sorted(core.agents),
        }
    )
