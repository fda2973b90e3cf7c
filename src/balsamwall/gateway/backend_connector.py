"""Open a connection to a backend server."""

from __future__ import annotations

from typing import Any
from typing import Protocol as TypingProtocol
from typing import TYPE_CHECKING

from twisted.internet import protocol

if TYPE_CHECKING:
    from balsamwall.gateway import backend_connection
    from balsamwall.gateway import backend_directory
    from balsamwall.gateway import connection_source


class ConnectionWaiter(TypingProtocol):
    """Receive a connection; exactly one of the methods is called."""

    @property
    def attempt_id(self) -> bytes:
        """Return the identifier of the request, which callers choose."""

    def on_connected(
        self, connection: backend_connection.BackendConnection
    ) -> None:
        """Handle a connection that is ready for a request."""

    def on_not_connected(self, detail: str) -> None:
        """Handle a failed connect; nothing was sent."""


class ConnectionOwner(TypingProtocol):
    """Create connections, and keep those that nobody waits for."""

    def make_connection(
        self,
        record: backend_directory.ServerRecord,
        source: connection_source.ConnectionSource,
    ) -> backend_connection.BackendConnection:
        """Return a connection that is about to be made."""

    def on_idle(
        self,
        record: backend_directory.ServerRecord,
        connection: backend_connection.BackendConnection,
    ) -> None:
        """Keep an idle connection for reuse, or close it."""

    def call_soon(self, function: Any, *args: object) -> None:
        """Call a function in the next reactor turn."""


class BackendConnector(protocol.ClientFactory):  # type: ignore[misc]
    """Factory that opens one connection for a waiter."""

    noisy = False

    def __init__(
        self,
        owner: ConnectionOwner,
        record: backend_directory.ServerRecord,
        waiter: ConnectionWaiter,
        source: connection_source.ConnectionSource,
    ) -> None:
        self._owner = owner
        self._record = record
        self._waiter: ConnectionWaiter | None = waiter
        self._source = source
        self._is_made = False
        self.connector: Any = None

    def buildProtocol(self, addr: object) -> Any:  # noqa: N802
        """Create the connection and deliver it in the next reactor turn."""
        self._is_made = True
        connection = self._owner.make_connection(self._record, self._source)
        self._owner.call_soon(self._deliver, connection)
        return connection

    def clientConnectionFailed(  # noqa: N802
        self, connector: object, reason: Any
    ) -> None:
        """Report the failure to the waiter."""
        waiter, self._waiter = self._waiter, None
        if waiter is not None:
            waiter.on_not_connected(reason.getErrorMessage())

    def cancel(self) -> None:
        """Cancel the connect; the waiter is not called.

        A connection that is made by now is not closed: the pool keeps it for
        the next request.
        """
        self._waiter = None
        if not self._is_made:
            self.connector.disconnect()

    def _deliver(
        self, connection: backend_connection.BackendConnection
    ) -> None:
        waiter, self._waiter = self._waiter, None
        if not connection.is_open:
            if waiter is not None:
                waiter.on_not_connected(
                    "connection closed right after the connect"
                )
        elif waiter is None:
            self._owner.on_idle(self._record, connection)
        else:
            waiter.on_connected(connection)
