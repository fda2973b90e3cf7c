"""Queries of an entry that the coordinator answers in time, or not."""

from __future__ import annotations

from typing import Generic
from typing import TYPE_CHECKING
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.timing import clock as clock_module

# The coordinator responds within some milliseconds. After this time the entry
# decides by itself, which costs less than a longer wait.
QUERY_TIMEOUT_MS = 40
# After this many queries in a row without a response in time, none is sent for
# some time: the coordinator is overloaded, frozen or cut off.
MAX_TIMEOUTS = 3
SUSPENSION_MS = 1_500

Response = TypeVar("Response")


class _PendingQuery(Generic[Response]):
    """Query without a response so far."""

    __slots__ = ("expires_ms", "on_response", "timer")

    def __init__(
        self,
        on_response: Callable[[Response | None], None],
        timer: clock_module.Timer,
        expires_ms: int,
    ) -> None:
        self.on_response = on_response
        self.timer = timer
        self.expires_ms = expires_ms


class CoordinatorQueries(Generic[Response]):
    """Number the queries of one kind, and give up on a slow coordinator.

    Load pattern: the coordinator freezes or is lost under load, which must
    cost each entry a few short waits only.
    """

    __slots__ = (
        "_clock",
        "_last_number",
        "_pending",
        "_suspended_until_ms",
        "_timeouts",
    )

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._last_number = 0
        self._pending: dict[int, _PendingQuery[Response]] = {}
        self._timeouts = 0
        self._suspended_until_ms = 0

    def send(
        self,
        send: Callable[[int], bool],
        on_response: Callable[[Response | None], None],
    ) -> bool:
        """Send a query; return False if the entry has to decide by itself.

        `send` gets the number of the query and returns False without a
        coordinator. `on_response` gets None without a response in time.
        """
        if self._clock.now_ms() < self._suspended_until_ms:
            return False
        number = self._last_number + 1
        self._last_number = number
        # A coordinator in this process responds before `send` returns.
        timer = self._clock.call_later(
            QUERY_TIMEOUT_MS, self._on_timeout, number
        )
        self._pending[number] = _PendingQuery(
            on_response, timer, self._clock.now_ms() + QUERY_TIMEOUT_MS
        )
        if send(number):
            return True
        timer.cancel()
        self._pending.pop(number, None)
        return False

    def resolve(self, number: int, response: Response) -> None:
        """Deliver a response; one after the timeout is ignored.

        After a pause of this process, a response is read before the overdue
        timer runs. A permission in it may have expired in the meantime.
        """
        pending = self._pending.get(number)
        if pending is None:
            return
        pending.timer.cancel()
        if self._clock.now_ms() > pending.expires_ms:
            self._on_timeout(number)
            return
        del self._pending[number]
        self._timeouts = 0
        pending.on_response(response)

    def _on_timeout(self, number: int) -> None:
        pending = self._pending.pop(number, None)
        if pending is None:
            return
        self._timeouts += 1
        if self._timeouts >= MAX_TIMEOUTS:
            self._timeouts = 0
            self._suspended_until_ms = self._clock.now_ms() + SUSPENSION_MS
        pending.on_response(None)
