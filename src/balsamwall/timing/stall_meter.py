"""Detect pauses of the process."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.timing import clock as clock_module

BEAT_INTERVAL_MS = 200
# A busy process may be late by some hundred milliseconds. What was received
# up to this much earlier still meets the 3 s within which a change of the
# configuration must take effect.
STALL_MS = 1_000


class StallMeter:
    """Tell when the process last resumed after a pause.

    Load pattern: a paused process resumes with full receive buffers, so that
    it reads messages that are as old as the pause. They are read before timers
    run, so the meter also checks when it is asked.
    """

    __slots__ = ("_beat_ms", "_clock", "_resumed_ms")

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._beat_ms: int | None = None
        self._resumed_ms: int | None = None

    def start(self) -> None:
        """Begin to measure; later calls have no effect."""
        if self._beat_ms is None:
            self._beat_ms = self._clock.now_ms()
            self._schedule()

    @property
    def resumed_ms(self) -> int | None:
        """Return the end of the last pause, None if there was none."""
        now_ms = self._clock.now_ms()
        if self._beat_ms is not None and now_ms - self._beat_ms > STALL_MS:
            self._beat_ms = self._resumed_ms = now_ms
        return self._resumed_ms

    def _schedule(self) -> None:
        self._clock.call_later(BEAT_INTERVAL_MS, self._beat)

    def _beat(self) -> None:
        _ = self.resumed_ms
        self._beat_ms = self._clock.now_ms()
        self._schedule()
