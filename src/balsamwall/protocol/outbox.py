"""Interface for sending messages to peers."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.protocol import message


class Outbox(Protocol):
    """Sender of messages, without a guarantee of delivery."""

    def send(self, peer: str, item: message.Message) -> None:
        """Send a message to the peer with this VM name."""
