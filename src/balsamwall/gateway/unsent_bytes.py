"""Bound the bytes that are held for callers that do not read."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.logs import decision_log

# Back-pressure stops a response at about twice the send buffer of 64 KiB. Only
# one long event (256 KiB) may add to it.
MAX_CALLER_BYTES = 512 * 1024
# For all callers. It leaves room in 160 MB of memory, of which an idle entry
# uses about 50 MB.
MAX_TOTAL_BYTES = 32 * 1024 * 1024


class SlowCaller(Protocol):
    """Connection of a caller that does not read its response."""

    def abort(self) -> None:
        """Abort the connection without flushing."""


class UnsentBytes:
    """Cut off callers that do not read, before they use up the memory.

    Load pattern: many callers stop reading at once. Each of them stays within
    its send buffer, but all of them together exceed the memory of the process.
    The caller that has not read for longest is cut off first.
    """

    __slots__ = ("_by_caller", "_log", "_total")

    def __init__(self, log: decision_log.DecisionLog) -> None:
        self._log = log
        # In the order in which the callers stopped reading.
        self._by_caller: dict[SlowCaller, int] = {}
        self._total = 0

    @property
    def total(self) -> int:
        """Return the bytes held for all callers that do not read."""
        return self._total

    def add(self, caller: SlowCaller, size: int) -> None:
        """Count bytes that wait for a caller; cut callers off if needed."""
        held = self._by_caller.get(caller, 0) + size
        self._by_caller[caller] = held
        self._total += size
        if held > MAX_CALLER_BYTES:
            self._cut(caller)
        while self._total > MAX_TOTAL_BYTES:
            self._cut(next(iter(self._by_caller)))

    def remove(self, caller: SlowCaller) -> None:
        """Forget a caller that reads again or has gone; idempotent."""
        self._total -= self._by_caller.pop(caller, 0)

    def _cut(self, caller: SlowCaller) -> None:
        self._log.write(
            "slow_caller_cut_off",
            unsent_bytes=self._by_caller[caller],
            total_bytes=self._total,
            callers=len(self._by_caller),
        )
        self.remove(caller)
        caller.abort()
