"""Wait of one request before it is sent."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.gateway import request_run
    from balsamwall.gateway import residency_waits
    from balsamwall.gateway import room_queue
    from balsamwall.timing import clock as clock_module

# Percentage of a caller's patience that a request waits in all; then the
# caller is told when to come back instead.
WAIT_PART = 70


class RequestWait:
    """Waits for a model to be loaded, or for room at a server that has it."""

    __slots__ = (
        "_clock",
        "_is_for_room",
        "_on_over",
        "_patience_ms",
        "_room",
        "_since_ms",
        "_timer",
        "_waits",
        "_wanted",
        "room_waited_ms",
        "waited_ms",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        waits: residency_waits.ResidencyWaits,
        room: room_queue.RoomQueue,
        patience_ms: int,
        on_over: Callable[[bool], None],
    ) -> None:
        self._clock = clock
        self._waits = waits
        self._room = room
        self._patience_ms = patience_ms
        self._on_over = on_over
        self._wanted: residency_waits.Wanted | None = None
        self._is_for_room = False
        self._since_ms = 0
        self._timer: clock_module.Timer | None = None
        self.waited_ms = 0
        self.room_waited_ms = 0

    def for_model(
        self,
        run: request_run.RequestRun,
        wanted: residency_waits.Wanted,
        left_ms: int,
    ) -> None:
        """Wait until a server holds a model."""
        self._wanted = wanted
        self._begin(left_ms)
        self._waits.add(wanted, run)

    def for_room(self, run: request_run.RequestRun, left_ms: int) -> None:
        """Wait until a server that holds the model has room."""
        self._is_for_room = True
        self._begin(left_ms)
        self._room.add(run)

    def stop(self, run: request_run.RequestRun) -> None:
        """End the wait; do nothing without one."""
        if self._timer is None:
            return
        self._timer.cancel()
        self._timer = None
        waited_ms = self._clock.now_ms() - self._since_ms
        self.waited_ms += waited_ms
        wanted, self._wanted = self._wanted, None
        if wanted is not None:
            self._waits.remove(wanted, run)
        if self._is_for_room:
            self._is_for_room = False
            self.room_waited_ms += waited_ms
            self._room.remove(run)

    def _begin(self, left_ms: int) -> None:
        self._since_ms = self._clock.now_ms()
        limit_ms = self._patience_ms * WAIT_PART // 100 - self.waited_ms
        self._timer = self._clock.call_later(
            min(limit_ms, left_ms), self._on_time_over
        )

    def _on_time_over(self) -> None:
        self._on_over(self._is_for_room)
