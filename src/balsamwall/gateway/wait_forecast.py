"""Forecast waits from coordinator reports and observed durations."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from balsamwall.gateway import backend_directory
    from balsamwall.gateway import fair_order
    from balsamwall.timing import clock as clock_module

# A report older than this is ignored. The coordinator reports several times a
# second.
STATE_MAX_AGE_MS = 1_000
# Assumed duration of a stream before the first one has ended.
DEFAULT_STREAM_MS = 2_500.0
# Weight of the latest stream in the moving average of durations.
STREAM_MEAN_WEIGHT = 0.05
# Weight of the latest response in the moving average of times to its head.
RESPONSE_MEAN_WEIGHT = 0.05


class WaitForecast:
    """Predict when a model is loaded and when queued requests get a slot."""

    __slots__ = (
        "_clock",
        "_loads_due",
        "_queued",
        "_updated_ms",
        "_mean_response_ms",
        "_mean_stream_ms",
    )

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._loads_due: dict[str, int] = {}
        self._queued: dict[str, int] = {}
        self._updated_ms: int | None = None
        self._mean_response_ms: dict[str, float] = {}
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
        per_s = self._rate_per_s(service, holders, limit_of)
        if not self._is_fresh or per_s <= 0:
            return 0
        return int(self._queued.get(model, 0) * 1_000 / per_s)

    def until_turn_ms(
        self,
        service: str,
        model: str,
        holders: Iterable[backend_directory.BackendServer],
        limit_of: Callable[[backend_directory.BackendServer], float | None],
        position: fair_order.Position,
        entries: int,
    ) -> int:
        """Return the expected wait of a request in the fair order.

        `position` is its place among the requests of this entry, which gets an
        equal part of the rate with the other entries that have a queue. A
        backlog of its own workspace drains at the workspace's share of the
        rate, as long as others compete.
        """
        per_s = self._rate_per_s(service, holders, limit_of)
        if not position.queued or per_s <= 0:
            return 0
        entry_share = self.entry_share(model, position.queued, entries)
        each_ms = 1_000 / (per_s * entry_share)
        own_ms = each_ms * position.own / position.workspace_share
        ahead_ms = each_ms * position.ahead / position.share_after_urgent
        return int(max(ahead_ms, own_ms))

    def entry_share(self, model: str, own: int, entries: int) -> float:
        """Return the share of the room for a model that an entry may use.

        `own` is the number of requests that wait there. The shares of entries
        with a queue are equal: in proportion to the queues, a request of a
        small workspace would wait as long as the backlog of a large one.
        """
        queued = self._queued.get(model, 0) if self._is_fresh else 0
        return 1.0 / max(1, min(entries, max(own, queued)))

    def stream_ms(self, service: str) -> float:
        """Return the mean time for which a request uses a slot."""
        stream_ms = self._mean_stream_ms.get(service, DEFAULT_STREAM_MS)
        return max(1.0, stream_ms)

    def on_first_response(self, service: str, duration_ms: int) -> None:
        """Update the mean time from a send to the head of its response."""
        mean_ms = self._mean_response_ms.get(service, 0.0)
        change_ms = RESPONSE_MEAN_WEIGHT * (duration_ms - mean_ms)
        self._mean_response_ms[service] = mean_ms + change_ms

    def response_ms(self, service: str) -> int:
        """Return the expected time from a send to the head of a response."""
        return int(self._mean_response_ms.get(service, 0.0))

    def _rate_per_s(
        self,
        service: str,
        holders: Iterable[backend_directory.BackendServer],
        limit_of: Callable[[backend_directory.BackendServer], float | None],
    ) -> float:
        """Return the requests per second that servers can begin."""
        stream_ms = self.stream_ms(service)
        per_s = 0.0
        for server in holders:
            rate = server.record.slots * 1_000 / stream_ms
            limit = limit_of(server)
            per_s += rate if limit is None else min(rate, limit)
        return per_s

    @property
    def _is_fresh(self) -> bool:
        updated_ms = self._updated_ms
        if updated_ms is None:
            return False
        return self._clock.now_ms() - updated_ms <= STATE_MAX_AGE_MS
