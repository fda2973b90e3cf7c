"""Choice of the unit of a tenant at an entry that serves several."""

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
    """Hand requests, messages and configurations to the tenant's unit.

    Each tenant has decision objects of its own, so that nothing of one
    tenant can be routed to an agent of another.
    """

    __slots__ = ("_peers", "_requests", "units")

    def __init__(self, units: dict[str, entry_unit.EntryUnit]) -> None:
        self.units = units
        self._peers: dict[str, entry_unit.EntryUnit] = {}
        self._requests: dict[str, entry_unit.EntryUnit] = {}

    def submit(
        self,
        request: caller_request.CallerRequest,
        listener: caller_request.AnswerListener,
    ) -> None:
        """Start a request."""
        unit = self.units.get(request.tenant)
        if unit is None:
            code = result_code.ResultCode.UNKNOWN_TENANT
            listener.on_failure(
                caller_request.AnswerFailure(code, "not served here")
            )
            return
        self._requests[request.request_id] = unit
        unit.submit(request, _Closing(self, request.request_id, listener))

    def cancel(self, request_id: str) -> None:
        """Stop a request."""
        unit = self._requests.get(request_id)
        if unit is not None:
            unit.dispatcher.cancel(request_id)

    def close(self, request_id: str) -> None:
        """Forget a request that has ended."""
        self._requests.pop(request_id, None)

    def on_message(self, peer: str, item: message.Message) -> None:
        """Hand a message to the unit of its sender's tenant."""
        unit = self._peers.get(peer)
        if unit is not None:
            unit.on_message(peer, item)

    def on_peer_up(self, peer: str, hello: messages_session.Hello) -> None:
        """Tell the unit of an agent's tenant."""
        unit = self.units.get(hello.tenant)
        if unit is not None and hello.role == "agent":
            self._peers[peer] = unit
            unit.on_peer_up(peer, hello)

    def on_peer_down(self, peer: str) -> None:
        """Tell the unit of an agent's tenant."""
        unit = self._peers.pop(peer, None)
        if unit is not None:
            unit.on_peer_down(peer)

    def on_configuration(
        self, configuration: tenant_configuration.TenantConfiguration
    ) -> None:
        """Hand a configuration to its tenant's unit."""
        unit = self.units.get(configuration.tenant)
        if unit is not None:
            unit.on_configuration(configuration)

    def new_key(self, tenant: str, workspace: str, service: str) -> str:
        """Return a new idempotency key whose home is live, if any is."""
        return self.units[tenant].new_key(workspace, service)


class _Closing:
    """Listener that forgets its request at the end."""

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
        """Pass on a part."""
        self._listener.on_chunk(data)

    def on_end(self, end: caller_request.AnswerEnd) -> None:
        """Pass on the verified end."""
        self._switch.close(self._request_id)
        self._listener.on_end(end)

    def on_failure(self, failure: caller_request.AnswerFailure) -> None:
        """Pass on the failure."""
        self._switch.close(self._request_id)
        self._listener.on_failure(failure)
