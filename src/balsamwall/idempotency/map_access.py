"""Access the stored home map of one service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns import result

from balsamwall.idempotency import home_map
from balsamwall.results import result_code

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from balsamwall.idempotency import map_store
    from balsamwall.timing import clock as clock_module

# Shortest delay before a retry; up to the same time is added at random.
RETRY_INTERVAL_MS = 500
MAP_REFRESH_INTERVAL_MS = 60_000


class MapAccess:
    """Read and write the map, with one call and one timer at a time.

    After a write that failed or has an unknown outcome the map is read
    again, so that the next step is derived from the stored map.
    """

    __slots__ = (
        "_clock",
        "_is_busy",
        "_is_write_unknown",
        "_on_map",
        "_on_written",
        "_random",
        "_service",
        "_store",
        "_timer",
        "_timer_due_ms",
        "_version",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        random_source: random.Random,
        store: map_store.MapStore,
        service: str,
        on_map: Callable[[home_map.HomeMap | None], None],
        on_written: Callable[[home_map.HomeMap], None],
    ) -> None:
        """Call `on_map` with each map read, or None if none is stored."""
        self._clock = clock
        self._random = random_source
        self._store = store
        self._service = service
        self._on_map = on_map
        self._on_written = on_written
        self._version = 0
        self._is_busy = False
        self._is_write_unknown = False
        self._timer: clock_module.Timer | None = None
        self._timer_due_ms = 0

    @property
    def is_write_unknown(self) -> bool:
        """Return whether an earlier write could still take effect."""
        return self._is_write_unknown

    def read(self) -> None:
        """Read the map unless a call is already pending."""
        if not self._is_busy:
            self._is_busy = True
            self._store.read(self._service, self._on_read)

    def write(self, content: home_map.HomeMap) -> None:
        """Replace the stored map if it is still the one read last."""
        self._is_busy = True

        def on_outcome(
            outcome: result.Result[int, result_code.ResultCode],
        ) -> None:
            self._is_busy = False
            if isinstance(outcome, result.Success):
                self._is_write_unknown = False
                self._version = outcome.unwrap()
                self._on_written(content)
                return
            code = outcome.failure()
            if code is result_code.ResultCode.PLATFORM_OUTCOME_UNKNOWN:
                self._is_write_unknown = True
            self.retry_later()

        self._store.write(self._service, self._version, content, on_outcome)

    def retry_later(self) -> None:
        """Read again soon, with jitter against colliding writes of members."""
        jitter_ms = self._random.randrange(RETRY_INTERVAL_MS)
        self._read_after(RETRY_INTERVAL_MS + jitter_ms)

    def refresh_later(self) -> None:
        """Read again after `MAP_REFRESH_INTERVAL_MS`."""
        self._read_after(MAP_REFRESH_INTERVAL_MS)

    def _on_read(
        self,
        outcome: result.Result[
            map_store.StoredMap | None, result_code.ResultCode
        ],
    ) -> None:
        self._is_busy = False
        if not isinstance(outcome, result.Success):
            self.retry_later()
            return
        stored = outcome.unwrap()
        self._version = 0 if stored is None else stored.version
        self._on_map(None if stored is None else stored.content)

    def _read_after(self, delay_ms: int) -> None:
        due_ms = self._clock.now_ms() + delay_ms
        if self._timer is not None:
            if self._timer_due_ms <= due_ms:
                return
            self._timer.cancel()
        self._timer_due_ms = due_ms
        self._timer = self._clock.call_later(delay_ms, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.read()
