"""Composition of the components of one agent unit, without sockets."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

import eliot

from balsamwall.agent import agent_parts
from balsamwall.agent import state_reporter
from balsamwall.agent import successor_watch
from balsamwall.protocol import message_hub
from balsamwall.protocol import messages_request
from balsamwall.protocol import messages_state

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.configuration import tenant_configuration
    from balsamwall.protocol import message
    from balsamwall.protocol import messages_session
    from balsamwall.protocol import outbox
    from balsamwall.protocol import session
    from balsamwall.timing import clock

DRAIN_PROPAGATION_MS = 3_000
# The last Chunk and End still wait for their Ack after a drain. Entries read
# them within one ping interval.
DRAIN_LINGER_MS = 1_000

# Only entries may send these, since they are responsible for the requests.
_ENTRY_ONLY_TYPES = (
    messages_request.Dispatch,
    messages_request.Ack,
    messages_request.Reattach,
    messages_request.Cancel,
)


class AgentCore:
    """Route messages, report state and drain one backend server."""

    __slots__ = (
        "_clock",
        "_revisions",
        "_count",
        "_drain_callbacks",
        "_hub",
        "_identity",
        "_leaving",
        "_open_steps",
        "_outbox",
        "_reporter",
        "_successors",
        "parts",
    )

    _leaving: messages_state.Leaving | None

    def __init__(
        self,
        clock: clock.Clock,
        identity: session.Identity,
        outbox: outbox.Outbox,
        parts: agent_parts.AgentParts,
        count: Callable[[str], None],
    ) -> None:
        self._clock = clock
        self._identity = identity
        self._outbox = outbox
        self._count = count
        self.parts = parts
        self._hub = message_hub.MessageHub(count)
        self._revisions: dict[str, int] = {}
        self._leaving = None
        self._open_steps: set[int] = set()
        self._drain_callbacks: list[Callable[[], None]] = []
        self._successors = successor_watch.SuccessorWatch(
            clock,
            lambda: self._hub.peers_of("entry"),
            lambda: self._hub.peers_of("agent"),
        )
        self._reporter = state_reporter.StateReporter(
            clock,
            outbox,
            parts,
            identity.incarnation,
            lambda: self.state,
            lambda: self._hub.peers_of("entry"),
            lambda: self._hub.peers_of("entry") + self._hub.peers_of("agent"),
        )
        for name, types in agent_parts.MESSAGE_TYPES.items():
            self._hub.add(getattr(parts, name), types)

    @property
    def vm(self) -> str:
        """Return the VM name, under which peers know the unit."""
        return self._identity.vm

    @property
    def is_leaving(self) -> bool:
        """Return whether this VM incarnation is marked as leaving."""
        return self._leaving is not None

    @property
    def state(self) -> str:
        """Return the reported state: leaving, starting, down or ready."""
        if self.is_leaving:
            return "leaving"
        source = self.parts.resident_source
        if source is None or not source.is_ready:
            return "starting"
        return "down" if source.is_down else "ready"

    @property
    def not_ready_reason(self) -> str:
        """Return why the unit accepts no requests; empty if it does."""
        return "" if self.state == "ready" else self.state

    def start(self) -> None:
        """Start the periodic state reports."""
        self._reporter.start()

    def on_message(self, peer: str, item: message.Message) -> None:
        """Validate the sender and route a message to its component."""
        if isinstance(item, _ENTRY_ONLY_TYPES):
            if self._hub.role_of(peer) != "entry":
                self._count("message_from_wrong_role")
                return
        if isinstance(item, messages_request.Dispatch):
            if item.tenant != self._identity.tenant:
                self._count("dispatch_of_another_tenant")
                return
        if isinstance(item, messages_state.Leaving):
            self._on_leaving(item)
        self._hub.on_message(peer, item)

    def on_peer_up(self, peer: str, hello: messages_session.Hello) -> None:
        """Notify the components of a new peer and send it the state."""
        self._hub.on_peer_up(peer, hello)
        self._successors.on_peer_up(peer)
        if self._leaving is not None:
            self._outbox.send(peer, self._leaving)
        if hello.role == "entry":
            self._reporter.send_all(peer)
        else:
            self._reporter.send_residents(peer)

    def on_peer_down(self, peer: str) -> None:
        """Notify the components that the connection to a peer was lost."""
        self._hub.on_peer_down(peer)

    def config_revisions(self) -> dict[str, int]:
        """Return the active configuration revision of each tenant."""
        if self.parts.configuration is not None:
            return self.parts.configuration.revisions()
        return dict(self._revisions)

    def on_configuration(
        self, configuration: tenant_configuration.TenantConfiguration
    ) -> None:
        """Apply a configuration if it is newer than the active one."""
        tenant, revision = configuration.tenant, configuration.revision
        if self._revisions.get(tenant, -1) >= revision:
            return
        self._revisions[tenant] = revision
        eliot.log_message(
            "configuration_in_force", tenant=tenant, revision=revision
        )
        for reader in self.parts.configuration_readers:
            reader.on_configuration(configuration)

    def begin_drain(
        self, source: str, on_drained: Callable[[], None] | None = None
    ) -> None:
        """Mark this VM incarnation as leaving, permanently.

        `on_drained` is called when all requests are finished. `source` is the
        origin of the drain: signal, operator, vm_list or engine.
        """
        if on_drained is not None:
            self._drain_callbacks.append(on_drained)
        if self._leaving is not None:
            return
        self._leaving = messages_state.Leaving(
            self._identity.vm, self._identity.incarnation, source
        )
        eliot.log_message(
            "agent_leaving", peer=self._identity.vm, source=source
        )
        for role in ("entry", "agent"):
            for peer in self._hub.peers_of(role):
                self._outbox.send(peer, self._leaving)
        self._reporter.report_if_changed()
        # Propagation of the mark is a drain step too: an idle agent stays up
        # until the entries have received it.
        self._clock.call_later(DRAIN_PROPAGATION_MS, self._finish_step, -1)
        steps = self.parts.drain_steps + self.parts.transfer_steps
        self._open_steps = {-1, *range(len(steps))}
        for index, step in enumerate(steps):
            step(functools.partial(self._finish_step, index))
        self._successors.start(self._give_up_transfers)

    def _give_up_transfers(self) -> None:
        """Finish the steps that need another process, as there is none."""
        first = len(self.parts.drain_steps)
        open_transfers = [step for step in self._open_steps if step >= first]
        if open_transfers:
            eliot.log_message(
                "agent_handover_given_up", peer=self._identity.vm
            )
        for step in open_transfers:
            self._finish_step(step)

    def _on_leaving(self, item: messages_state.Leaving) -> None:
        self._successors.on_leaving(item.vm)
        own = (self._identity.vm, self._identity.incarnation)
        if (item.vm, item.incarnation) == own:
            self.begin_drain(item.source)

    def _finish_step(self, index: int) -> None:
        if index not in self._open_steps:
            return
        self._open_steps.discard(index)
        if not self._open_steps:
            eliot.log_message("agent_drained", peer=self._identity.vm)
            self._clock.call_later(DRAIN_LINGER_MS, self._finish_drain)

    def _finish_drain(self) -> None:
        callbacks, self._drain_callbacks = self._drain_callbacks, []
        for callback in callbacks:
            callback()
