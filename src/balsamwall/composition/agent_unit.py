"""Components of an agent that every kind of backend server needs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.execution import crash_attribution

if TYPE_CHECKING:
    from balsamwall.composition import vm_feed
    from balsamwall.configuration import tenant_configuration
    from balsamwall.membership import vm_directory
    from balsamwall.protocol import message
    from balsamwall.protocol import messages_session
    from balsamwall.protocol import messages_state
    from balsamwall.protocol import peer_table
    from balsamwall.protocol import session
    from balsamwall.timing import clock as clock_module

# Agents connect to each other only in tenants of at most this many agents.
MAX_CONNECTED_AGENTS = 64


class AgentUnit:
    """Base of the units for model engines and plain services."""

    __slots__ = (
        "_clock",
        "_configuration",
        "_entries",
        "_feed",
        "_identity",
        "_peers",
        "_table",
        "crash",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        table: peer_table.PeerTable,
        identity: session.Identity,
        feed: vm_feed.VmFeed,
    ) -> None:
        self._clock = clock
        self._table = table
        self._identity = identity
        self._feed = feed
        self._entries: set[str] = set()
        self._peers: set[str] = set()
        self._configuration: (
            tenant_configuration.TenantConfiguration | None
        ) = None
        self.crash = crash_attribution.CrashAttribution(
            clock, identity.vm, self._broadcast_verdict
        )
        feed.add_listener(self._on_vms)

    def on_message(self, peer: str, item: message.Message) -> None:
        """Apply a crash verdict; the message must be a Verdict."""
        self.crash.on_verdict(item)  # type: ignore[arg-type]

    def on_peer_up(self, peer: str, hello: messages_session.Hello) -> None:
        """Send the active crash verdicts to a new peer."""
        self._peers.add(peer)
        if hello.role == "entry":
            self._entries.add(peer)
        for item in self.crash.current_verdicts():
            self._table.send(peer, item)

    def on_peer_down(self, peer: str) -> None:
        """Stop sending crash verdicts to a peer."""
        self._peers.discard(peer)
        self._entries.discard(peer)

    def entries(self) -> set[str]:
        """Return the names of the connected entries.

        The set is not a copy and changes as entries connect and disconnect.
        """
        return self._entries

    def on_configuration(
        self, configuration: tenant_configuration.TenantConfiguration
    ) -> None:
        """Store the active configuration."""
        self._configuration = configuration

    def _broadcast_verdict(self, item: messages_state.Verdict) -> None:
        for peer in sorted(self._peers):
            self._table.send(peer, item)

    def _on_vms(self, directory: vm_directory.VmDirectory) -> None:
        agents = self._feed.agents(self._identity.tenant)
        if len(agents) > MAX_CONNECTED_AGENTS:
            return
        # Only the agent with the lower name connects, so that each pair of
        # agents has one stream.
        self._table.keep_connected(
            record.vm for record in agents if record.vm > self._identity.vm
        )
