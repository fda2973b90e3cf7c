"""Wait of one request before it is sent."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.gateway import request_run
    from balsamwall.gateway import residency_waits
    from balsamwall.gateway import room_queue
    from balsamwall.gateway import wait_forecast
    from balsamwall.gateway import wait_policy
    from balsamwall.timing import clock as clock_module


class RequestWait:
    """Waits for a model to be loaded, or for room at a server that has it."""

    __slots__ = (
        "_clock",
        "_end_ms",
        "_forecast",
        "_is_for_room",
        "_on_over",
        "_patience_ms",
        "_policy",
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
        policy: wait_policy.WaitPolicy,
        forecast: wait_forecast.WaitForecast,
        patience_ms: int,
        on_over: Callable[[bool], None],
    ) -> None:
        self._clock = clock
        self._waits = waits
        self._room = room
        self._policy = policy
        self._forecast = forecast
        self._patience_ms = patience_ms
        self._on_over = on_over
        self._wanted: residency_waits.Wanted | None = None
        self._is_for_room = False
        self._since_ms = 0
        self._end_ms = 0
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

    @property
    def waited_so_far_ms(self) -> int:
        """Return the time of all waits, the present one included."""
        if self._timer is None:
            return self.waited_ms
        return self.waited_ms + self._clock.now_ms() - self._since_ms

    def _begin(self, left_ms: int) -> None:
        self._since_ms = self._clock.now_ms()
        self._end_ms = self._since_ms + left_ms
        self._timer = self._clock.call_later(self._step_ms(), self._on_step)

    def _step_ms(self) -> int:
        """Return the time until the wait is over or is judged anew."""
        left_ms = self._end_ms - self._clock.now_ms()
        if self._wanted is None:
            longest_ms = self._policy.longest_ms(self._patience_ms)
            return max(0, min(left_ms, longest_ms - self.waited_so_far_ms))
        step_ms = self._policy.model_wait_ms(
            self._patience_ms,
            self.waited_so_far_ms,
            self._forecast.until_loaded_ms(self._wanted.model),
        )
        return max(0, min(left_ms, step_ms))

    def _on_step(self) -> None:
        step_ms = self._step_ms()
        if step_ms > 0:
            self._timer = self._clock.call_later(step_ms, self._on_step)
        else:
            self._on_over(self._is_for_room)
