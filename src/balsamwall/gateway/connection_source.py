"""State why connections to servers are opened."""

from __future__ import annotations

import collections
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.timing import clock as clock_module

# A connection that was closed longer ago does not explain a new one: no idle
# time would have kept it until now.
MEMORY_MS = 300_000
# Bounds the memory for one server; no more connections to it are idle.
MAX_CLOSED_PER_SERVER = 16


class ConnectionSource(enum.Enum):
    """State where the connection of a request came from.

    All values but REUSED are reasons for opening a new connection.
    """

    REUSED = "reused"
    NONE_IDLE = "none_idle"  # all are in use, or there was none yet
    MUST_BE_NEW = "must_be_new"  # the request is not safe on a used one
    TOO_OLD = "too_old"  # idle for too long, or closed by the server
    OTHER_PROCESS = "other_process"  # to a process that was replaced


class ClosedConnections:
    """Remember why idle connections were closed.

    A sweep closes expired connections, so that most requests find none idle,
    whatever the cause. Each closed connection explains one new connection.
    """

    __slots__ = ("_by_server", "_clock")

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        # By server: time and reason, the last closed at the end.
        self._by_server: dict[
            str, collections.deque[tuple[int, ConnectionSource]]
        ] = {}

    def add(
        self, server_id: str, reason: ConnectionSource, count: int = 1
    ) -> None:
        """Record that idle connections were closed."""
        if count == 0:
            return
        closed = self._by_server.setdefault(
            server_id, collections.deque(maxlen=MAX_CLOSED_PER_SERVER)
        )
        closed.extend([(self._clock.now_ms(), reason)] * count)

    def on_process_gone(self, server_id: str, idle: int) -> None:
        """Record that a process has ended, with its idle connections.

        Those that it closed itself a moment before are counted with them.
        """
        count = idle + len(self._by_server.pop(server_id, ()))
        self.add(server_id, ConnectionSource.OTHER_PROCESS, count)

    def take(self, server_id: str) -> ConnectionSource:
        """Return the reason for one new connection to a server."""
        closed = self._by_server.get(server_id)
        if not closed:
            return ConnectionSource.NONE_IDLE
        at_ms, reason = closed.pop()
        if at_ms < self._clock.now_ms() - MEMORY_MS:
            return ConnectionSource.NONE_IDLE
        return reason

    def forget_old(self) -> None:
        """Remove servers to which no connection was closed recently."""
        since_ms = self._clock.now_ms() - MEMORY_MS
        self._by_server = {
            server_id: closed
            for server_id, closed in self._by_server.items()
            if closed and closed[-1][0] >= since_ms
        }
