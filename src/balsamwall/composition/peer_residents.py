"""Models and adapters on the other agents of a tenant."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.membership import rendezvous
from balsamwall.protocol import messages_state

if TYPE_CHECKING:
    from balsamwall.protocol import message
    from balsamwall.protocol import messages_session


class PeerResidents:
    """Reported residents of each connected peer agent.

    An agent counts as an engine once it has reported residents without
    services.
    """

    __slots__ = ("_engines", "_incarnations", "_leaving", "_names", "_vm")

    def __init__(self, vm: str) -> None:
        self._vm = vm
        self._incarnations: dict[str, int] = {}
        self._names: dict[str, frozenset[str]] = {}
        self._engines: set[str] = set()
        self._leaving: set[tuple[str, int]] = set()

    def on_peer_up(self, peer: str, hello: messages_session.Hello) -> None:
        """Record an agent; drop the residents of an earlier incarnation."""
        if hello.role == "agent":
            if self._incarnations.get(peer) != hello.incarnation:
                self._names.pop(peer, None)
            self._incarnations[peer] = hello.incarnation

    def on_peer_down(self, peer: str) -> None:
        """Drop the reported residents of an agent."""
        self._incarnations.pop(peer, None)
        self._names.pop(peer, None)
        self._engines.discard(peer)

    def on_message(self, peer: str, item: message.Message) -> None:
        """Record resident reports and leaving marks."""
        if isinstance(item, messages_state.Leaving):
            self._leaving.add((item.vm, item.incarnation))
        elif isinstance(item, messages_state.Residents):
            if self._incarnations.get(peer) == item.incarnation:
                self._names[peer] = frozenset(item.models + item.adapters)
                if not item.services:
                    self._engines.add(peer)

    def holders(self, name: str) -> list[str]:
        """Return the connected VMs with a ready copy, except leaving ones."""
        return [
            peer
            for peer, names in self._names.items()
            if name in names and not self._is_leaving(peer)
        ]

    def load_targets(self, name: str) -> list[str]:
        """Return the engine agents without a copy, in order of preference."""
        free = [
            peer
            for peer in self._engines
            if name not in self._names.get(peer, frozenset())
            and not self._is_leaving(peer)
        ]
        return rendezvous.top_members(name, free, len(free))

    def _is_leaving(self, peer: str) -> bool:
        return (peer, self._incarnations.get(peer, 0)) in self._leaving
