"""Twisted HTTP server with limits on bodies and connections."""

from __future__ import annotations

import io
import socket
from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import interfaces
from twisted.web import http
from twisted.web import server
from zope.interface import declarations

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.timing import clock

REQUEST_TIMEOUT_S = 60
# A caller that has not read for this long counts as stalled.
STALL_TIMEOUT_MS = 30_000
_KEEP_ALIVE_OPTIONS = (
    (socket.TCP_KEEPIDLE, 10),
    (socket.TCP_KEEPINTVL, 5),
    (socket.TCP_KEEPCNT, 4),
)
# A body of up to this multiple of the limit is read and discarded, so that
# the caller receives the error; beyond it, the connection is closed.
DISCARD_FACTOR = 8


class LimitedRequest(server.Request):  # type: ignore[misc]
    """Request whose body is kept in memory up to a limit.

    Above the limits the body is dropped and is_body_too_large or
    is_body_budget_exceeded is set.
    """

    max_body_bytes = 0

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.is_body_too_large = False
        self.is_body_budget_exceeded = False
        self._body_bytes = 0
        self._charged_bytes = 0

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Buffer the body in memory; Twisted writes large ones to a file."""
        self.content = io.BytesIO()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Append a chunk of the body, or drop the body above the limits."""
        self._body_bytes += len(data)
        self.is_body_too_large = self._body_bytes > self.max_body_bytes
        if not self.is_body_too_large and not self.is_body_budget_exceeded:
            if self.channel.site.charge_body(len(data)):
                self._charged_bytes += len(data)
                self.content.write(data)
                return
            self.is_body_budget_exceeded = True
        self.content = io.BytesIO()
        self._release_body()
        if self._body_bytes > DISCARD_FACTOR * self.max_body_bytes:
            self.channel.transport.abortConnection()

    def finish(self) -> None:
        """Complete the response and release the memory of the body."""
        self._release_body()
        super().finish()

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Release the memory of the body."""
        self._release_body()
        super().connectionLost(reason)

    def _release_body(self) -> None:
        self.channel.site.charge_body(-self._charged_bytes)
        self._charged_bytes = 0


class LimitedChannel(http.HTTPChannel):  # type: ignore[misc]
    """HTTP connection that counts toward the limit of its site."""

    _site: LimitedSite | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Register the connection, or abort it above the limit."""
        super().connectionMade()
        site = self.site if hasattr(self, "site") else None
        if isinstance(site, LimitedSite) and not site.add_connection():
            self.transport.abortConnection()
            return
        self._site = site
        self.transport.setTcpNoDelay(True)
        self._set_keep_alive()

    def _set_keep_alive(self) -> None:
        # A caller whose VM has failed does not close its connection. Without
        # keep-alive probes its non-streamed request would run to the end.
        self.transport.setTcpKeepAlive(True)
        handle = self.transport.getHandle()
        for option, value in _KEEP_ALIVE_OPTIONS:
            handle.setsockopt(socket.IPPROTO_TCP, option, value)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Release the connection's slot."""
        site, self._site = self._site, None
        if site is not None:
            site.remove_connection()
        super().connectionLost(reason)


def _build_channel() -> Any:
    # Twisted's generic channel also negotiates HTTP/2 over TLS, to which
    # these limits do not apply.
    return LimitedChannel()


class LimitedSite(server.Site):  # type: ignore[misc]
    """Site with limits on bodies and connections, without an access log."""

    def __init__(
        self,
        resource: Any,
        max_body_bytes: int,
        max_connections: int,
        max_total_body_bytes: int = 2**23,
    ) -> None:
        request_factory = type(
            "SiteRequest",
            (LimitedRequest,),
            {"max_body_bytes": max_body_bytes},
        )
        super().__init__(
            resource,
            request_factory,
            timeout=REQUEST_TIMEOUT_S,
            parsePOSTFormSubmission=False,
        )
        self.noisy = False
        self.displayTracebacks = False
        self.protocol = _build_channel
        self._max_connections = max_connections
        self._connections = 0
        self._max_total_body_bytes = max_total_body_bytes
        self._total_body_bytes = 0

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return self._connections

    def add_connection(self) -> bool:
        """Register a connection; return False if the limit is reached."""
        if self._connections >= self._max_connections:
            return False
        self._connections += 1
        return True

    def remove_connection(self) -> None:
        """Deregister a connection that add_connection accepted."""
        self._connections -= 1

    def charge_body(self, size_bytes: int) -> bool:
        """Reserve memory for bodies; return False above the limit.

        A negative size releases memory.
        """
        total_bytes = self._total_body_bytes + size_bytes
        if size_bytes > 0 and total_bytes > self._max_total_body_bytes:
            return False
        self._total_body_bytes = total_bytes
        return True

    def log(self, request: Any) -> None:
        """Override the access log of Twisted; write nothing."""


@declarations.implementer(interfaces.IPushProducer)
class HttpSink:
    """Response sink that bounds the data unsent to a slow caller."""

    __slots__ = (
        "_clock",
        "_is_finished",
        "_max_unsent_bytes",
        "_on_overflow",
        "_paused_since_ms",
        "_request",
        "_unsent_bytes",
    )

    _on_overflow: Callable[[], None] | None
    _paused_since_ms: int | None

    def __init__(
        self, request: Any, clock: clock.Clock, max_unsent_bytes: int
    ) -> None:
        self._request = request
        self._clock = clock
        self._max_unsent_bytes = max_unsent_bytes
        self._on_overflow = None
        self._paused_since_ms = None
        self._unsent_bytes = 0
        self._is_finished = False

    @property
    def is_stalled(self) -> bool:
        """Return whether the caller has not read for STALL_TIMEOUT_MS."""
        if self._paused_since_ms is None:
            return False
        paused_ms = self._clock.now_ms() - self._paused_since_ms
        return paused_ms >= STALL_TIMEOUT_MS

    def set_callbacks(
        self,
        on_disconnected: Callable[[], None],
        on_overflow: Callable[[], None],
    ) -> None:
        """Set the callbacks for a disconnect and for too much unsent data."""
        self._on_overflow = on_overflow
        self._request.notifyFinish().addErrback(
            self._on_request_lost, on_disconnected
        )
        self._request.registerProducer(self, True)

    def start(self, status: int, headers: dict[str, str]) -> None:
        """Set status and headers; do nothing once finished."""
        if self._is_finished:
            return
        self._request.setResponseCode(status)
        for name, value in headers.items():
            self._request.setHeader(name.encode(), value.encode("latin-1"))

    def write(self, data: bytes) -> None:
        """Write a chunk of the body; do nothing once finished."""
        if self._is_finished:
            return
        self._request.write(data)
        if self._paused_since_ms is not None:
            self._unsent_bytes += len(data)
            if self._unsent_bytes > self._max_unsent_bytes:
                on_overflow, self._on_overflow = self._on_overflow, None
                if on_overflow is not None:
                    self._clock.call_later(0, on_overflow)

    def finish(self) -> None:
        """Complete the response; do nothing once finished."""
        if self._is_finished:
            return
        self._release()
        self._request.finish()

    def close_incomplete(self) -> None:
        """Close without completing the body.

        Queued data is flushed first, unless the caller has stopped reading.
        """
        if self._is_finished:
            return
        self._release()
        transport = self._request.channel.transport
        if self._paused_since_ms is None:
            self._request.channel.loseConnection()
        else:
            transport.abortConnection()

    def pauseProducing(self) -> None:  # noqa: N802
        """Record that the send buffer is full."""
        self._paused_since_ms = self._clock.now_ms()
        self._unsent_bytes = 0

    def resumeProducing(self) -> None:  # noqa: N802
        """Record that the send buffer has drained."""
        self._paused_since_ms = None
        self._unsent_bytes = 0

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing; notifyFinish reports the disconnect."""

    def _release(self) -> None:
        self._is_finished = True
        if self._request.producer is self:
            self._request.unregisterProducer()

    def _on_request_lost(
        self, reason: Any, on_disconnected: Callable[[], None]
    ) -> None:
        if not self._is_finished:
            self._is_finished = True
            on_disconnected()
