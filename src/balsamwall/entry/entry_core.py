"""Core of an entry: configurations, API keys and open requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eliot

from balsamwall.dispatch import caller_request
from balsamwall.entry import entry_parts
from balsamwall.entry import key_table
from balsamwall.protocol import message_hub
from balsamwall.results import exceptions
from balsamwall.results import result_code

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.configuration import tenant_configuration
    from balsamwall.protocol import message
    from balsamwall.protocol import messages_session
    from balsamwall.timing import clock

# Time for the load balancer to see that the entry is not ready.
DRAIN_PROPAGATION_MS = 3_000
# Interval of the check whether all requests have finished.
DRAIN_POLL_MS = 100
# Time to write the ends of the last responses.
DRAIN_LINGER_MS = 1_000
# Wait before a retry that a refused caller is told.
NOT_READY_RETRY_MS = 1_000


class EntryCore:
    """State of an entry and router of its messages, without sockets."""

    __slots__ = (
        "_clock",
        "_configurations",
        "_drain_started_ms",
        "_hub",
        "_keys",
        "_open_request_ids",
        "parts",
    )

    _drain_started_ms: int | None

    def __init__(
        self,
        clock: clock.Clock,
        parts: entry_parts.EntryParts,
        count: Callable[[str], None],
        rejected_keys_per_second: int,
    ) -> None:
        self._clock = clock
        self.parts = parts
        self._hub = message_hub.MessageHub(count)
        self._configurations: dict[
            str, tenant_configuration.TenantConfiguration
        ] = {}
        limiter = key_table.RejectionLimiter(clock, rejected_keys_per_second)
        self._keys = key_table.KeyTable(limiter)
        self._open_request_ids: set[str] = set()
        self._drain_started_ms = None
        for name, types in entry_parts.MESSAGE_TYPES.items():
            self._hub.add(getattr(parts, name), types)

    @property
    def open_requests(self) -> int:
        """Return the number of requests in progress."""
        return len(self._open_request_ids)

    @property
    def agents(self) -> list[str]:
        """Return the names of the connected agents."""
        return self._hub.peers_of("agent")

    @property
    def is_leaving(self) -> bool:
        """Return whether the entry is draining."""
        return self._drain_started_ms is not None

    @property
    def not_ready_reason(self) -> str:
        """Return why the entry is not ready; empty if it is ready."""
        if self.is_leaving:
            return "leaving"
        if self.parts.dispatcher is None:
            return "no dispatcher"
        if not self._configurations:
            return "no configuration"
        if not self.agents:
            return "no agent is reachable"
        return ""

    def on_message(self, peer: str, item: message.Message) -> None:
        """Route a message to the component that handles its type."""
        self._hub.on_message(peer, item)

    def on_peer_up(self, peer: str, hello: messages_session.Hello) -> None:
        """Notify the components of a connected peer."""
        self._hub.on_peer_up(peer, hello)

    def on_peer_down(self, peer: str) -> None:
        """Notify the components of a lost peer."""
        self._hub.on_peer_down(peer)

    def config_revisions(self) -> dict[str, int]:
        """Return the active configuration revision of each tenant."""
        if self.parts.configuration is not None:
            return self.parts.configuration.revisions()
        return {
            tenant: configuration.revision
            for tenant, configuration in self._configurations.items()
        }

    def on_configuration(
        self, configuration: tenant_configuration.TenantConfiguration
    ) -> None:
        """Apply a configuration if it is newer than the active one."""
        known = self._configurations.get(configuration.tenant)
        if known is not None and known.revision >= configuration.revision:
            return
        self._configurations[configuration.tenant] = configuration
        self._keys.replace(
            (digest, f"{tenant} {workspace.name}")
            for tenant, item in self._configurations.items()
            for workspace in item.workspaces.values()
            for digest in workspace.api_key_hashes
        )
        eliot.log_message(
            "configuration_in_force",
            tenant=configuration.tenant,
            revision=configuration.revision,
        )
        for reader in self.parts.configuration_readers:
            reader.on_configuration(configuration)

    def authenticate(
        self, authorization: str | None, address: str
    ) -> tuple[
        tenant_configuration.TenantConfiguration,
        tenant_configuration.WorkspaceSpec,
    ]:
        """Return the configuration and workspace that a bearer key belongs to.

        Raise BalsamwallError if there is no configuration yet, or if the key
        is rejected.
        """
        if not self._configurations:
            # Without a configuration no key is known, so an authentication
            # error would wrongly reject a valid key.
            raise exceptions.BalsamwallError(
                result_code.ResultCode.NOT_READY,
                "the entry has no configuration yet",
            )
        owner = self._keys.find(authorization, address)
        tenant, _, workspace = owner.partition(" ")
        configuration = self._configurations[tenant]
        return configuration, configuration.workspaces[workspace]

    def submit(
        self,
        request: caller_request.CallerRequest,
        listener: caller_request.AnswerListener,
    ) -> None:
        """Start a request; the listener gets exactly one end or failure."""
        dispatcher = self.parts.dispatcher
        refusal = None
        if dispatcher is None:
            refusal = result_code.ResultCode.NOT_READY
        elif self._is_drain_propagated:
            refusal = result_code.ResultCode.LEAVING
        if dispatcher is None or refusal is not None:
            listener.on_failure(
                caller_request.AnswerFailure(
                    refusal or result_code.ResultCode.NOT_READY,
                    "this entry accepts no requests",
                    NOT_READY_RETRY_MS,
                )
            )
            return
        request_id = request.request_id
        self._open_request_ids.add(request_id)
        dispatcher.submit(request, _OpenRequest(self, request_id, listener))

    def cancel(self, request_id: str) -> None:
        """Cancel a request; do nothing if it is already finished."""
        if request_id in self._open_request_ids:
            self._open_request_ids.discard(request_id)
            if self.parts.dispatcher is not None:
                self.parts.dispatcher.cancel(request_id)

    def begin_drain(self, on_drained: Callable[[], None]) -> None:
        """Begin to drain; call back when all requests have finished.

        Requests are still accepted for DRAIN_PROPAGATION_MS, until the load
        balancer has stopped sending them. A further call has no effect, and
        its callback is not called.
        """
        if self._drain_started_ms is None:
            self._drain_started_ms = self._clock.now_ms()
            eliot.log_message(
                "entry_leaving", open_requests=len(self._open_request_ids)
            )
            self._clock.call_later(
                DRAIN_PROPAGATION_MS, self._check_drained, on_drained
            )

    def on_request_finished(self, request_id: str) -> None:
        """Remove a request from the open ones."""
        self._open_request_ids.discard(request_id)

    @property
    def _is_drain_propagated(self) -> bool:
        if self._drain_started_ms is None:
            return False
        return (
            self._clock.now_ms() - self._drain_started_ms
            >= DRAIN_PROPAGATION_MS
        )

    def _check_drained(self, on_drained: Callable[[], None]) -> None:
        if not self._open_request_ids:
            self._clock.call_later(DRAIN_LINGER_MS, on_drained)
            return
        self._clock.call_later(DRAIN_POLL_MS, self._check_drained, on_drained)


class _OpenRequest:
    """Listener that removes its request from the core when it finishes."""

    __slots__ = ("_core", "_listener", "_request_id")

    def __init__(
        self,
        core: EntryCore,
        request_id: str,
        listener: caller_request.AnswerListener,
    ) -> None:
        self._core = core
        self._request_id = request_id
        self._listener = listener

    def on_chunk(self, data: bytes) -> None:
        """Forward a chunk."""
        self._listener.on_chunk(data)

    def on_end(self, end: caller_request.AnswerEnd) -> None:
        """Forward the end of a response received in full."""
        self._core.on_request_finished(self._request_id)
        self._listener.on_end(end)

    def on_failure(self, failure: caller_request.AnswerFailure) -> None:
        """Forward the failure."""
        self._core.on_request_finished(self._request_id)
        self._listener.on_failure(failure)
