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
# Crashes of one request that are kept; the time above has its maximum before.
MAX_CRASHES = 12
# A live server may break off a response. Within this time it answers another
# request, and one that has crashed refuses a connection; until then requests
# with the content go to these servers only.
DECISION_MS = 600
# A crashed server may start again under the record that the entry knows, and
# answers then: only a request that was sent within this time tells.
MAX_REFUTATION_MS = 2_000
# Processes whose loss or answer is awaited; the oldest is dropped beyond this.
MAX_AWAITED = 500


class _Crash:
    """Hold a broken response, by which a server process may have crashed."""

    __slots__ = ("at_ms", "is_confirmed", "process", "sent_ms")

    def __init__(self, process: str, sent_ms: int, at_ms: int) -> None:
        self.process = process
        self.sent_ms = sent_ms
        self.at_ms = at_ms
        # Whether the process accepts no connections or has left the store.
        self.is_confirmed = False


class _Chain:
    """Count crashes, each under a send after the crash before."""

    __slots__ = ("_crashes", "is_held")

    def __init__(self) -> None:
        self._crashes: collections.deque[_Crash]
        self._crashes = collections.deque(maxlen=MAX_CRASHES)
        # Whether it kept requests from servers; this goes on with a
        # coordinator.
        self.is_held = False

    def __bool__(self) -> bool:
        return bool(self._crashes)

    @property
    def newest_ms(self) -> int:
        """Return when the last response broke."""
        return self._crashes[-1].at_ms

    @property
    def is_suspect(self) -> bool:
        """Return whether enough processes crashed in succession."""
        return len(self._successive()) >= MIN_CRASHES

    @property
    def held_until_ms(self) -> int:
        """Return until when it is held back, 0 with too few crashes."""
        crashes = self._successive()
        if len(crashes) < MIN_CRASHES:
            return 0
        hold_ms = FIRST_HOLD_MS << (len(crashes) - MIN_CRASHES)
        return crashes[-1].at_ms + min(MAX_HOLD_MS, hold_ms)

    @property
    def undecided_until_ms(self) -> int:
        """Return until when an answer of a process may refute a crash."""
        crashes = self._successive()
        confirmed = self._successive(is_confirmed=True)
        if len(crashes) < MIN_CRASHES or len(confirmed) >= MIN_CRASHES:
            return 0
        return crashes[MIN_CRASHES - 1].at_ms + DECISION_MS

    @property
    def unconfirmed(self) -> frozenset[str]:
        """Return the processes that may still live."""
        return frozenset(
            crash.process
            for crash in self._successive()
            if not crash.is_confirmed
        )

    def add(self, process: str, sent_ms: int, at_ms: int) -> bool:
        """Count a crash; return False if the process had crashed before.

        A request may be sent once more to a process that has just crashed,
        before its loss is known.
        """
        if self._find(process) is not None:
            return False
        self._crashes.append(_Crash(process, sent_ms, at_ms))
        return True

    def confirm(self, process: str) -> None:
        """Record that a process is gone."""
        crash = self._find(process)
        if crash is not None:
            crash.is_confirmed = True

    def on_answer(self, process: str, sent_ms: int) -> bool:
        """Forget the crash of a process that answers a later request.

        Return False while an answer to another request may still tell.
        """
        crash = self._find(process)
        if crash is None:
            return True
        if sent_ms <= crash.at_ms:
            return False
        if sent_ms <= crash.at_ms + MAX_REFUTATION_MS:
            self._crashes.remove(crash)
        return True

    def _find(self, process: str) -> _Crash | None:
        for crash in self._crashes:
            if crash.process == process:
                return crash
        return None

    def _successive(self, *, is_confirmed: bool = False) -> list[_Crash]:
        """Return the most crashes of which each is after a later send."""
        found: list[_Crash] = []
        for crash in self._crashes:
            if is_confirmed and not crash.is_confirmed:
                continue
            if not found or crash.sent_ms >= found[-1].at_ms:
                found.append(crash)
        return found


class LocalSuspicion:
    """Decide on whole requests from what this entry has seen.

    Load pattern: one request crashes server after server while the
    coordinator is killed, frozen or cut off from this entry. Several sound
    requests on servers that fail together were sent before the first crash.
    Live servers break off some responses beside a crash; they answer other
    requests since, and a crashed one refuses connections.
    """

    __slots__ = (
        "_awaited",
        "_chains",
        "_clock",
        "_held_until_ms",
        "_suspects",
    )

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._chains: collections.OrderedDict[bytes, _Chain]
        self._chains = collections.OrderedDict()
        # By process that may have crashed: the requests that broke there.
        self._awaited: dict[str, set[bytes]] = {}
        # Requests that may be held back, so that others need no digest.
        self._suspects: set[bytes] = set()
        self._held_until_ms = 0  # the end of the last hold

    def __bool__(self) -> bool:
        if self._suspects and self._clock.now_ms() >= self._held_until_ms:
            # A request that does not come again is not looked up any more.
            self._suspects.clear()
        return bool(self._suspects)

    @property
    def awaits_answers(self) -> bool:
        """Return whether the answer of any process may refute a crash."""
        return bool(self._awaited)

    def on_broken(self, request: bytes, process: str, sent_ms: int) -> None:
        """Count a crash of the server process that a request was sent to."""
        now_ms = self._clock.now_ms()
        chain = self._chains.get(request)
        if chain is None or now_ms - chain.newest_ms > MAX_HOLD_MS:
            chain = self._chains[request] = _Chain()
        if chain.add(process, sent_ms, now_ms):
            self._await(process, request)
            if chain.is_suspect:
                self._suspects.add(request)
                end_ms = chain.held_until_ms
                self._held_until_ms = max(self._held_until_ms, end_ms)
        self._chains.move_to_end(request)
        if len(self._chains) > MAX_REQUESTS:
            oldest, _ = self._chains.popitem(last=False)
            self._suspects.discard(oldest)

    def on_lost(self, process: str) -> None:
        """Record that a process is gone, so that its crash is certain."""
        for request in self._awaited.pop(process, ()):
            chain = self._chains.get(request)
            if chain is not None:
                chain.confirm(process)

    def on_answer(self, process: str, sent_ms: int) -> bool:
        """Forget crashes of a process that answers a later request.

        Return whether there were any.
        """
        requests = self._awaited.pop(process, None)
        if requests is None:
            return False
        kept = {
            request
            for request in requests
            if not self._is_settled(request, process, sent_ms)
        }
        if kept:
            self._awaited[process] = kept
        return len(kept) < len(requests)

    def _is_settled(self, request: bytes, process: str, sent_ms: int) -> bool:
        chain = self._chains.get(request)
        if chain is None:
            return True
        if not chain.on_answer(process, sent_ms):
            return False
        if not chain.is_suspect:
            self._suspects.discard(request)
        if not chain:
            del self._chains[request]
        return True

    def _await(self, process: str, request: bytes) -> None:
        self._awaited.setdefault(process, set()).add(request)
        if len(self._awaited) > MAX_AWAITED:
            del self._awaited[next(iter(self._awaited))]

    def on_proven(self, contents: Iterable[bytes]) -> None:
        """Forget content that a server has responded to."""
        if self._chains:
            for content in contents:
                self._chains.pop(content, None)
                self._suspects.discard(content)

    def undecided_processes(
        self, request: bytes, *, is_coordinated: bool
    ) -> frozenset[str]:
        """Return the processes of which one may not have crashed after all.

        There are none once it is decided whether to hold the request back.
        """
        chain = self._chains.get(request)
        if chain is None or (is_coordinated and not chain.is_held):
            return frozenset()
        if self._clock.now_ms() >= chain.undecided_until_ms:
            return frozenset()
        chain.is_held = True
        return chain.unconfirmed

    def remaining_ms(self, request: bytes, *, is_coordinated: bool) -> int:
        """Return for how long a request is held back, 0 if it is not."""
        chain = self._chains.get(request)
        if chain is None or (is_coordinated and not chain.is_held):
            return 0
        now_ms = self._clock.now_ms()
        if now_ms < chain.undecided_until_ms:
            return 0
        left_ms = chain.held_until_ms - now_ms
        chain.is_held = left_ms > 0
        if not chain.is_held:
            self._suspects.discard(request)
        return max(0, left_ms)
