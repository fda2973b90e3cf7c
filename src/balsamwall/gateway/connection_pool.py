"""Keep persistent connections to backend servers."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from balsamwall.gateway import backend_connection
from balsamwall.gateway import backend_connector
from balsamwall.gateway import connection_source
from balsamwall.gateway import idle_timeout

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.gateway import backend_directory
    from balsamwall.logs import decision_log
    from balsamwall.timing import clock as clock_module

    MaxIdle = Callable[[backend_directory.ServerRecord], int]
    OnOpened = Callable[[connection_source.ConnectionSource], None]

_Source = connection_source.ConnectionSource
# TCP resends a lost SYN after 1 s; with a shorter timeout, another server is
# tried before that.
CONNECT_TIMEOUT_MS = 600
SWEEP_INTERVAL_MS = 500
MAX_IDLE_PER_SERVER = 16
# A reused connection that breaks later than this after a request was sent, and
# without any response, was not dropped while it was idle.
RESET_WINDOW_MS = 500


class _IdleConnection:
    """Idle connection to a server, and the time since which it is idle."""

    __slots__ = ("connection", "record", "since_ms")

    def __init__(
        self,
        connection: backend_connection.BackendConnection,
        record: backend_directory.ServerRecord,
        since_ms: int,
    ) -> None:
        self.connection = connection
        self.record = record
        self.since_ms = since_ms


class _Reuse:
    """Idle time of a connection before its current request."""

    __slots__ = ("at_ms", "idle_ms")

    def __init__(self, at_ms: int, idle_ms: int) -> None:
        self.at_ms = at_ms
        self.idle_ms = idle_ms


class ConnectionPool:
    """Keep idle connections by server; reuse the most recently used first.

    `max_idle` returns how many connections to a server may be idle.
    `on_opened` is called with the reason for each new connection.
    """

    __slots__ = (
        "_clock",
        "_closed",
        "_echo_field",
        "_idle",
        "_log",
        "_max_idle",
        "_on_opened",
        "_reactor",
        "_reuses",
        "_timeouts",
    )

    def __init__(
        self,
        reactor: Any,
        clock: clock_module.Clock,
        echo_field: bytes,
        max_idle: MaxIdle | None = None,
        log: decision_log.DecisionLog | None = None,
        on_opened: OnOpened | None = None,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._echo_field = echo_field
        self._log = log
        self._max_idle = max_idle or _default_max_idle
        self._on_opened = on_opened
        self._closed = connection_source.ClosedConnections(clock)
        self._idle: dict[str, list[_IdleConnection]] = {}
        # Connections whose current request has no response yet.
        self._reuses: dict[backend_connection.BackendConnection, _Reuse] = {}
        # By service.
        self._timeouts: dict[str, idle_timeout.IdleTimeout] = {}

    def start(self) -> None:
        """Start closing expired idle connections periodically."""
        self._clock.call_later(SWEEP_INTERVAL_MS, self.start)
        self._closed.forget_old()
        for server_id, idle in self._idle.items():
            kept = []
            for item in idle:
                if self._is_usable(item, is_repeatable=True):
                    kept.append(item)
                else:
                    item.connection.close()
                    self._closed.add(server_id, _Source.TOO_OLD)
            idle[:] = kept

    def acquire(
        self,
        record: backend_directory.ServerRecord,
        waiter: backend_connector.ConnectionWaiter,
        is_fresh: bool = False,
        is_repeatable: bool = False,
    ) -> Callable[[], None]:
        """Pass a connection to the waiter; return a function that cancels.

        If is_fresh is set, a new connection is opened, since the server may be
        closing an idle one at the same time. If is_repeatable is not set, only
        idle times that are known to be safe are used.
        """
        if is_fresh:
            return self._connect(record, waiter, _Source.MUST_BE_NEW)
        found = self._take_idle(record, waiter.attempt_id, is_repeatable)
        if isinstance(found, _Source):
            return self._connect(record, waiter, found)
        now_ms = self._clock.now_ms()
        connection = found.connection
        connection.source = _Source.REUSED
        self._reuses[connection] = _Reuse(now_ms, now_ms - found.since_ms)
        waiter.on_connected(connection)
        return _no_op

    def _take_idle(
        self,
        record: backend_directory.ServerRecord,
        attempt_id: bytes,
        is_repeatable: bool,
    ) -> _IdleConnection | connection_source.ConnectionSource:
        """Return an idle connection, or the reason for opening a new one."""
        idle = self._open_idle(record.server_id)
        while idle and not _is_same_process(idle[-1].record, record):
            # Its request ended after the process had been replaced.
            idle.pop().connection.close()
            self._closed.add(record.server_id, _Source.OTHER_PROCESS)
        if not idle:
            return self._closed.take(record.server_id)
        if not self._is_usable(idle[-1], is_repeatable):
            # The rest is idle for longer.
            return _Source.TOO_OLD
        if idle[-1].connection.has_sent(attempt_id):
            return _Source.MUST_BE_NEW
        return idle.pop()

    def _open_idle(self, server_id: str) -> list[_IdleConnection]:
        """Return the idle connections, of which the last one is open.

        This process closes one on which it receives bytes, and is told of the
        loss in a later reactor turn.
        """
        idle = self._idle.get(server_id, [])
        while idle and not idle[-1].connection.is_open:
            idle.pop()
            self._closed.add(server_id, _Source.TOO_OLD)
        return idle

    def has_idle(self, record: backend_directory.ServerRecord) -> bool:
        """Return whether a request can be sent without a new connection."""
        idle = self._open_idle(record.server_id)
        return bool(idle) and self._is_usable(idle[-1], is_repeatable=False)

    def on_idle(
        self,
        record: backend_directory.ServerRecord,
        connection: backend_connection.BackendConnection,
    ) -> None:
        """Keep an idle connection for reuse, or close it.

        It is closed if the server states too short an idle timeout. Beyond the
        maximum of idle connections, the one that was used least recently is
        closed.
        """
        item = _IdleConnection(connection, record, self._clock.now_ms())
        if not self._is_usable(item, is_repeatable=True):
            connection.close()
            self._closed.add(record.server_id, _Source.TOO_OLD)
            return
        idle = self._idle.setdefault(record.server_id, [])
        idle.append(item)
        while len(idle) > self._max_idle(record):
            idle.pop(0).connection.close()

    def close_idle(self, server_id: str) -> None:
        """Close the idle connections to a server."""
        idle = self._idle.pop(server_id, [])
        for item in idle:
            item.connection.close()
        self._closed.on_process_gone(server_id, len(idle))

    def make_connection(
        self,
        record: backend_directory.ServerRecord,
        source: connection_source.ConnectionSource,
    ) -> backend_connection.BackendConnection:
        """Return a connection that returns to the pool when it is idle."""
        if self._on_opened is not None:
            self._on_opened(source)

        def on_idle(item: backend_connection.BackendConnection) -> None:
            self.on_idle(record, item)

        def on_lost(item: backend_connection.BackendConnection) -> None:
            self._on_lost(record, item)

        def on_response(item: backend_connection.BackendConnection) -> None:
            self._on_response(record, item)

        connection = backend_connection.BackendConnection(
            self._echo_field, on_idle, on_lost, on_response
        )
        connection.source = source
        return connection

    def call_soon(self, function: Any, *args: object) -> None:
        """Call a function in the next reactor turn."""
        self._reactor.callLater(0, function, *args)

    def _connect(
        self,
        record: backend_directory.ServerRecord,
        waiter: backend_connector.ConnectionWaiter,
        source: connection_source.ConnectionSource,
    ) -> Callable[[], None]:
        factory = backend_connector.BackendConnector(
            self, record, waiter, source
        )
        factory.connector = self._reactor.connectTCP(
            record.host,
            record.port,
            factory,
            timeout=CONNECT_TIMEOUT_MS / 1_000,
        )
        return factory.cancel

    def _timeout(self, service: str) -> idle_timeout.IdleTimeout:
        timeout = self._timeouts.get(service)
        if timeout is None:
            timeout = idle_timeout.IdleTimeout(self._clock)
            self._timeouts[service] = timeout
        return timeout

    def _is_usable(self, item: _IdleConnection, is_repeatable: bool) -> bool:
        connection = item.connection
        if not connection.is_open:
            return False
        limit_ms = self._timeout(item.record.service).limit_ms(
            connection.idle_limit_ms, is_repeatable
        )
        return self._clock.now_ms() - item.since_ms < limit_ms

    def _on_response(
        self,
        record: backend_directory.ServerRecord,
        connection: backend_connection.BackendConnection,
    ) -> None:
        """Learn from a connection that was alive when it was reused."""
        reuse = self._reuses.pop(connection, None)
        if reuse is not None:
            self._timeout(record.service).on_reused(
                reuse.idle_ms, connection.idle_limit_ms
            )

    def _on_reset(
        self,
        record: backend_directory.ServerRecord,
        connection: backend_connection.BackendConnection,
        idle_ms: int,
    ) -> None:
        timeout = self._timeout(record.service)
        timeout.on_reset(record.server_id, idle_ms)
        if self._log is not None:
            self._log.write(
                "idle_connection_reset",
                server=record.server_id,
                service=record.service,
                idle_ms=idle_ms,
                stated_ms=connection.idle_limit_ms,
                learned_ms=timeout.limit_ms(None, is_trial=True),
            )

    def _on_lost(
        self,
        record: backend_directory.ServerRecord,
        connection: backend_connection.BackendConnection,
    ) -> None:
        reuse = self._reuses.pop(connection, None)
        if reuse is not None and connection.is_awaited:
            since_ms = self._clock.now_ms() - reuse.at_ms
            if since_ms <= RESET_WINDOW_MS:
                self._on_reset(record, connection, reuse.idle_ms)
        idle = self._idle.get(record.server_id, [])
        kept = [item for item in idle if item.connection is not connection]
        if len(kept) < len(idle):
            self._closed.add(record.server_id, _Source.TOO_OLD)
            idle[:] = kept


def max_idle(max_connections: int, slots: int, entries: int) -> int:
    """Return how many idle connections an entry may keep to a server.

    The maximum of a server is for all entries together, and as many busy
    connections as it has slots are left out of it.
    """
    spare = (max_connections - slots) // max(1, entries)
    return max(1, min(MAX_IDLE_PER_SERVER, spare))


def _is_same_process(
    old: backend_directory.ServerRecord, new: backend_directory.ServerRecord
) -> bool:
    return (old.host, old.port, old.started_ms) == (
        new.host,
        new.port,
        new.started_ms,
    )


def _default_max_idle(record: backend_directory.ServerRecord) -> int:
    return MAX_IDLE_PER_SERVER


def _no_op() -> None:
    """Do nothing, since the connection was delivered immediately."""
