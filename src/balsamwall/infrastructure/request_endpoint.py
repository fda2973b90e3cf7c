"""Endpoints that open the connection of one request."""

from __future__ import annotations

from typing import Any
from typing import Protocol

from twisted.internet import endpoints
from twisted.internet import error
from twisted.internet import interfaces
from twisted.web import iweb
from zope import interface

from balsamwall.infrastructure import response_bounds

CONNECT_TIMEOUT_MS = 1_000


class Exchange(Protocol):
    """Request and response that use a connection alone."""

    @property
    def allowance(self) -> response_bounds.ResponseAllowance:
        """Return the bytes that the response may have."""

    @property
    def may_send(self) -> bool:
        """Return whether the request may still be sent."""

    def on_exceeded(self) -> None:
        """Handle a response that was cut, as it exceeded its allowance."""


@interface.implementer(interfaces.IStreamClientEndpoint)
class RequestEndpoint:
    """Endpoint that checks at the last moment whether to send a request."""

    def __init__(self, endpoint: Any, exchange: Exchange) -> None:
        self._endpoint = endpoint
        self._exchange = exchange

    def connect(self, protocolFactory: Any) -> Any:
        """Connect; fail as not connected if it is too late for a request."""
        exchange = self._exchange
        factory = response_bounds.BoundedFactory(
            protocolFactory, exchange.allowance, exchange.on_exceeded
        )
        return self._endpoint.connect(factory).addCallback(self._on_connected)

    def _on_connected(self, connected: Any) -> Any:
        if self._exchange.may_send:
            return connected.wrappedProtocol
        connected.transport.abortConnection()
        raise error.ConnectingCancelledError(None)


@interface.implementer(iweb.IAgentEndpointFactory)
class EndpointFactory:
    """Factory of endpoints for numeric IP addresses.

    The default factory also resolves host names and, because of its delay
    between attempts, reports a refused connection only after 300 ms.
    """

    def __init__(self, reactor: Any, exchange: Exchange) -> None:
        self._reactor = reactor
        self._exchange = exchange

    def endpointForURI(self, uri: Any) -> Any:
        """Return the endpoint of an `http` URL; raise ValueError if none."""
        if uri.scheme != b"http":
            raise ValueError(f"unsupported scheme {uri.scheme!r}")
        host = uri.host.decode("ascii").strip("[]")
        is_ipv6 = ":" in host
        factory = (
            endpoints.TCP6ClientEndpoint
            if is_ipv6
            else endpoints.TCP4ClientEndpoint
        )
        timeout_s = CONNECT_TIMEOUT_MS / 1_000
        return RequestEndpoint(
            factory(self._reactor, host, uri.port, timeout=timeout_s),
            self._exchange,
        )
