"""Multiplexing of several tenants on one entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.dispatch import caller_request
from balsamwall.results import result_code

if TYPE_CHECKING:
    from balsamwall.composition import entry_unit
    from balsamwall.configuration import tenant_configuration
    from balsamwall.protocol import message
    from balsamwall.protocol import messages_session


class TenantSwitch:
    """Pass requests, messages and configurations to the tenant's unit.

    Each tenant has its own components, so that no request or message of
    one tenant can reach an agent of another.
    """

    __slots__ = ("_units_by_peer", "_units_by_request", "units")

    def __init__(self, units: dict[str, entry_unit.EntryUnit]) -> None:
        self.units = units
        self._units_by_peer: dict[str, entry_unit.EntryUnit] = {}
        self._units_by_request: dict[str, entry_unit.EntryUnit] = {}

    def submit(
        self,
        request: caller_request.CallerRequest,
        listener: caller_request.AnswerListener,
    ) -> None:
        """Submit a request; fail it with UNKNOWN_TENANT without a unit."""
        unit = self.units.get(request.tenant)
        if unit is None:
            code = result_code.ResultCode.UNKNOWN_TENANT
            listener.on_failure(
                caller_request.AnswerFailure(
                    code, "tenant is not served by this entry"
                )
            )
            return
        self._units_by_request[request.request_id] = unit
        unit.submit(
            request, _TrackedListener(self, request.request_id, listener)
        )

    def cancel(self, request_id: str) -> None:
        """Cancel a request; do nothing if it is unknown."""
        unit = self._units_by_request.get(request_id)
        if unit is not None:
            unit.dispatcher.cancel(request_id)

    def close(self, request_id: str) -> None:
        """Remove a finished request."""
        self._units_by_request.pop(request_id, None)

    def on_message(self, peer: str, item: message.Message) -> None:
        """Pass a message to the unit of the sending agent's tenant."""
        unit = self._units_by_peer.get(peer)
        if unit is not None:
            unit.on_message(peer, item)

    def on_peer_up(self, peer: str, hello: messages_session.Hello) -> None:
        """Notify the unit of the agent's tenant; ignore other roles."""
        unit = self.units.get(hello.tenant)
        if unit is not None and hello.role == "agent":
            self._units_by_peer[peer] = unit
            unit.on_peer_up(peer, hello)

    def on_peer_down(self, peer: str) -> None:
        """Notify the unit of the agent's tenant; ignore other roles."""
        unit = self._units_by_peer.pop(peer, None)
        if unit is not None:
            unit.on_peer_down(peer)

    def on_configuration(
        self, configuration: tenant_configuration.TenantConfiguration
    ) -> None:
        """Pass a configuration to the unit of its tenant."""
        unit = self.units.get(configuration.tenant)
        if unit is not None:
            unit.on_configuration(configuration)

    def new_key(self, tenant: str, workspace: str, service: str) -> str:
        """Return a new idempotency key, with a reachable home if any.

        The tenant must have a unit.
        """
        return self.units[tenant].new_key(workspace, service)


class _TrackedListener:
    """Wrapper of a listener that removes the request when it ends."""

    __slots__ = ("_listener", "_request_id", "_switch")

    def __init__(
        self,
        switch: TenantSwitch,
        request_id: str,
        listener: caller_request.AnswerListener,
    ) -> None:
        self._switch = switch
        self._request_id = request_id
        self._listener = listener

    def on_chunk(self, data: bytes) -> None:
        """Forward a chunk of the response."""
        self._listener.on_chunk(data)

    def on_end(self, end: caller_request.AnswerEnd) -> None:
        """Remove the request and forward the end of its response."""
        self._switch.close(self._request_id)
        self._listener.on_end(end)

    def on_failure(self, failure: caller_request.AnswerFailure) -> None:
        """Remove the request and forward the failure."""
        self._switch.close(self._request_id)
        self._listener.on_failure(failure)
