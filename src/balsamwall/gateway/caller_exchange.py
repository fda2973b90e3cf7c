"""Define how a caller's connection and the request handling interact."""

from __future__ import annotations

import dataclasses
from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from balsamwall.gateway import held_bodies
    from balsamwall.gateway import http_fields
    from balsamwall.results import result_code


@dataclasses.dataclass(slots=True, frozen=True)
class RequestHead:
    """Hold a request line and header fields, with names in lower case."""

    method: bytes
    target: bytes
    fields: http_fields.Fields

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.split(b"?", 1)[0].decode("latin-1")


class ExchangeListener(Protocol):
    """Handle a request after it was read."""

    def on_caller_disconnected(self) -> None:
        """Handle the loss of the caller's connection."""

    def on_caller_blocked(self, is_blocked: bool) -> None:
        """Handle that the caller stopped or resumed reading the response."""

    def refuse_unrun(self, code: result_code.ResultCode, detail: str) -> bool:
        """Refuse the request unless a server may have run it.

        Return whether it was refused.
        """

    def drop_body(self) -> bool:
        """Release the body if it is kept only for a certified refusal.

        Return whether it was released.
        """


class ResponseConnection(Protocol):
    """Write the response to the request that was read last."""

    def set_listener(self, listener: ExchangeListener) -> None:
        """Set the handler of the request."""

    def begin(
        self,
        status: int,
        fields: Sequence[tuple[bytes, bytes]],
        length: int | None,
    ) -> None:
        """Write the head of the response.

        Without a length, the body is chunked or, for HTTP/1.0, ends with the
        connection.
        """

    def write(self, data: bytes) -> None:
        """Write a part of the body."""

    def finish(self) -> None:
        """End a complete response; the next request may be handled within."""

    def cut(self) -> None:
        """End a response so that the caller detects that it is incomplete."""


class CallerExchange(ResponseConnection, Protocol):
    """Hold the request of a caller and write its response."""

    @property
    def head(self) -> RequestHead:
        """Return the request line and fields."""

    @property
    def body(self) -> held_bodies.HeldBody:
        """Return the complete body."""

    @property
    def arrived_ms(self) -> int:
        """Return when the first byte of the request was read."""

    def release_body(self) -> None:
        """Release the body, which will not be sent again."""
