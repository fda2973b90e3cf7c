"""Queries for the engine that shall prefill a prompt."""

from __future__ import annotations

import dataclasses
from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.timing import clock as clock_module

# The coordinator responds within some milliseconds. After this time the entry
# chooses by itself, which costs less than a longer wait.
QUERY_TIMEOUT_MS = 40
# After this many queries in a row without a response in time, none is sent for
# some time: the coordinator is overloaded, frozen or cut off.
MAX_TIMEOUTS = 3
SUSPENSION_MS = 1_500
# With fewer entries, each one sees most of the load by itself, and sooner than
# the coordinator.
MIN_ENTRIES = 8
# A shorter prompt is prefilled between two events of a stream.
MIN_QUERY_TOKENS = 400


@dataclasses.dataclass(slots=True, frozen=True)
class PromptQuery:
    """Prompt of a request, with what the entry knows of its prefill."""

    service: str
    model: str
    adapter: str
    tokens: int
    # Server that has probably cached a part of it.
    cached_at: str = ""
    cached_tokens: int = 0


class QueryLink(Protocol):
    """Send queries to the coordinator."""

    def send_query(self, number: int, query: PromptQuery) -> bool:
        """Send a query; return False without a coordinator."""


class _PendingQuery:
    """Query without a response so far."""

    __slots__ = ("on_assigned", "timer")

    def __init__(
        self,
        on_assigned: Callable[[str], None],
        timer: clock_module.Timer,
    ) -> None:
        self.on_assigned = on_assigned
        self.timer = timer


class AssignmentClient:
    """Ask the coordinator for a server, and do without it if it is slow.

    Load pattern: as of the prompt scheduler. Losing the coordinator must cost
    each entry a few short waits only.
    """

    __slots__ = (
        "_clock",
        "_entries",
        "_last_number",
        "_link",
        "_pending",
        "_suspended_until_ms",
        "_timeouts",
    )

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._link: QueryLink | None = None
        self._entries = 0
        self._last_number = 0
        self._pending: dict[int, _PendingQuery] = {}
        self._timeouts = 0
        self._suspended_until_ms = 0

    def set_link(self, link: QueryLink) -> None:
        """Set where queries are sent; before that none is."""
        self._link = link

    def set_entries(self, count: int) -> None:
        """Set the number of entries of the fleet."""
        self._entries = count

    def query(
        self, query: PromptQuery, on_assigned: Callable[[str], None]
    ) -> bool:
        """Send a query; return False if the entry has to choose by itself.

        `on_assigned` gets the server, empty without a response in time.
        """
        if self._link is None or self._entries < MIN_ENTRIES:
            return False
        if query.tokens < MIN_QUERY_TOKENS:
            return False
        if self._clock.now_ms() < self._suspended_until_ms:
            return False
        number = self._last_number + 1
        if not self._link.send_query(number, query):
            return False
        self._last_number = number
        timer = self._clock.call_later(
            QUERY_TIMEOUT_MS, self._on_timeout, number
        )
        self._pending[number] = _PendingQuery(on_assigned, timer)
        return True

    def on_response(self, number: int, server_id: str) -> None:
        """Handle a response; one after the timeout is ignored."""
        pending = self._pending.pop(number, None)
        if pending is None:
            return
        pending.timer.cancel()
        self._timeouts = 0
        pending.on_assigned(server_id)

    def _on_timeout(self, number: int) -> None:
        pending = self._pending.pop(number, None)
        if pending is None:
            return
        self._timeouts += 1
        if self._timeouts >= MAX_TIMEOUTS:
            self._timeouts = 0
            self._suspended_until_ms = self._clock.now_ms() + SUSPENSION_MS
        pending.on_assigned("")
