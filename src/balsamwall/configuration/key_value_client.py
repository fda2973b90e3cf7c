"""Interface of the key-value service client."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from returns.result import Result

from balsamwall.results import result_code


class KeyValueEntry(Protocol):
    """Value of a key and the revision of its last write."""

    @property
    def value(self) -> bytes | None:
        """Return the value, or None if the key was deleted."""

    @property
    def revision(self) -> int:
        """Return the revision for compare_and_swap, above 0."""


class Watch(Protocol):
    """Handle of an active watch."""

    def cancel(self) -> None:
        """Cancel the watch; no callback runs afterwards."""


GetCallback = Callable[
    [Result[KeyValueEntry | None, result_code.ResultCode]], None
]
SwapCallback = Callable[[Result[int, result_code.ResultCode]], None]
WatchCallback = Callable[[KeyValueEntry], None]


class KeyValueClient(Protocol):
    """Client of the key-value service with asynchronous calls."""

    def get(self, key: str, callback: GetCallback) -> None:
        """Read a key; the result is None if the key is absent."""

    def compare_and_swap(
        self,
        key: str,
        expected_revision: int,
        value: bytes,
        callback: SwapCallback,
    ) -> None:
        """Write a key if it has the expected revision (0: absent).

        The result is the new revision. A failure is COMPARE_FAILED or
        PLATFORM_UNAVAILABLE (the write did not take effect), or another
        code (it may have taken effect).
        """

    def watch(self, key: str, on_change: WatchCallback) -> Watch:
        """Deliver the current value, then each newer one.

        The watch resumes automatically after a connection loss.
        """
