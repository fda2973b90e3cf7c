"""Limit the time between the events of a stream."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.timing import clock as clock_module


class EventDeadline:
    """Report a stream that completes no event within the caller's timeout.

    Load pattern: a server that hangs sends a byte or a comment now and then,
    which no timeout between bytes notices, while a slow server completes an
    event in good time. The time in which the caller does not read is left out.
    """

    __slots__ = (
        "_clock",
        "_is_blocked",
        "_on_stalled",
        "_since_ms",
        "_timeout_ms",
        "_timer",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        timeout_ms: int,
        on_stalled: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._timeout_ms = timeout_ms
        self._on_stalled = on_stalled
        self._since_ms = 0
        self._is_blocked = False
        self._timer: clock_module.Timer | None = None

    def start(self) -> None:
        """Expect an event within the timeout from now on."""
        self.stop()
        self._since_ms = self._clock.now_ms()
        self._timer = self._clock.call_later(self._timeout_ms, self._on_timer)

    def on_event(self) -> None:
        """Expect the next event within the timeout from now on."""
        self._since_ms = self._clock.now_ms()

    def set_blocked(self, is_blocked: bool) -> None:
        """Expect no event while the caller does not read."""
        self._is_blocked = is_blocked
        self._since_ms = self._clock.now_ms()

    def stop(self) -> None:
        """Expect no event any more; idempotent."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timer(self) -> None:
        """Report a stall, or check again when the next one could be due.

        Setting the timer for each event would cost more than its relay.
        """
        now_ms = self._clock.now_ms()
        if self._is_blocked:
            self._since_ms = now_ms
        left_ms = self._since_ms + self._timeout_ms - now_ms
        if left_ms > 0:
            self._timer = self._clock.call_later(left_ms, self._on_timer)
            return
        self._timer = None
        self._on_stalled()
