"""Permits that one process grants within a rate and a concurrency."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from balsamwall.protocol import messages_residency

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.protocol import outbox as outbox_module
    from balsamwall.timing import clock as clock_module

# A load must start within this time after its request was sent.
PERMIT_VALID_MS = 5_000
PERMIT_LOST_MS = 10_000
# A new granter first learns which permits of an earlier one are in use: they
# start at most 5 s after a request that the earlier one got, and are named
# every 2 s; one lost message is allowed for. Until then a lost granter delays
# the loads of unreachable models.
LEARN_MS = 10_000
REQUEST_LOST_MS = 5_000


@dataclasses.dataclass(slots=True)
class _Waiting:
    """Request that waits for its turn."""

    peer: str
    request_id: int
    urgency: int
    first_ms: int
    seen_ms: int


class PermitPool:
    """Grant permits, the most urgent request first.

    A slot is free again when its permit is returned or when its user has
    not named it for PERMIT_LOST_MS.
    """

    __slots__ = (
        "_active_since_ms",
        "_clock",
        "_concurrency",
        "_in_use",
        "_is_active",
        "_last_grant_ms",
        "_outbox",
        "_period_ms",
        "_timer",
        "_waiting",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        outbox: outbox_module.Outbox,
        rate_per_s: float,
        concurrency: int,
        is_active: Callable[[], bool],
    ) -> None:
        """Take is_active, which tells whether this process may grant."""
        self._clock = clock
        self._outbox = outbox
        self._period_ms = round(1_000 / rate_per_s) if rate_per_s > 0 else 0
        self._concurrency = concurrency if rate_per_s > 0 else 0
        self._is_active = is_active
        self._active_since_ms: int | None = None
        self._last_grant_ms: int | None = None
        self._waiting: dict[tuple[str, int], _Waiting] = {}
        self._in_use: dict[tuple[str, int], int] = {}
        self._timer: clock_module.Timer | None = None

    @property
    def in_use_count(self) -> int:
        """Return the number of permits in use as far as is known."""
        return len(self._in_use)

    @property
    def waiting_count(self) -> int:
        """Return the number of requests that wait."""
        return len(self._waiting)

    def follow_activity(self) -> None:
        """Start to learn anew when this process becomes the granter."""
        if not self._is_active():
            self._active_since_ms = None
            self._waiting.clear()
        elif self._active_since_ms is None:
            self._active_since_ms = self._clock.now_ms()

    def on_request(self, peer: str, request_id: int, urgency: int) -> None:
        """Note a request and answer at once, with 0 ms while it waits.

        While this granter learns it says nothing, so that the request goes
        on to a granter that may grant sooner.
        """
        self.follow_activity()
        if self._active_since_ms is None or not self._concurrency:
            return
        now_ms = self._clock.now_ms()
        key = (peer, request_id)
        if key in self._in_use:
            self._in_use[key] = now_ms
            self._send(peer, request_id, PERMIT_VALID_MS)
            return
        waiting = self._waiting.get(key)
        if waiting is None:
            waiting = _Waiting(peer, request_id, urgency, now_ms, now_ms)
            self._waiting[key] = waiting
        waiting.seen_ms = now_ms
        self._grant()
        is_learning = now_ms < self._active_since_ms + LEARN_MS
        if key in self._waiting and not is_learning:
            self._send(peer, request_id, 0)

    def on_in_use(self, peer: str, request_id: int) -> None:
        """Note that a permit is in use, whoever granted it."""
        self.follow_activity()
        self._in_use[(peer, request_id)] = self._clock.now_ms()
        self._waiting.pop((peer, request_id), None)

    def on_returned(self, peer: str, request_id: int) -> None:
        """Free the slot of a permit, or drop a request."""
        self._waiting.pop((peer, request_id), None)
        self._in_use.pop((peer, request_id), None)
        self.follow_activity()
        self._grant()

    def _grant(self) -> None:
        """Grant what is possible now and come back for the rest."""
        now_ms = self._clock.now_ms()
        self._drop_lost(now_ms)
        since_ms = self._active_since_ms
        if since_ms is None or not self._waiting or not self._concurrency:
            return
        start_ms = since_ms + LEARN_MS
        while self._waiting and len(self._in_use) < self._concurrency:
            if self._last_grant_ms is not None:
                start_ms = max(start_ms, self._last_grant_ms + self._period_ms)
            if start_ms > now_ms:
                break
            waiting = min(
                self._waiting.values(),
                key=lambda item: (-item.urgency, item.first_ms),
            )
            key = (waiting.peer, waiting.request_id)
            del self._waiting[key]
            self._in_use[key] = now_ms
            self._last_grant_ms = now_ms
            self._send(waiting.peer, waiting.request_id, PERMIT_VALID_MS)
        if self._waiting:
            self._schedule(max(self._period_ms, start_ms - now_ms))

    def _schedule(self, delay_ms: int) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._clock.call_later(delay_ms, self._on_timer)

    def _on_timer(self) -> None:
        self.follow_activity()
        self._grant()

    def _drop_lost(self, now_ms: int) -> None:
        for key, seen_ms in list(self._in_use.items()):
            if now_ms - seen_ms > PERMIT_LOST_MS:
                del self._in_use[key]
        for key, waiting in list(self._waiting.items()):
            if now_ms - waiting.seen_ms > REQUEST_LOST_MS:
                del self._waiting[key]

    def _send(self, peer: str, request_id: int, valid_ms: int) -> None:
        item = messages_residency.PermitGranted(request_id, valid_ms)
        self._outbox.send(peer, item)
