"""Hold one request of a caller's connection, and write its response."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from balsamwall.gateway import caller_exchange
    from balsamwall.gateway import held_bodies


class RequestExchange:
    """Hold the request, and write on its connection until the response ends.

    The connection handles the caller's next request within the end of a
    response, so that a late call for this one must not reach it.
    """

    __slots__ = ("_arrived_ms", "_body", "_connection", "_has_ended", "_head")

    def __init__(
        self,
        connection: caller_exchange.ResponseConnection,
        head: caller_exchange.RequestHead,
        body: held_bodies.HeldBody,
        arrived_ms: int,
    ) -> None:
        self._connection = connection
        self._head = head
        self._body = body
        self._arrived_ms = arrived_ms
        self._has_ended = False

    @property
    def head(self) -> caller_exchange.RequestHead:
        """Return the request line and fields."""
        return self._head

    @property
    def body(self) -> held_bodies.HeldBody:
        """Return the complete body."""
        return self._body

    @property
    def arrived_ms(self) -> int:
        """Return when the first byte of the request was read."""
        return self._arrived_ms

    def set_listener(self, listener: caller_exchange.ExchangeListener) -> None:
        """Set the handler of the request."""
        if not self._has_ended:
            self._connection.set_listener(listener)

    def release_body(self) -> None:
        """Release the body, which will not be sent again."""
        self._body.release(self._body.owner)

    def begin(
        self,
        status: int,
        fields: Sequence[tuple[bytes, bytes]],
        length: int | None,
    ) -> None:
        """Write the head of the response."""
        if not self._has_ended:
            self._connection.begin(status, fields, length)

    def write(self, data: bytes) -> None:
        """Write a part of the body."""
        if not self._has_ended:
            self._connection.write(data)

    def finish(self) -> None:
        """End a complete response."""
        if not self._has_ended:
            self._has_ended = True
            self._connection.finish()

    def cut(self) -> None:
        """End a response so that the caller detects that it is incomplete."""
        if not self._has_ended:
            self._has_ended = True
            self._connection.cut()
