"""Interface between residency and the permits for the weight store."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.protocol import message


class PermitSource(Protocol):
    """Source of permits; each permits one load from the weight store."""

    def acquire(
        self, name: str, urgency: int, callback: Callable[[int], None]
    ) -> int:
        """Ask for a permit; call back with its identifier when granted."""

    def is_usable(self, permit_id: int) -> bool:
        """Tell whether a load may still start under a permit."""

    def mark_started(self, permit_id: int) -> None:
        """Note that the load of a permit starts now."""

    def release(self, permit_id: int) -> None:
        """Give a permit or a request for one back."""

    def on_message(self, peer: str, item: message.Message) -> bool:
        """Handle a permit message; tell whether it was one."""


class OpenPermitSource:
    """Source that grants every permit at once, for a single backend."""

    __slots__ = ("_last_id",)

    def __init__(self) -> None:
        self._last_id = 0

    def acquire(
        self, name: str, urgency: int, callback: Callable[[int], None]
    ) -> int:
        """Grant a permit at once."""
        self._last_id += 1
        callback(self._last_id)
        return self._last_id

    def is_usable(self, permit_id: int) -> bool:
        """Tell that the permit is usable."""
        return True

    def mark_started(self, permit_id: int) -> None:
        """Do nothing."""

    def release(self, permit_id: int) -> None:
        """Do nothing."""

    def on_message(self, peer: str, item: message.Message) -> bool:
        """Leave the message to others."""
        return False
