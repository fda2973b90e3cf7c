"""Define how the coordinator reaches the entries."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.protocol import message


class FleetLinks(Protocol):
    """Connections to the other entries and the entry in this process."""

    @property
    def count(self) -> int:
        """Return the number of connected entries, including this one."""

    def broadcast(self, item: message.Message) -> None:
        """Send a message to all entries."""

    def send(self, vm: str, item: message.Message) -> None:
        """Send a message to one entry, if it is connected."""

    def close_all(self) -> None:
        """Close the streams of the other entries."""
