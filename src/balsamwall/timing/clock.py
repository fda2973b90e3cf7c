"""Interfaces of clocks and timers."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class Timer(Protocol):
    """Handle of a scheduled call."""

    def cancel(self) -> None:
        """Cancel the call; do nothing if it has already run."""


class Clock(Protocol):
    """Source of time and scheduler of delayed calls."""

    def now_ms(self) -> int:
        """Return monotonic time in milliseconds."""

    def wall_ms(self) -> int:
        """Return wall time in milliseconds since the Unix epoch."""

    def call_later(
        self, delay_ms: int, function: Callable[..., object], *args: object
    ) -> Timer:
        """Schedule one call of a function after a delay."""
