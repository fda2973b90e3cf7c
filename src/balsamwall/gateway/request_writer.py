"""Write a request to a server at the speed at which the server reads it."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import interfaces
from zope.interface import declarations

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.gateway import held_bodies

# The transport copies what is written, so that at most this much of a body is
# in memory twice.
PIECE_BYTES = 65_536


@declarations.implementer(interfaces.IPullProducer)
class RequestWriter:
    """Write the bytes of one request piece by piece.

    Load pattern: servers read large bodies slowly. The body counts as held
    until the operating system has taken all of it.
    """

    __slots__ = ("_body", "_data", "_offset", "_on_written", "_transport")

    def __init__(
        self,
        transport: Any,
        data: bytes,
        body: held_bodies.HeldBody,
        on_written: Callable[[], None],
    ) -> None:
        self._transport = transport
        self._data = data
        self._offset = 0
        self._body = body
        self._on_written = on_written

    def start(self, head: bytes) -> None:
        """Write the head and the first piece."""
        self._body.retain(self)
        self._transport.write(head)
        # Asks for the first piece at once.
        self._transport.registerProducer(self, False)

    def resumeProducing(self) -> None:  # noqa: N802
        """Write the next piece, since the one before was taken."""
        if self._offset >= len(self._data):
            self._transport.unregisterProducer()
            self.stopProducing()
            self._on_written()
            return
        piece = self._data[self._offset : self._offset + PIECE_BYTES]
        self._offset += len(piece)
        self._transport.write(piece)

    def stopProducing(self) -> None:  # noqa: N802
        """Release the body; the rest is not written."""
        self._data = b""
        self._body.release(self)
