"""Reconnect policy for one peer, independent of sockets."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from balsamwall.timing import clock

MIN_BACKOFF_MS = 100
MAX_BACKOFF_MS = 2_000
# Only a session of this length resets the backoff; otherwise an address that
# accepts connections and then drops them would be dialled in a tight loop.
STABLE_AFTER_MS = 5_000


class Dialler:
    """Exponential backoff with jitter, with one attempt at a time.

    The `connect` callback starts an attempt; its end must be reported with
    `on_disconnected`.
    """

    __slots__ = (
        "_backoff_ms",
        "_clock",
        "_connect",
        "_is_attempting",
        "_is_stopped",
        "_random",
        "_timer",
        "_connected_since_ms",
    )

    _timer: clock.Timer | None
    _connected_since_ms: int | None

    def __init__(
        self,
        clock: clock.Clock,
        random: random.Random,
        connect: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._random = random
        self._connect = connect
        self._backoff_ms = MIN_BACKOFF_MS
        self._is_attempting = False
        self._is_stopped = False
        self._timer = None
        self._connected_since_ms = None

    @property
    def is_idle(self) -> bool:
        """Return whether no attempt is in progress or scheduled."""
        return not self._is_attempting and self._timer is None

    def start(self) -> None:
        """Connect now unless an attempt is in progress or scheduled."""
        if self.is_idle and not self._is_stopped:
            self._attempt()

    def on_connected(self) -> None:
        """Record the time at which the session was established."""
        self._connected_since_ms = self._clock.now_ms()

    def on_disconnected(self, should_retry: bool) -> None:
        """Record the end of an attempt or session.

        If `should_retry` is set, schedule an attempt after the backoff.
        """
        self._is_attempting = False
        connected_since_ms, self._connected_since_ms = (
            self._connected_since_ms,
            None,
        )
        if connected_since_ms is not None:
            if self._clock.now_ms() - connected_since_ms >= STABLE_AFTER_MS:
                self._backoff_ms = MIN_BACKOFF_MS
        if self._is_stopped or not should_retry or self._timer is not None:
            return
        delay_ms = int(self._backoff_ms * self._random.uniform(0.5, 1.0))
        self._backoff_ms = min(MAX_BACKOFF_MS, 2 * self._backoff_ms)
        self._timer = self._clock.call_later(
            max(MIN_BACKOFF_MS, delay_ms), self._attempt
        )

    def stop(self) -> None:
        """Cancel the scheduled attempt and make no further ones."""
        self._is_stopped = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _attempt(self) -> None:
        self._timer = None
        self._is_attempting = True
        self._connect()
