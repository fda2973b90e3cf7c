"""Distribution of messages to the decision objects of one process."""

from __future__ import annotations

from typing import Any
from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from balsamwall.protocol import message
    from balsamwall.protocol import messages_session


class MessageHandler(Protocol):
    """Decision object that takes messages."""

    def on_message(self, peer: str, item: message.Message) -> object:
        """Receive a message."""


class MessageHub:
    """Owners by message type and observers of peers.

    The methods on_peer_up and on_peer_down of an owner are optional.
    """

    __slots__ = ("_count", "_observers", "_owners", "_roles")

    def __init__(self, count: Callable[[str], None]) -> None:
        self._count = count
        self._owners: dict[type[message.Message], list[MessageHandler]] = {}
        self._observers: list[Any] = []
        self._roles: dict[str, str] = {}

    def add(
        self,
        owner: MessageHandler | None,
        types: Iterable[type[message.Message]],
    ) -> None:
        """Hand messages of these types to an owner; ignore None."""
        if owner is None:
            return
        for item_type in types:
            owners = self._owners.setdefault(item_type, [])
            if not any(known is owner for known in owners):
                owners.append(owner)
        self.observe(owner)

    def observe(self, observer: object | None) -> None:
        """Tell an object about peers; ignore None."""
        if observer is not None and not any(
            known is observer for known in self._observers
        ):
            self._observers.append(observer)

    def on_message(self, peer: str, item: message.Message) -> None:
        """Hand a message to its owners."""
        owners = self._owners.get(type(item))
        if owners is None:
            self._count("message_without_owner")
            return
        for owner in owners:
            owner.on_message(peer, item)

    def on_peer_up(self, peer: str, hello: messages_session.Hello) -> None:
        """Tell all observers."""
        self._roles[peer] = hello.role
        for observer in self._observers:
            on_peer_up = getattr(observer, "on_peer_up", None)
            if on_peer_up is not None:
                on_peer_up(peer, hello)

    def on_peer_down(self, peer: str) -> None:
        """Tell all observers."""
        self._roles.pop(peer, None)
        for observer in self._observers:
            on_peer_down = getattr(observer, "on_peer_down", None)
            if on_peer_down is not None:
                on_peer_down(peer)

    def role_of(self, peer: str) -> str:
        """Return the role of a reachable peer, empty for another one."""
        return self._roles.get(peer, "")

    def peers_of(self, role: str) -> list[str]:
        """Return the reachable peers of a role."""
        return [peer for peer, known in self._roles.items() if known == role]
