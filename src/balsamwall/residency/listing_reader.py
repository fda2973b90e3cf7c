"""Poll an engine's listing."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.backend import backend_server
    from balsamwall.timing import clock as clock_module

# Interval while the caller is busy, a read has failed or a caller waits for
# a listing.
POLL_BUSY_MS = 250
# Interval otherwise.
POLL_IDLE_MS = 2_000
# A read without an answer in this time counts as failed.
LISTING_TIMEOUT_MS = 3_000


class ListingReader:
    """Read one listing at a time and ignore answers to earlier reads."""

    __slots__ = (
        "_requested_ms",
        "_clock",
        "_engine",
        "_failures",
        "_is_busy",
        "_is_pending",
        "_is_running",
        "_number",
        "_on_read",
        "_timer",
        "_waiters",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        engine: backend_server.EngineControl,
        is_busy: Callable[[], bool],
        on_read: Callable[[backend_server.EngineListing, int, int], None],
    ) -> None:
        """Initialize; on_read gets a listing, its number and request time.

        is_busy selects the short poll interval.
        """
        self._clock = clock
        self._engine = engine
        self._is_busy = is_busy
        self._on_read = on_read
        self._is_running = False
        self._number = 0
        self._is_pending = False
        self._requested_ms = 0
        self._failures = 0
        self._timer: clock_module.Timer | None = None
        self._waiters: list[
            tuple[int, Callable[[backend_server.EngineListing | None], None]]
        ] = []

    @property
    def next_number(self) -> int:
        """Return the number of the next read."""
        return self._number + 1

    @property
    def failures(self) -> int:
        """Return the number of consecutive failed reads."""
        return self._failures

    def start(self) -> None:
        """Start polling."""
        self._is_running = True
        self.poll()

    def stop(self) -> None:
        """Stop polling and ignore outstanding answers."""
        self._is_running = False
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def wait_for_next(
        self,
        callback: Callable[[backend_server.EngineListing | None], None],
    ) -> None:
        """Call back with a listing read after this call, None on failure."""
        self._waiters.append((self.next_number, callback))
        self.poll()

    def poll(self) -> None:
        """Read now, or after the outstanding read."""
        if not self._is_running:
            return
        now_ms = self._clock.now_ms()
        is_late = now_ms - self._requested_ms >= LISTING_TIMEOUT_MS
        if not self._is_pending or is_late:
            if self._is_pending:
                self._failures += 1
            self._number += 1
            number = self._number
            self._is_pending = True
            self._requested_ms = now_ms
            self._engine.listing(
                lambda listing: self._on_listing(number, now_ms, listing)
            )
        self._schedule()

    def _schedule(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._is_running:
            is_poll_soon = self._is_busy() or self._failures or self._waiters
            delay_ms = POLL_BUSY_MS if is_poll_soon else POLL_IDLE_MS
            self._timer = self._clock.call_later(delay_ms, self.poll)

    def _on_listing(
        self,
        number: int,
        requested_ms: int,
        listing: backend_server.EngineListing | None,
    ) -> None:
        # A late answer to an earlier read could show an older state.
        if number != self._number or not self._is_pending:
            return
        if not self._is_running:
            return
        self._is_pending = False
        if listing is None:
            self._failures += 1
        else:
            self._failures = 0
            self._on_read(listing, number, requested_ms)
        ready = [item for item in self._waiters if item[0] <= number]
        self._waiters = [item for item in self._waiters if item[0] > number]
        for _, callback in ready:
            callback(listing)
        if self._waiters and listing is not None:
            self.poll()
        else:
            self._schedule()
