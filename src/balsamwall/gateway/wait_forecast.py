"""Forecast waits from coordinator reports and observed durations."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from balsamwall.gateway import backend_directory
    from balsamwall.timing import clock as clock_module

# A report older than this is ignored. The coordinator reports several times a
# second.
STATE_MAX_AGE_MS = 1_000
# Assumed duration of a stream before the first one has ended.
DEFAULT_STREAM_MS = 2_500.0
# Weight of the latest stream in the moving average of durations.
STREAM_MEAN_WEIGHT = 0.05


class WaitForecast:
    """Predict when a model is loaded and when queued requests get a slot."""

    __slots__ = (
        "_clock",
        "_loads_due",
        "_queued",
        "_updated_ms",
        "_mean_stream_ms",
    )

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._loads_due: dict[str, int] = {}
        self._queued: dict[str, int] = {}
        self._updated_ms: int | None = None
        self._mean_stream_ms: dict[str, float] = {}

    def on_state(
        self, loads_due: dict[str, int], queued: dict[str, int]
    ) -> None:
        """Set the expected times of loads and the queue lengths, by model.

        `loads_due` holds the milliseconds left until a load completes, counted
        from this call.
        """
        self._updated_ms = self._clock.now_ms()
        self._loads_due = loads_due
        self._queued = queued

    def on_stream_ended(self, service: str, duration_ms: int) -> None:
        """Update the mean time that a stream occupies a slot."""
        mean_ms = self._mean_stream_ms.get(service, DEFAULT_STREAM_MS)
        change_ms = STREAM_MEAN_WEIGHT * (duration_ms - mean_ms)
        self._mean_stream_ms[service] = mean_ms + change_ms

    def until_loaded_ms(self, model: str) -> int | None:
        """Return the time until a model is loaded, None if not known.

        It is not known if no load is planned or if the last report of the
        coordinator is too old.
        """
        if not self._is_fresh or model not in self._loads_due:
            return None
        age_ms = self._clock.now_ms() - (self._updated_ms or 0)
        return max(0, self._loads_due[model] - age_ms)

    def until_room_ms(
        self,
        service: str,
        model: str,
        holders: Iterable[backend_directory.BackendServer],
        limit_of: Callable[[backend_directory.BackendServer], float | None],
    ) -> int:
        """Return the expected time until all requests for a model have room.

        It covers the requests that the coordinator reports as queued, at the
        rate of the servers that hold the model: that of their slots, or their
        limit if it is lower. The time is 0 without a recent report of the
        coordinator or without slots.
        """
        stream_ms = self._mean_stream_ms.get(service, DEFAULT_STREAM_MS)
        per_s = 0.0
        for server in holders:
            rate = server.record.slots * 1_000 / max(1.0, stream_ms)
            limit = limit_of(server)
            per_s += rate if limit is None else min(rate, limit)
        if not self._is_fresh or per_s <= 0:
            return 0
        return int(self._queued.get(model, 0) * 1_000 / per_s)

    @property
    def _is_fresh(self) -> bool:
        updated_ms = self._updated_ms
        if updated_ms is None:
            return False
        return self._clock.now_ms() - updated_ms <= STATE_MAX_AGE_MS
