"""One request of a caller and its answer."""

from __future__ import annotations

import dataclasses
from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from balsamwall.gateway import http_fields


@dataclasses.dataclass(slots=True, frozen=True)
class RequestHead:
    """Request line and header fields, with names in lower case."""

    method: bytes
    target: bytes
    fields: http_fields.Fields

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.split(b"?", 1)[0].decode("latin-1")


class ExchangeListener(Protocol):
    """Owner of a request after it was read."""

    def on_caller_disconnected(self) -> None:
        """Learn that the caller closed its connection."""

    def on_caller_blocked(self, is_blocked: bool) -> None:
        """Learn that the caller reads too slowly, or reads again."""


class CallerExchange(Protocol):
    """Side of a request that writes the answer."""

    @property
    def head(self) -> RequestHead:
        """Return the request line and fields."""

    @property
    def body(self) -> bytes:
        """Return the whole body."""

    @property
    def arrived_ms(self) -> int:
        """Return when the first byte of the request was read."""

    def set_listener(self, listener: ExchangeListener) -> None:
        """Set the owner of the request."""

    def begin(
        self,
        status: int,
        fields: Sequence[tuple[bytes, bytes]],
        length: int | None,
    ) -> None:
        """Write the head; without a length the end is marked otherwise."""

    def write(self, data: bytes) -> None:
        """Write a part of the body."""

    def finish(self) -> None:
        """End a complete answer."""

    def cut(self) -> None:
        """End an answer so that it can't look complete."""
