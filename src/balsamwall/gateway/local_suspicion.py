"""Hold requests back at one entry while no coordinator decides."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamwall.timing import clock as clock_module

# Crashes in succession from which on a request is held back.
MIN_CRASHES = 2
# A new coordinator decides within some seconds. The time doubles with each
# further crash.
FIRST_HOLD_MS = 6_000
MAX_HOLD_MS = 300_000
# The oldest request is dropped beyond this number.
MAX_REQUESTS = 1_000


class _Chain:
    """Count crashes, each under a send after the crash before."""

    __slots__ = ("_processes", "is_held", "last_ms")

    def __init__(self, process: str, at_ms: int) -> None:
        self._processes = {process}
        self.last_ms = at_ms
        # Whether it was held back; this goes on with a coordinator.
        self.is_held = False

    @property
    def crashes(self) -> int:
        """Return the number of server processes that crashed."""
        return len(self._processes)

    def add(self, process: str, at_ms: int) -> bool:
        """Count a crash; return False if the process had crashed before.

        A request may be sent once more to a process that has just crashed,
        before its loss is known.
        """
        if process in self._processes:
            return False
        self._processes.add(process)
        self.last_ms = at_ms
        return True

    @property
    def hold_ms(self) -> int:
        """Return for how long it is held back after the last crash."""
        if self.crashes < MIN_CRASHES:
            return 0
        doublings = min(10, self.crashes - MIN_CRASHES)
        return min(MAX_HOLD_MS, FIRST_HOLD_MS << doublings)


class LocalSuspicion:
    """Decide on whole requests from what this entry has seen.

    Load pattern: one request crashes server after server while the
    coordinator is killed, frozen or cut off from this entry. Several sound
    requests on servers that fail together were sent before the first crash.
    """

    __slots__ = ("_chains", "_clock", "_held_until_ms", "_suspects")

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._chains: collections.OrderedDict[bytes, _Chain]
        self._chains = collections.OrderedDict()
        # Requests that may be held back, so that others need no digest.
        self._suspects: set[bytes] = set()
        self._held_until_ms = 0  # the end of the last hold

    def __bool__(self) -> bool:
        if self._suspects and self._clock.now_ms() >= self._held_until_ms:
            # A request that does not come again is not looked up any more.
            self._suspects.clear()
        return bool(self._suspects)

    def on_broken(self, request: bytes, process: str, sent_ms: int) -> None:
        """Count a crash of the server process that a request was sent to."""
        now_ms = self._clock.now_ms()
        chain = self._chains.get(request)
        if chain is None or now_ms - chain.last_ms > MAX_HOLD_MS:
            self._chains[request] = _Chain(process, now_ms)
        elif sent_ms >= chain.last_ms and chain.add(process, now_ms):
            self._suspects.add(request)
            end_ms = now_ms + chain.hold_ms
            self._held_until_ms = max(self._held_until_ms, end_ms)
        self._chains.move_to_end(request)
        if len(self._chains) > MAX_REQUESTS:
            oldest, _ = self._chains.popitem(last=False)
            self._suspects.discard(oldest)

    def on_proven(self, contents: Iterable[bytes]) -> None:
        """Forget content that a server has responded to."""
        if self._chains:
            for content in contents:
                self._chains.pop(content, None)
                self._suspects.discard(content)

    def remaining_ms(self, request: bytes, *, is_coordinated: bool) -> int:
        """Return for how long a request is held back, 0 if it is not."""
        chain = self._chains.get(request)
        if chain is None or (is_coordinated and not chain.is_held):
            return 0
        left_ms = chain.last_ms + chain.hold_ms - self._clock.now_ms()
        chain.is_held = left_ms > 0
        if not chain.is_held:
            self._suspects.discard(request)
        return max(0, left_ms)
