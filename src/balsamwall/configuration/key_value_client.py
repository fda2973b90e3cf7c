"""Part of the key-value service that the configuration needs."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from returns.result import Result

from balsamwall.results import exceptions


class KeyValueEntry(Protocol):
    """Value of a key and the revision at which it was written."""

    @property
    def value(self) -> bytes:
        """Return the value."""

    @property
    def revision(self) -> int:
        """Return the revision to compare with, above 0."""


class Watch(Protocol):
    """Handle of a pending watch."""

    def cancel(self) -> None:
        """End the watch; no further callback runs."""


GetCallback = Callable[
    [Result[KeyValueEntry | None, exceptions.BalsamwallError]], None
]
SwapCallback = Callable[[Result[int, exceptions.BalsamwallError]], None]
WatchCallback = Callable[
    [Result[KeyValueEntry, exceptions.BalsamwallError]], None
]


class KeyValueClient(Protocol):
    """Client of the key-value service; each call ends in its callback."""

    def get(self, key: str, callback: GetCallback) -> None:
        """Read a key; an absent key gives None."""

    def compare_and_swap(
        self,
        key: str,
        expected_revision: int,
        value: bytes,
        callback: SwapCallback,
    ) -> None:
        """Write a key if its revision is as expected (0: absent).

        The result is the new revision; a failure is COMPARE_FAILED (the
        write did not take effect) or another code (it may have).
        """

    def watch(self, key: str, callback: WatchCallback) -> Watch:
        """Report each later write; a failure ends the watch."""
