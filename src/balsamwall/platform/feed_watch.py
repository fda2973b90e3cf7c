"""Watches of the feed, and calls of its listeners."""

from __future__ import annotations

import traceback
from typing import TYPE_CHECKING

import eliot

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.infrastructure import key_value_service

MAX_LOGGED_KEY_LENGTH = 200


class FeedWatch:
    """Handle of a watch on a key or a prefix."""

    __slots__ = ("_on_change", "_remove", "is_prefix", "key")

    def __init__(
        self,
        key: str,
        on_change: Callable[[key_value_service.KeyValue], None],
        is_prefix: bool,
        remove: Callable[[FeedWatch], None],
    ) -> None:
        """Set the function that ends the watch."""
        self._on_change = on_change
        self._remove = remove
        self.key = key
        self.is_prefix = is_prefix

    def cancel(self) -> None:
        """End the watch; idempotent."""
        self._remove(self)

    def matches(self, key: str) -> bool:
        """Return whether the watch covers a key."""
        return key.startswith(self.key) if self.is_prefix else key == self.key

    def notify(self, item: key_value_service.KeyValue) -> None:
        """Deliver an item; an exception of the listener is logged."""
        call_listener(
            item.key[:MAX_LOGGED_KEY_LENGTH], lambda: self._on_change(item)
        )


def call_listener(subject: str, listener: Callable[[], None]) -> None:
    """Call a listener, whose exception must not end the feed of all others.

    The text of the exception is not logged, since it may hold API keys.
    """
    try:
        listener()
    except Exception as error:
        frame = traceback.extract_tb(error.__traceback__)[-1]
        eliot.log_message(
            "store_listener_failed",
            subject=subject,
            error=type(error).__name__,
            place=f"{frame.name}:{frame.lineno}",
        )
