"""Limit the requests that are sent to each backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.gateway import backend_directory
    from balsamwall.gateway import incoming_request
    from balsamwall.timing import clock as clock_module

# Requests that may wait at an engine beyond its slots. Their prompts are
# prefilled while the batch is full.
MAX_WAITING_AT_ENGINE = 3
# Further urgent requests that may wait at an engine. The engine admits them
# before all others, so they need not wait for those at the entry.
EXTRA_WAITING_URGENT = 24
# Requests with at most this priority number are urgent.
URGENT_PRIORITY = 0


class Admission:
    """Limit the requests at each engine; the others are queued at the entry.

    When demand for a model grows faster than replicas are loaded, a request
    that waits at a full engine can't move to a new replica. One that is queued
    at the entry is sent to the first engine that has room. A slow engine has
    room for as many requests as keep the pauses of its streams within the
    target of the route. Urgent requests are not held back by this, since they
    would be late as well and the engine prefills them before all others.
    """

    __slots__ = ("_clock",)

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock

    def has_room(
        self,
        server: backend_directory.BackendServer,
        request: incoming_request.IncomingRequest,
        priority: int,
        gap_target_ms: int = 0,
    ) -> bool:
        """Return whether a request may be sent to the server now.

        Requests without a model are not limited.
        """
        if not request.model:
            return True
        now_ms = self._clock.now_ms()
        slots = server.record.slots
        limit = slots + MAX_WAITING_AT_ENGINE
        if priority <= URGENT_PRIORITY:
            limit += EXTRA_WAITING_URGENT
        elif gap_target_ms:
            bearable = server.speed.bearable_requests(
                request.model, slots, gap_target_ms, now_ms
            )
            limit = bearable if bearable < slots else limit
        return server.load(now_ms) < limit
