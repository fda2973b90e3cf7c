"""Repeated attempts to reach one peer, without sockets."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from balsamwall.timing import clock

MIN_BACKOFF_MS = 100
MAX_BACKOFF_MS = 2_000
# An address that accepts and then fails must not be dialled without pause.
STABLE_AFTER_MS = 5_000


class Dialler:
    """Backoff with jitter between attempts; one attempt at a time."""

    __slots__ = (
        "_backoff_ms",
        "_clock",
        "_connect",
        "_is_attempting",
        "_is_stopped",
        "_random",
        "_timer",
        "_up_since_ms",
    )

    _timer: clock.Timer | None
    _up_since_ms: int | None

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
        self._up_since_ms = None

    @property
    def is_idle(self) -> bool:
        """Tell whether no attempt runs or waits."""
        return not self._is_attempting and self._timer is None

    def start(self) -> None:
        """Attempt to connect unless an attempt runs or waits."""
        if self.is_idle and not self._is_stopped:
            self._attempt()

    def on_up(self) -> None:
        """Note that the session is up."""
        self._up_since_ms = self._clock.now_ms()

    def on_down(self, is_wanted: bool) -> None:
        """Note the end of an attempt or session; schedule the next."""
        self._is_attempting = False
        up_since_ms, self._up_since_ms = self._up_since_ms, None
        if up_since_ms is not None:
            if self._clock.now_ms() - up_since_ms >= STABLE_AFTER_MS:
                self._backoff_ms = MIN_BACKOFF_MS
        if self._is_stopped or not is_wanted or self._timer is not None:
            return
        delay_ms = int(self._backoff_ms * self._random.uniform(0.5, 1.0))
        self._backoff_ms = min(MAX_BACKOFF_MS, 2 * self._backoff_ms)
        self._timer = self._clock.call_later(
            max(MIN_BACKOFF_MS, delay_ms), self._attempt
        )

    def stop(self) -> None:
        """Make no further attempt."""
        self._is_stopped = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _attempt(self) -> None:
        self._timer = None
        self._is_attempting = True
        self._connect()
