"""Define the permits that limit loads from the weight store."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.protocol import message


class PermitSource(Protocol):
    """Provide permits, each valid for one load from the weight store."""

    def acquire(
        self, name: str, urgency: int, callback: Callable[[int], None]
    ) -> int:
        """Request a permit; call back with its identifier when granted."""

    def is_usable(self, permit_id: int) -> bool:
        """Return whether a load may still start under a permit."""

    def mark_started(self, permit_id: int) -> None:
        """Record that the load under a permit starts now."""

    def release(self, permit_id: int) -> None:
        """Give a permit back or withdraw the request for it."""

    def on_message(self, peer: str, item: message.Message) -> bool:
        """Handle a permit message; return whether it was one."""


class UnlimitedPermitSource:
    """Grant every permit at once, for a single backend server."""

    __slots__ = ("_last_id",)

    def __init__(self) -> None:
        self._last_id = 0

    def acquire(
        self, name: str, urgency: int, callback: Callable[[int], None]
    ) -> int:
        """Call back with a new permit before returning."""
        self._last_id += 1
        callback(self._last_id)
        return self._last_id

    def is_usable(self, permit_id: int) -> bool:
        """Return True."""
        return True

    def mark_started(self, permit_id: int) -> None:
        """Do nothing."""

    def release(self, permit_id: int) -> None:
        """Do nothing."""

    def on_message(self, peer: str, item: message.Message) -> bool:
        """Return False; no message belongs to this source."""
        return False
