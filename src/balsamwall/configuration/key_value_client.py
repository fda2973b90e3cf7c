"""Part of the key-value service that the configuration needs."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from returns.result import Result

from balsamwall.results import result_code


class KeyValueEntry(Protocol):
    """Value of a key and the revision at which it was written."""

    @property
    def value(self) -> bytes | None:
        """Return the value, None after a delete."""

    @property
    def revision(self) -> int:
        """Return the revision to compare with, above 0."""


class Watch(Protocol):
    """Handle of a pending watch."""

    def cancel(self) -> None:
        """End the watch; no further callback runs."""


GetCallback = Callable[
    [Result[KeyValueEntry | None, result_code.ResultCode]], None
]
SwapCallback = Callable[[Result[int, result_code.ResultCode]], None]
WatchCallback = Callable[[KeyValueEntry], None]


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

        The result is the new revision. A failure is COMPARE_FAILED or
        PLATFORM_UNAVAILABLE (the write did not take effect), or another
        code (it may have taken effect).
        """

    def watch(self, key: str, on_change: WatchCallback) -> Watch:
        """Deliver the present value, then each newer one.

        The watch resumes by itself after an interruption.
        """
