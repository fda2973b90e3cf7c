"""HTTP plumbing with limits on Twisted."""

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
STALL_LIMIT_MS = 30_000
_KEEP_ALIVE_OPTIONS = (
    (socket.TCP_KEEPIDLE, 10),
    (socket.TCP_KEEPINTVL, 5),
    (socket.TCP_KEEPCNT, 4),
)
# Up to this multiple of the limit a body is read and discarded, so that the
# caller gets the error; above, the connection is closed.
DISCARD_FACTOR = 8


class LimitedRequest(server.Request):  # type: ignore[misc]
    """Request whose body is held in memory up to a limit."""

    max_body_bytes = 0

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.is_body_too_large = False
        self.is_body_refused = False
        self._body_bytes = 0
        self._charged_bytes = 0

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Prepare for a body; bodies never go to a file."""
        self.content = io.BytesIO()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Take a part of the body."""
        self._body_bytes += len(data)
        self.is_body_too_large = self._body_bytes > self.max_body_bytes
        if not self.is_body_too_large and not self.is_body_refused:
            if self.channel.site.charge_body(len(data)):
                self._charged_bytes += len(data)
                self.content.write(data)
                return
            self.is_body_refused = True
        self.content = io.BytesIO()
        self._release_body()
        if self._body_bytes > DISCARD_FACTOR * self.max_body_bytes:
            self.channel.transport.abortConnection()

    def finish(self) -> None:
        """End the answer and release the memory of the body."""
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
    """Connection that counts against the limit of its site."""

    _site: LimitedSite | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Accept the connection, or close it above the limit."""
        super().connectionMade()
        site = self.site if hasattr(self, "site") else None
        if isinstance(site, LimitedSite) and not site.add_connection():
            self.transport.abortConnection()
            return
        self._site = site
        self.transport.setTcpNoDelay(True)
        self._set_keep_alive()

    def _set_keep_alive(self) -> None:
        # A caller whose VM was lost sends no end of the connection; without
        # probes its unstreamed request would run to the end.
        self.transport.setTcpKeepAlive(True)
        handle = self.transport.getHandle()
        for option, value in _KEEP_ALIVE_OPTIONS:
            handle.setsockopt(socket.IPPROTO_TCP, option, value)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Release the place of the connection."""
        site, self._site = self._site, None
        if site is not None:
            site.remove_connection()
        super().connectionLost(reason)


def _build_channel() -> Any:
    # The generic channel of Twisted also offers HTTP/2 after TLS, which the
    # limits here do not cover.
    return LimitedChannel()


class LimitedSite(server.Site):  # type: ignore[misc]
    """Site with limits on bodies and connections and without a log."""

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
        """Count a connection; return False above the limit."""
        if self._connections >= self._max_connections:
            return False
        self._connections += 1
        return True

    def remove_connection(self) -> None:
        """Count a connection as closed."""
        self._connections -= 1

    def charge_body(self, size_bytes: int) -> bool:
        """Charge memory for bodies; return False above the limit."""
        total_bytes = self._total_body_bytes + size_bytes
        if size_bytes > 0 and total_bytes > self._max_total_body_bytes:
            return False
        self._total_body_bytes = total_bytes
        return True

    def log(self, request: Any) -> None:
        """Write no line per request."""


@declarations.implementer(interfaces.IPushProducer)
class HttpSink:
    """Writer of one answer that bounds what a slow caller leaves unread."""

    __slots__ = (
        "_clock",
        "_is_over",
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
        self._is_over = False

    @property
    def is_stalled(self) -> bool:
        """Tell whether the caller has not read for too long."""
        if self._paused_since_ms is None:
            return False
        paused_ms = self._clock.now_ms() - self._paused_since_ms
        return paused_ms >= STALL_LIMIT_MS

    def watch(
        self, on_gone: Callable[[], None], on_overflow: Callable[[], None]
    ) -> None:
        """Set whom to tell of a closed connection or a slow caller."""
        self._on_overflow = on_overflow
        self._request.notifyFinish().addErrback(self._on_lost, on_gone)
        self._request.registerProducer(self, True)

    def start(self, status: int, headers: dict[str, str]) -> None:
        """Set status and headers."""
        if self._is_over:
            return
        self._request.setResponseCode(status)
        for name, value in headers.items():
            self._request.setHeader(name.encode(), value.encode("latin-1"))

    def write(self, data: bytes) -> None:
        """Write a part of the body."""
        if self._is_over:
            return
        self._request.write(data)
        if self._paused_since_ms is not None:
            self._unsent_bytes += len(data)
            if self._unsent_bytes > self._max_unsent_bytes:
                on_overflow, self._on_overflow = self._on_overflow, None
                if on_overflow is not None:
                    self._clock.call_later(0, on_overflow)

    def finish(self) -> None:
        """End the answer."""
        if self._is_over:
            return
        self._release()
        self._request.finish()

    def close_incomplete(self) -> None:
        """Write what is queued and close without the end of the body."""
        if self._is_over:
            return
        self._release()
        transport = self._request.channel.transport
        if self._paused_since_ms is None:
            self._request.channel.loseConnection()
        else:
            transport.abortConnection()

    def pauseProducing(self) -> None:  # noqa: N802
        """Note that the caller does not read."""
        self._paused_since_ms = self._clock.now_ms()
        self._unsent_bytes = 0

    def resumeProducing(self) -> None:  # noqa: N802
        """Note that the caller reads again."""
        self._paused_since_ms = None
        self._unsent_bytes = 0

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing; the end of the connection is reported elsewhere."""

    def _release(self) -> None:
        self._is_over = True
        if self._request.producer is self:
            self._request.unregisterProducer()

    def _on_lost(self, reason: Any, on_gone: Callable[[], None]) -> None:
        if not self._is_over:
            self._is_over = True
            on_gone()
