"""Keep persistent connections to backend servers."""

from __future__ import annotations

from typing import Any
from typing import Protocol as TypingProtocol
from typing import TYPE_CHECKING

from twisted.internet import protocol

from balsamwall.gateway import backend_connection

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.gateway import backend_directory
    from balsamwall.timing import clock as clock_module

# TCP resends a lost SYN after 1 s; with a shorter timeout, another server is
# tried before that.
CONNECT_TIMEOUT_MS = 600
# Idle timeout of a connection if the server states none in Keep-Alive. A
# longer one that it states is not used.
DEFAULT_IDLE_TIMEOUT_MS = 4_000
# The pool closes connections before the server's idle timeout, so that no
# request is sent on a connection that the server is closing.
IDLE_MARGIN_MS = 700
SWEEP_INTERVAL_MS = 500
MAX_IDLE_PER_SERVER = 16


class ConnectionWaiter(TypingProtocol):
    """Receive a connection; exactly one of the methods is called."""

    def on_connected(
        self, connection: backend_connection.BackendConnection
    ) -> None:
        """Handle a connection that is ready for a request."""

    def on_not_connected(self, detail: str) -> None:
        """Handle a failed connect; nothing was sent."""


class _IdleConnection:
    """Idle connection and the time at which the pool closes it."""

    __slots__ = ("connection", "expires_ms")

    def __init__(
        self,
        connection: backend_connection.BackendConnection,
        expires_ms: int,
    ) -> None:
        self.connection = connection
        self.expires_ms = expires_ms


class _Connector(protocol.ClientFactory):  # type: ignore[misc]
    """Factory that opens one connection for a waiter."""

    noisy = False

    def __init__(
        self,
        pool: ConnectionPool,
        server_id: str,
        waiter: ConnectionWaiter,
    ) -> None:
        self._pool = pool
        self._server_id = server_id
        self._waiter: ConnectionWaiter | None = waiter
        self.connector: Any = None

    def buildProtocol(self, addr: object) -> Any:  # noqa: N802
        """Create the connection and deliver it in the next reactor turn."""
        connection = self._pool.make_connection(self._server_id)
        self._pool.call_soon(self._deliver, connection)
        return connection

    def clientConnectionFailed(  # noqa: N802
        self, connector: object, reason: Any
    ) -> None:
        """Report the failure to the waiter."""
        waiter, self._waiter = self._waiter, None
        if waiter is not None:
            waiter.on_not_connected(reason.getErrorMessage())

    def cancel(self) -> None:
        """Cancel the connect; the waiter is not called."""
        self._waiter = None
        self.connector.disconnect()

    def _deliver(
        self, connection: backend_connection.BackendConnection
    ) -> None:
        waiter, self._waiter = self._waiter, None
        if connection.is_lost:
            if waiter is not None:
                waiter.on_not_connected(
                    "connection closed by the server right after the connect"
                )
        elif waiter is None:
            self._pool.on_idle(self._server_id, connection)
        else:
            waiter.on_connected(connection)


class ConnectionPool:
    """Keep idle connections by server; reuse the most recently used first."""

    __slots__ = (
        "_clock",
        "_echo_field",
        "_idle",
        "_reactor",
    )

    def __init__(
        self, reactor: Any, clock: clock_module.Clock, echo_field: bytes
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._echo_field = echo_field
        self._idle: dict[str, list[_IdleConnection]] = {}

    def start(self) -> None:
        """Start closing expired idle connections periodically."""
        self._clock.call_later(SWEEP_INTERVAL_MS, self.start)
        now_ms = self._clock.now_ms()
        for server_id in list(self._idle):
            kept = []
            for item in self._idle[server_id]:
                if item.expires_ms <= now_ms:
                    item.connection.close()
                else:
                    kept.append(item)
            self._idle[server_id] = kept

    def acquire(
        self,
        record: backend_directory.ServerRecord,
        waiter: ConnectionWaiter,
        is_fresh: bool = False,
    ) -> Callable[[], None]:
        """Pass a connection to the waiter; return a function that cancels.

        If is_fresh is set, a new connection is opened, since the server may be
        closing an idle one at the same time.
        """
        idle = self._idle.get(record.server_id, [])
        now_ms = self._clock.now_ms()
        while idle and not is_fresh:
            item = idle.pop()
            if item.connection.is_lost or item.expires_ms <= now_ms:
                item.connection.close()
                continue
            item.connection.is_reused = True
            waiter.on_connected(item.connection)
            return _no_op
        return self._connect(record, waiter)

    def on_idle(
        self,
        server_id: str,
        connection: backend_connection.BackendConnection,
    ) -> None:
        """Keep an idle connection for reuse, or close it.

        It is closed if its idle timeout does not exceed IDLE_MARGIN_MS or if
        MAX_IDLE_PER_SERVER connections to the server are idle already.
        """
        limit_ms = connection.idle_limit_ms or DEFAULT_IDLE_TIMEOUT_MS
        idle_ms = min(limit_ms, DEFAULT_IDLE_TIMEOUT_MS) - IDLE_MARGIN_MS
        idle = self._idle.setdefault(server_id, [])
        if idle_ms <= 0 or len(idle) >= MAX_IDLE_PER_SERVER:
            connection.close()
            return
        expires_ms = self._clock.now_ms() + idle_ms
        idle.append(_IdleConnection(connection, expires_ms))

    def close_idle(self, server_id: str) -> None:
        """Close the idle connections to a server."""
        for item in self._idle.pop(server_id, []):
            item.connection.close()

    def make_connection(
        self, server_id: str
    ) -> backend_connection.BackendConnection:
        """Return a connection that returns to the pool when it is idle."""

        def on_idle(item: backend_connection.BackendConnection) -> None:
            self.on_idle(server_id, item)

        def on_lost(item: backend_connection.BackendConnection) -> None:
            self._on_lost(server_id, item)

        return backend_connection.BackendConnection(
            self._echo_field, on_idle, on_lost
        )

    def call_soon(self, function: Any, *args: object) -> None:
        """Call a function in the next reactor turn."""
        self._reactor.callLater(0, function, *args)

    def _connect(
        self,
        record: backend_directory.ServerRecord,
        waiter: ConnectionWaiter,
    ) -> Callable[[], None]:
        factory = _Connector(self, record.server_id, waiter)
        factory.connector = self._reactor.connectTCP(
            record.host,
            record.port,
            factory,
            timeout=CONNECT_TIMEOUT_MS / 1_000,
        )
        return factory.cancel

    def _on_lost(
        self,
        server_id: str,
        connection: backend_connection.BackendConnection,
    ) -> None:
        idle = self._idle.get(server_id, [])
        idle[:] = [item for item in idle if item.connection is not connection]


def _no_op() -> None:
    """Do nothing, since the connection was delivered immediately."""
