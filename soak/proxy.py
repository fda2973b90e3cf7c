"""Loopback proxy that harms the connections through it."""

from __future__ import annotations

import enum
from typing import Any

from twisted.internet import endpoints
from twisted.internet import protocol
from twisted.internet import reactor


class LinkFault(enum.Enum):
    """What happens to the bytes of a link."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"  # present connections are reset
    CUT_REQUESTS = "cut_requests"  # nothing reaches the server
    CUT_ANSWERS = "cut_answers"  # nothing comes back
    SILENCE = "silence"


DELAY_S = 0.08
# Parts of one direction keep their order whatever delay they have.
ORDER_STEP_S = 0.000_01


class Proxy(protocol.Factory):  # type: ignore[misc]
    """Forwards one address to another one."""

    def __init__(self, host: str, port: int) -> None:
        self.host, self.port = host, port
        self.fault = LinkFault.NONE
        self.links: set[_Front] = set()
        self.listener: Any = None

    def listen(self) -> int:
        """Listen on a free port and return it."""
        self.listener = reactor.listenTCP(0, self, interface="127.0.0.1")
        return int(self.listener.getHost().port)

    def buildProtocol(self, addr: Any) -> protocol.Protocol:
        """Return the side that faces the client."""
        return _Front(self)

    def set_fault(self, fault: LinkFault) -> None:
        """Begin or end a fault.

        Bytes that were dropped are gone, so that a connection that lost some
        is closed when the fault ends.
        """
        self.fault = fault
        if fault is LinkFault.RESET:
            for link in list(self.links):
                link.abort()
        elif fault is LinkFault.NONE:
            for link in list(self.links):
                if link.has_lost:
                    link.abort()

    def is_dropped(self, is_request: bool) -> bool:
        """Tell whether bytes of a direction are lost now."""
        if self.fault is LinkFault.SILENCE:
            return True
        lost = LinkFault.CUT_REQUESTS if is_request else LinkFault.CUT_ANSWERS
        return self.fault is lost


class _Front(protocol.Protocol):  # type: ignore[misc]
    """Connection of a client."""

    def __init__(self, proxy: Proxy) -> None:
        self._proxy = proxy
        self._back: _Back | None = None
        self._early: list[bytes] = []
        self.has_lost = False
        self._is_over = False
        self._due_s: dict[bool, float] = {True: 0.0, False: 0.0}

    def connectionMade(self) -> None:
        """Connect to the server."""
        self._proxy.links.add(self)
        self.transport.setTcpNoDelay(True)
        point = endpoints.TCP4ClientEndpoint(
            reactor, self._proxy.host, self._proxy.port, timeout=2
        )
        connecting = endpoints.connectProtocol(point, _Back(self))
        connecting.addCallbacks(self._on_back, lambda failure: self.abort())

    def _on_back(self, back: _Back) -> None:
        if self._is_over:
            back.transport.abortConnection()
            return
        self._back = back
        for data in self._early:
            back.transport.write(data)
        self._early = []

    def dataReceived(self, data: bytes) -> None:
        """Pass a part of a request on."""
        if self._proxy.is_dropped(is_request=True):
            self.has_lost = True
        else:
            self._later(self._to_back, data, True)

    def on_answer(self, data: bytes) -> None:
        """Pass a part of an answer back."""
        if self._proxy.is_dropped(is_request=False):
            self.has_lost = True
        else:
            self._later(self._to_front, data, False)

    def _later(self, function: Any, data: bytes, is_request: bool) -> None:
        now_s = reactor.seconds()
        delay_s = DELAY_S if self._proxy.fault is LinkFault.DELAY else 0.0
        due_s = max(now_s + delay_s, self._due_s[is_request] + ORDER_STEP_S)
        self._due_s[is_request] = due_s
        reactor.callLater(due_s - now_s, function, data)

    def _to_back(self, data: bytes) -> None:
        if self._back is None:
            self._early.append(data)
        else:
            self._back.transport.write(data)

    def _to_front(self, data: bytes) -> None:
        if not self._is_over:
            self.transport.write(data)

    def connectionLost(self, reason: Any = None) -> None:
        """Close the other side, unless the link hides the close."""
        self._is_over = True
        self._proxy.links.discard(self)
        if self._back is not None and self._back.transport is not None:
            self._back.transport.abortConnection()

    def on_back_lost(self) -> None:
        """Close the connection of the client after what was received."""
        if not self._is_over and not self._proxy.is_dropped(is_request=False):
            reactor.callLater(DELAY_S, self._close)

    def _close(self) -> None:
        if not self._is_over:
            self.transport.loseConnection()

    def abort(self) -> None:
        """Reset both connections."""
        if not self._is_over and self.transport is not None:
            self.transport.abortConnection()


class _Back(protocol.Protocol):  # type: ignore[misc]
    """Connection to the server."""

    def __init__(self, front: _Front) -> None:
        self._front = front

    def connectionMade(self) -> None:
        """Send small parts at once."""
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:
        """Pass a part of an answer back."""
        self._front.on_answer(data)

    def connectionLost(self, reason: Any = None) -> None:
        """Tell the other side."""
        self._front.on_back_lost()
