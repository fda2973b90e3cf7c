"""Loopback proxy that injects faults into its connections."""

from __future__ import annotations

import enum
from typing import Any

from twisted.internet import endpoints
from twisted.internet import error
from twisted.internet import protocol
from twisted.internet import reactor


class LinkFault(enum.Enum):
    """Faults of the connections through a proxy."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"  # open connections are reset
    CUT_REQUESTS = "cut_requests"  # bytes to the server are dropped
    CUT_RESPONSES = "cut_answers"  # bytes to the client are dropped
    SILENCE = "silence"


DELAY_S = 0.08
# Minimum interval between chunks of one direction, which keeps their order
# when the delay changes.
ORDER_STEP_S = 0.000_01


class Proxy(protocol.Factory):  # type: ignore[misc]
    """Forwards connections to one server address."""

    def __init__(self, host: str, port: int) -> None:
        self.host, self.port = host, port
        self.fault = LinkFault.NONE
        self.links: set[_ClientSide] = set()
        self.listener: Any = None

    def listen(self) -> int:
        """Listen on a free port and return it."""
        self.listener = reactor.listenTCP(0, self, interface="127.0.0.1")
        return int(self.listener.getHost().port)

    def buildProtocol(self, addr: Any) -> protocol.Protocol:
        """Return the protocol of a new client connection."""
        return _ClientSide(self)

    def set_fault(self, fault: LinkFault) -> None:
        """Set the fault, or end it with NONE.

        A connection with dropped bytes cannot continue its stream, so it is
        aborted when the fault ends.
        """
        self.fault = fault
        if fault is LinkFault.RESET:
            for link in list(self.links):
                link.abort()
        elif fault is LinkFault.NONE:
            for link in list(self.links):
                if link.has_dropped_bytes:
                    link.abort()

    def is_dropped(self, is_request: bool) -> bool:
        """Tell whether bytes of a direction are dropped now."""
        if self.fault is LinkFault.SILENCE:
            return True
        lost = (
            LinkFault.CUT_REQUESTS if is_request else LinkFault.CUT_RESPONSES
        )
        return self.fault is lost


class _ClientSide(protocol.Protocol):  # type: ignore[misc]
    """Connection from a client."""

    def __init__(self, proxy: Proxy) -> None:
        self._proxy = proxy
        self._server_side: _ServerSide | None = None
        self._buffered: list[bytes] = []
        self.has_dropped_bytes = False
        self._is_closed = False
        self._due_s: dict[bool, float] = {True: 0.0, False: 0.0}

    def connectionMade(self) -> None:
        """Connect to the server."""
        self._proxy.links.add(self)
        self.transport.setTcpNoDelay(True)
        endpoint = endpoints.TCP4ClientEndpoint(
            reactor, self._proxy.host, self._proxy.port, timeout=2
        )
        connecting = endpoints.connectProtocol(endpoint, _ServerSide(self))
        connecting.addCallbacks(
            self._on_server_connected, lambda failure: self.abort()
        )

    def _on_server_connected(self, server_side: _ServerSide) -> None:
        if self._is_closed:
            server_side.transport.abortConnection()
            return
        self._server_side = server_side
        for data in self._buffered:
            server_side.transport.write(data)
        self._buffered = []

    def dataReceived(self, data: bytes) -> None:
        """Forward a part of a request."""
        if self._proxy.is_dropped(is_request=True):
            self.has_dropped_bytes = True
        else:
            self._schedule(self._write_to_server, data, True)

    def on_response_data(self, data: bytes) -> None:
        """Forward a part of a response."""
        if self._proxy.is_dropped(is_request=False):
            self.has_dropped_bytes = True
        else:
            self._schedule(self._write_to_client, data, False)

    def _schedule(self, function: Any, data: bytes, is_request: bool) -> None:
        now_s = reactor.seconds()
        delay_s = DELAY_S if self._proxy.fault is LinkFault.DELAY else 0.0
        due_s = max(now_s + delay_s, self._due_s[is_request] + ORDER_STEP_S)
        self._due_s[is_request] = due_s
        reactor.callLater(due_s - now_s, function, data)

    def _write_to_server(self, data: bytes) -> None:
        if self._server_side is None:
            self._buffered.append(data)
        else:
            self._server_side.transport.write(data)

    def _write_to_client(self, data: bytes) -> None:
        if not self._is_closed:
            self.transport.write(data)

    def connectionLost(self, reason: Any = None) -> None:
        """Abort the connection to the server."""
        self._is_closed = True
        self._proxy.links.discard(self)
        if (
            self._server_side is not None
            and self._server_side.transport is not None
        ):
            self._server_side.transport.abortConnection()

    def on_server_closed(self, is_clean: bool) -> None:
        """Close the client connection after the bytes received so far.

        A reset by the server becomes a reset of the client connection.
        """
        if not self._is_closed and not self._proxy.is_dropped(
            is_request=False
        ):
            end = self._close if is_clean else self.abort
            reactor.callLater(DELAY_S, end)

    def _close(self) -> None:
        if not self._is_closed:
            self.transport.loseConnection()

    def abort(self) -> None:
        """Reset the client connection, and with it the one to the server."""
        if not self._is_closed and self.transport is not None:
            self.transport.abortConnection()


class _ServerSide(protocol.Protocol):  # type: ignore[misc]
    """Connection to the server."""

    def __init__(self, client_side: _ClientSide) -> None:
        self._client_side = client_side

    def connectionMade(self) -> None:
        """Disable Nagle's algorithm."""
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:
        """Forward a part of a response."""
        self._client_side.on_response_data(data)

    def connectionLost(self, reason: Any = None) -> None:
        """Report the close to the client side."""
        self._client_side.on_server_closed(reason.check(error.ConnectionDone))
