"""Observe attempts for metrics and demand counts."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.protocol import messages_request


class RunObserver:
    """Observe attempts; the methods of this base class do nothing."""

    __slots__ = ()

    def on_start(
        self, dispatch: messages_request.Dispatch, waited_ms: int
    ) -> None:
        """Observe the start of an attempt, with its time in the queue."""

    def on_end(
        self, dispatch: messages_request.Dispatch, output_tokens: int
    ) -> None:
        """Observe a complete answer."""
