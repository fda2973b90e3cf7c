"""Permits for weight loads, limited by rate and concurrency.

The granter of a pool is the process that currently grants its permits.
"""

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
# A permit that its holder has not reported for this long is freed.
PERMIT_TIMEOUT_MS = 10_000
# A new granter first discovers which permits of its predecessor are in use.
# A load starts at most 5 s after the predecessor received its request, and its
# permit is reported every 2 s; one lost message is allowed for. This time also
# delays loads of unreachable models after the loss of a granter.
DISCOVERY_MS = 10_000
# A waiting request that was not repeated for this long is removed.
REQUEST_TIMEOUT_MS = 5_000


@dataclasses.dataclass(slots=True)
class _PendingRequest:
    """Request that waits for a permit."""

    peer: str
    request_id: int
    urgency: int
    first_ms: int
    seen_ms: int


class PermitPool:
    """Grant permits, the most urgent request first.

    Each permit in use takes one of `concurrency` slots. A slot is freed when
    its permit is returned or when its holder has not reported it for
    PERMIT_TIMEOUT_MS.
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
        "_pending",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        outbox: outbox_module.Outbox,
        rate_per_s: float,
        concurrency: int,
        is_active: Callable[[], bool],
    ) -> None:
        """Create a pool that grants permits only while `is_active()`.

        The rate is in loads per second. With a rate of 0 no permit is granted
        and no request gets a response.
        """
        self._clock = clock
        self._outbox = outbox
        self._period_ms = round(1_000 / rate_per_s) if rate_per_s > 0 else 0
        self._concurrency = concurrency if rate_per_s > 0 else 0
        self._is_active = is_active
        self._active_since_ms: int | None = None
        self._last_grant_ms: int | None = None
        self._pending: dict[tuple[str, int], _PendingRequest] = {}
        self._in_use: dict[tuple[str, int], int] = {}
        self._timer: clock_module.Timer | None = None

    @property
    def in_use_count(self) -> int:
        """Return the number of permits known to be in use."""
        return len(self._in_use)

    @property
    def pending_count(self) -> int:
        """Return the number of requests that wait for a permit."""
        return len(self._pending)

    def update_activity(self) -> None:
        """Start discovery when this process becomes the granter.

        When it stops being the granter, waiting requests are removed.
        """
        if not self._is_active():
            self._active_since_ms = None
            self._pending.clear()
        elif self._active_since_ms is None:
            self._active_since_ms = self._clock.now_ms()

    def on_request(self, peer: str, request_id: int, urgency: int) -> None:
        """Record a request and respond at once, if this is the granter.

        The response is PermitGranted; a validity of 0 ms means that the
        request still waits. During discovery a waiting request gets no
        response, so that the client moves on to a granter that may grant
        sooner. With a rate or concurrency of 0 there is no response.
        """
        self.update_activity()
        if self._active_since_ms is None or not self._concurrency:
            return
        now_ms = self._clock.now_ms()
        key = (peer, request_id)
        if key in self._in_use:
            self._in_use[key] = now_ms
            self._send(peer, request_id, PERMIT_VALID_MS)
            return
        pending = self._pending.get(key)
        if pending is None:
            pending = _PendingRequest(
                peer, request_id, urgency, now_ms, now_ms
            )
            self._pending[key] = pending
        pending.seen_ms = now_ms
        self._grant()
        is_discovering = now_ms < self._active_since_ms + DISCOVERY_MS
        if key in self._pending and not is_discovering:
            self._send(peer, request_id, 0)

    def on_in_use(self, peer: str, request_id: int) -> None:
        """Record that a permit is in use, whichever process granted it."""
        self.update_activity()
        self._in_use[(peer, request_id)] = self._clock.now_ms()
        self._pending.pop((peer, request_id), None)

    def on_returned(self, peer: str, request_id: int) -> None:
        """Free the slot of a permit, or remove a waiting request."""
        self._pending.pop((peer, request_id), None)
        self._in_use.pop((peer, request_id), None)
        self.update_activity()
        self._grant()

    def _grant(self) -> None:
        """Grant the permits possible now and schedule the next attempt."""
        now_ms = self._clock.now_ms()
        self._drop_expired(now_ms)
        since_ms = self._active_since_ms
        if since_ms is None or not self._pending or not self._concurrency:
            return
        start_ms = since_ms + DISCOVERY_MS
        while self._pending and len(self._in_use) < self._concurrency:
            if self._last_grant_ms is not None:
                start_ms = max(start_ms, self._last_grant_ms + self._period_ms)
            if start_ms > now_ms:
                break
            pending = min(
                self._pending.values(),
                key=lambda item: (-item.urgency, item.first_ms),
            )
            key = (pending.peer, pending.request_id)
            del self._pending[key]
            self._in_use[key] = now_ms
            self._last_grant_ms = now_ms
            self._send(pending.peer, pending.request_id, PERMIT_VALID_MS)
        if self._pending:
            self._schedule(max(self._period_ms, start_ms - now_ms))

    def _schedule(self, delay_ms: int) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._clock.call_later(delay_ms, self._on_timer)

    def _on_timer(self) -> None:
        self.update_activity()
        self._grant()

    def _drop_expired(self, now_ms: int) -> None:
        for key, seen_ms in list(self._in_use.items()):
            if now_ms - seen_ms > PERMIT_TIMEOUT_MS:
                del self._in_use[key]
        for key, pending in list(self._pending.items()):
            if now_ms - pending.seen_ms > REQUEST_TIMEOUT_MS:
                del self._pending[key]

    def _send(self, peer: str, request_id: int, valid_ms: int) -> None:
        item = messages_residency.PermitGranted(request_id, valid_ms)
        self._outbox.send(peer, item)
