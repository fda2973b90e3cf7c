"""Learn how long the idle connections to a service live."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.timing import clock as clock_module

# A server closes a connection that is idle for the time that it states in
# Keep-Alive. Connections are not reused in the last part of that time, so that
# no request meets the close.
MARGIN_MS = 700
# Longest idle time before any reuse has shown how long connections live.
INITIAL_MS = 3_300
# The learned time does not fall below this value: resets of younger
# connections are caused by servers that fail.
MIN_MS = 1_000
# Longest idle time for servers that state none.
MAX_MS = 60_000
# The time grows by this factor after enough reuses in its last part.
GROWTH = 1.5
PROOF_SHARE = 0.7
PROOF_REUSES = 6
# Fraction of the idle time of a reset connection that is still used.
RESET_SHARE = 0.9
# After a reset, longer times are not tried for this long; the time doubles
# with each further reset up to the maximum. One reset in this time is well
# below 1 in 100 reuses for a service with more than 2 reuses per second.
HOLD_MS = 60_000
MAX_HOLD_MS = 960_000
# A server that fails resets all its connections at once. Resets at idle times
# that are proven only count if there are two in this time, and not both from
# one server within the time that a failure of it lasts.
RESETS_WINDOW_MS = 30_000
FAILURE_MS = 1_000


class IdleTimeout:
    """Decide how long idle connections to one service may be reused.

    Load pattern: there are more pairs of entries and servers than requests
    per second, so that connections have to stay idle for seconds to be reused.
    Servers drop them without notice, some sooner than they state, and the next
    request is reset. The time starts short, grows with each set of reuses
    that succeeded near its end, and falls below the idle time of a connection
    that was reset.
    """

    __slots__ = (
        "_clock",
        "_hold_ms",
        "_hold_until_ms",
        "_last_reset",
        "_learned_ms",
        "_proven_ms",
        "_successes",
    )

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._learned_ms = INITIAL_MS
        # Idle time up to which resets have been shown to be rare.
        self._proven_ms = INITIAL_MS
        self._successes = 0
        self._hold_ms = HOLD_MS
        self._hold_until_ms = 0
        # Server and time of the last reset at a proven idle time.
        self._last_reset: tuple[str, int] | None = None

    def limit_ms(self, stated_ms: int | None, is_trial: bool) -> int:
        """Return how long a connection may be idle before its next use.

        `stated_ms` is the time that the server states, None for none. Only
        requests that may be sent again are used to try longer times.
        """
        learned_ms = self._learned_ms if is_trial else self._proven_ms
        return min(learned_ms, _longest_ms(stated_ms))

    def on_reused(self, idle_ms: int, stated_ms: int | None) -> None:
        """Record a response on a connection that was idle for some time."""
        if idle_ms < PROOF_SHARE * self._learned_ms:
            return
        self._successes += 1
        if self._successes < PROOF_REUSES:
            return
        self._proven_ms = self._learned_ms
        if self._clock.now_ms() < self._hold_until_ms:
            return
        longest_ms = _longest_ms(stated_ms)
        if self._learned_ms < longest_ms:
            self._successes = 0
            self._learned_ms = min(longest_ms, int(GROWTH * self._learned_ms))

    def on_reset(self, server_id: str, idle_ms: int) -> None:
        """Record a connection that was reset when it was used again."""
        if idle_ms <= self._proven_ms and not self._is_confirmed(server_id):
            return
        now_ms = self._clock.now_ms()
        learned_ms = min(
            self._learned_ms, max(MIN_MS, int(RESET_SHARE * idle_ms))
        )
        if idle_ms > self._proven_ms:
            learned_ms = min(learned_ms, self._proven_ms)
        if now_ms >= self._hold_until_ms and self._hold_until_ms:
            self._hold_ms = min(MAX_HOLD_MS, 2 * self._hold_ms)
        self._hold_until_ms = now_ms + self._hold_ms
        self._learned_ms = learned_ms
        self._proven_ms = min(self._proven_ms, learned_ms)
        self._successes = 0

    def _is_confirmed(self, server_id: str) -> bool:
        """Return whether another reset confirms one at a proven idle time."""
        now_ms = self._clock.now_ms()
        last, self._last_reset = self._last_reset, (server_id, now_ms)
        if last is None or now_ms - last[1] > RESETS_WINDOW_MS:
            return False
        return last[0] != server_id or now_ms - last[1] > FAILURE_MS


def _longest_ms(stated_ms: int | None) -> int:
    """Return the longest idle time for what a server states."""
    if stated_ms is None:
        return MAX_MS
    return min(MAX_MS, stated_ms - MARGIN_MS)
