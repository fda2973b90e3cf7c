"""Delay of the election of a coordinator after a restore of the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.timing import clock as clock_module


class ElectionDelay:
    """Wait until a lease that the store has forgotten has ended by the clock.

    Load pattern: the store returns from a copy that lacks the lease of the
    coordinator, which has not noticed it yet and goes on sending orders. Only
    the process that held the lease may be elected again at once.
    """

    __slots__ = ("_clock", "_end_ms", "_lease_ms", "_was_holder")

    def __init__(self, clock: clock_module.Clock, lease_ms: int) -> None:
        self._clock = clock
        self._lease_ms = lease_ms
        self._end_ms: int | None = None  # None before the first restore
        self._was_holder = False

    def on_restored(self, *, is_holder: bool) -> None:
        """Begin the delay; a holder of the forgotten lease has none."""
        self._end_ms = self._clock.now_ms() + self._lease_ms
        self._was_holder = is_holder

    @property
    def has_begun(self) -> bool:
        """Return whether a restore of the store has been seen."""
        return self._end_ms is not None

    @property
    def is_over(self) -> bool:
        """Return whether this process may be elected."""
        if self._end_ms is None or self._was_holder:
            return True
        return self._clock.now_ms() >= self._end_ms
