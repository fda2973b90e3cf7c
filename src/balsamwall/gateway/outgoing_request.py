"""Build the request that one attempt sends to a server."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

from balsamwall.gateway import attempt as attempt_module

if TYPE_CHECKING:
    from balsamwall.gateway import backend_directory
    from balsamwall.gateway import caller_exchange
    from balsamwall.gateway import incoming_request
    from balsamwall.gateway import request_dependencies
    from balsamwall.gateway import response_body
    from balsamwall.gateway import route as route_module
    from balsamwall.gateway import workspace as workspace_module


class SentRequest(Protocol):
    """Represent a request that is sent to servers."""

    request: incoming_request.IncomingRequest
    route: route_module.Route
    workspace: workspace_module.Workspace | None
    body: response_body.ResponseBody

    @property
    def left_ms(self) -> int:
        """Return the time left until the deadline of the response."""


def build(
    dependencies: request_dependencies.RequestDependencies,
    handler: SentRequest,
    exchange: caller_exchange.CallerExchange,
    server: backend_directory.BackendServer,
) -> attempt_module.OutgoingRequest:
    """Return the caller's request with the fields of the next attempt."""
    request, body, codec = handler.request, handler.body, dependencies.codec
    last_event_id = request.resumes_after
    if body.is_resumable:
        last_event_id = body.last_event_id
    workspace = handler.workspace
    attempt_fields = codec.attempt_fields(
        server.record,
        handler.left_ms,
        dependencies.priority_for(handler.route, workspace),
        last_event_id,
        workspace.name if workspace else "",
    )
    return attempt_module.build_outgoing_request(
        codec,
        exchange,
        attempt_fields,
        request.attempt_id,
        dependencies.authenticator.has_workspaces,
    )


def needs_new_connection(route: route_module.Route, sends: int) -> bool:
    """Return whether the given send must not reuse an idle connection.

    The server may be closing an idle connection, and a request that must not
    be repeated would then end with an unknown outcome. All sends of a request
    bear one identifier, so that on a reused connection a late response to an
    earlier send would be taken for that of this one.
    """
    is_unrepeatable = not route.is_repeatable and not route.is_stream
    return is_unrepeatable or sends > 1
