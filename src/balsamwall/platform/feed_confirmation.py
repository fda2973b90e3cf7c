"""Time at which the copy of the store was last known to be the newest."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.timing import pause_detector

if TYPE_CHECKING:
    from balsamwall.timing import clock as clock_module


class FeedConfirmation:
    """Record what confirms that the feed has missed no change.

    Load pattern: a paused process resumes and reads responses and relayed
    updates from before the pause. A response confirms only the time at which
    its call was sent if a pause has ended since. Relayed updates count again
    once a call that was sent after the pause has been answered.
    """

    __slots__ = ("_answered_ms", "_call_ms", "_clock", "_stalls", "at_ms")

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._stalls = pause_detector.PauseDetector(clock)
        self._call_ms = 0  # when the call in progress was sent
        self._answered_ms = 0  # when the last answered call was sent
        self.at_ms: int | None = None  # last confirmation

    @property
    def resumed_ms(self) -> int | None:
        """Return the end of the last pause of the process, if any."""
        return self._stalls.resumed_ms

    @property
    def is_behind(self) -> bool:
        """Return whether no call since the last pause has been answered."""
        resumed_ms = self._stalls.resumed_ms
        return resumed_ms is not None and self._answered_ms < resumed_ms

    def on_call(self) -> None:
        """Record that a read or a watch is sent."""
        self._stalls.start()
        self._call_ms = self._clock.now_ms()

    def on_response(self) -> bool:
        """Record a response; return whether it is from after any pause."""
        self._answered_ms = self._call_ms
        is_recent = not self.is_behind
        self._confirm(self._clock.now_ms() if is_recent else self._call_ms)
        return is_recent

    def on_relayed(self) -> bool:
        """Record a relayed update without a gap; return whether it counts."""
        if self.is_behind:
            return False
        self._confirm(self._clock.now_ms())
        return True

    def _confirm(self, at_ms: int) -> None:
        self.at_ms = at_ms if self.at_ms is None else max(self.at_ms, at_ms)
