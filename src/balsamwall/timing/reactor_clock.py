"""Clock and timers on the Twisted reactor."""

from __future__ import annotations

import time
from typing import Any
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet import interfaces


def use_monotonic_time(reactor: Any) -> None:
    """Make delayed calls independent of changes of the wall clock.

    Twisted reactors schedule by `time.time` by default.
    """
    reactor.seconds = time.monotonic


class ReactorTimer:
    """Scheduled call on the reactor."""

    __slots__ = ("_call",)

    def __init__(self, call: interfaces.IDelayedCall) -> None:
        self._call = call

    def cancel(self) -> None:
        """Cancel the call; do nothing if it has already run."""
        if self._call.active():
            self._call.cancel()


class ReactorClock:
    """Clock on the operating system's time and a reactor's timers."""

    __slots__ = ("_reactor",)

    def __init__(self, reactor: interfaces.IReactorTime) -> None:
        self._reactor = reactor

    def now_ms(self) -> int:
        """Return monotonic time in milliseconds.

        It includes the time during which the VM is suspended, so that leases
        and deadlines expire during a suspension.
        """
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def wall_ms(self) -> int:
        """Return wall time in milliseconds since the Unix epoch."""
        return time.time_ns() // 1_000_000

    def call_later(
        self, delay_ms: int, function: Callable[..., object], *args: object
    ) -> ReactorTimer:
        """Schedule one call of a function after a delay."""
        delay_s = max(0, delay_ms) / 1_000
        return ReactorTimer(self._reactor.callLater(delay_s, function, *args))
