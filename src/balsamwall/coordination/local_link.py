"""Link of an entry to a coordinator in the same process."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.coordination import fleet_server
    from balsamwall.protocol import message


class LocalLink:
    """Link to a coordinator in the same process."""

    __slots__ = ("_server",)

    def __init__(self, server: fleet_server.FleetServer) -> None:
        self._server = server

    def send(self, item: message.Message) -> None:
        """Deliver the message without a network connection."""
        self._server.on_local_message(item)

    def close(self) -> None:
        """Do nothing, because there is no connection."""
