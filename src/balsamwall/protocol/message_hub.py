"""Delivery of messages and peer events within one process."""

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
    """Component that receives messages of some types."""

    def on_message(self, peer: str, item: message.Message) -> object:
        """Process a message from a peer, named by its VM."""


class MessageHub:
    """Handlers by message type, and observers of peers.

    The methods on_peer_up and on_peer_down of an observer are optional.
    """

    __slots__ = ("_count", "_observers", "_handlers", "_roles")

    def __init__(self, count: Callable[[str], None]) -> None:
        self._count = count
        self._handlers: dict[type[message.Message], list[MessageHandler]] = {}
        self._observers: list[Any] = []
        self._roles: dict[str, str] = {}

    def add(
        self,
        handler: MessageHandler | None,
        types: Iterable[type[message.Message]],
    ) -> None:
        """Deliver messages of these types and peer events; ignore None."""
        if handler is None:
            return
        for item_type in types:
            handlers = self._handlers.setdefault(item_type, [])
            if not any(known is handler for known in handlers):
                handlers.append(handler)
        self.observe(handler)

    def observe(self, observer: object | None) -> None:
        """Deliver peer events to an object; ignore None."""
        if observer is not None and not any(
            known is observer for known in self._observers
        ):
            self._observers.append(observer)

    def on_message(self, peer: str, item: message.Message) -> None:
        """Deliver a message to the handlers of its type; count it if none."""
        handlers = self._handlers.get(type(item))
        if handlers is None:
            self._count("message_without_owner")
            return
        for handler in handlers:
            handler.on_message(peer, item)

    def on_peer_up(self, peer: str, hello: messages_session.Hello) -> None:
        """Record the role of the peer and notify all observers."""
        self._roles[peer] = hello.role
        for observer in self._observers:
            on_peer_up = getattr(observer, "on_peer_up", None)
            if on_peer_up is not None:
                on_peer_up(peer, hello)

    def on_peer_down(self, peer: str) -> None:
        """Remove the peer and notify all observers."""
        self._roles.pop(peer, None)
        for observer in self._observers:
            on_peer_down = getattr(observer, "on_peer_down", None)
            if on_peer_down is not None:
                on_peer_down(peer)

    def role_of(self, peer: str) -> str:
        """Return the role of a connected peer, or an empty string."""
        return self._roles.get(peer, "")

    def peers_of(self, role: str) -> list[str]:
        """Return the connected peers that have a role."""
        return [peer for peer, known in self._roles.items() if known == role]
