"""Detect pauses of the process."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.timing import clock as clock_module

CHECK_INTERVAL_MS = 200
# Shorter delays are those of a busy process. Messages up to this old are
# recent enough for the time within which a configuration must take effect.
MIN_PAUSE_MS = 1_000


class PauseDetector:
    """Tell when the process last resumed after a pause.

    Load pattern: a paused process resumes with full receive buffers, so that
    it reads messages that are as old as the pause. They are read before timers
    run, so the detector also checks when it is asked.
    """

    __slots__ = ("_last_check_ms", "_clock", "_resumed_ms")

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._last_check_ms: int | None = None
        self._resumed_ms: int | None = None

    def start(self) -> None:
        """Begin to measure; later calls have no effect."""
        if self._last_check_ms is None:
            self._last_check_ms = self._clock.now_ms()
            self._schedule()

    @property
    def resumed_ms(self) -> int | None:
        """Return the end of the last pause, None if there was none."""
        self._detect()
        return self._resumed_ms

    def _detect(self) -> None:
        now_ms = self._clock.now_ms()
        last_ms = self._last_check_ms
        if last_ms is not None and now_ms - last_ms > MIN_PAUSE_MS:
            self._last_check_ms = self._resumed_ms = now_ms

    def _schedule(self) -> None:
        self._clock.call_later(CHECK_INTERVAL_MS, self._on_timer)

    def _on_timer(self) -> None:
        self._detect()
        self._last_check_ms = self._clock.now_ms()
        self._schedule()
