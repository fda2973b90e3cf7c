"""Internal streams over Twisted connections."""

from __future__ import annotations

import secrets
from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import interfaces
from twisted.internet import protocol
from zope.interface import declarations

from balsamwall.protocol import session

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.protocol import key_ring
    from balsamwall.protocol import peer_table
    from balsamwall.settings import address
    from balsamwall.settings import daemon_settings
    from balsamwall.timing import clock

CONNECT_TIMEOUT_S = 3


class StreamProtocol(protocol.Protocol):  # type: ignore[misc]
    """Connection that sends the frames of a reactor iteration in one write."""

    def __init__(
        self,
        transport: StreamTransport,
        vm: str,
        on_finished: Callable[[], None] | None,
    ) -> None:
        self._streams = transport
        self._vm = vm
        self._on_finished = on_finished
        self._pending_writes: list[bytes] = []
        self._pending_bytes = 0
        self._is_flush_scheduled = False
        self._is_write_paused = False
        self._session: session.PeerSession | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Disable Nagle's algorithm and start the session."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(_WriteFlowControl(self), True)
        self._session = self._streams.new_session(self, self._vm)
        self._session.start()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass bytes to the session."""
        if self._session is not None:
            self._session.data_received(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """End the session and notify the dialler."""
        self._streams.on_closed(self)
        self._pending_writes.clear()
        if self._session is not None:
            self._session.close("connection lost")
        if self._on_finished is not None:
            on_finished, self._on_finished = self._on_finished, None
            on_finished()

    def write(self, data: bytes) -> None:
        """Queue bytes; close the session if the peer reads too slowly."""
        self._pending_writes.append(data)
        self._pending_bytes += len(data)
        if self._pending_bytes > self._streams.buffer_bytes:
            self._streams.table.count("peer_buffer_full")
            if self._session is not None:
                self._streams.call_soon(
                    self._session.close, "write buffer full"
                )
            self._pending_writes.clear()
            self._pending_bytes = 0
            return
        if not self._is_flush_scheduled and not self._is_write_paused:
            self._is_flush_scheduled = True
            self._streams.call_soon(self._flush)

    def abort(self) -> None:
        """Discard queued bytes and close the connection."""
        self._pending_writes.clear()
        if self.transport is not None:
            self.transport.abortConnection()

    def pause_reading(self) -> None:
        """Stop delivering received bytes."""
        self.transport.pauseProducing()

    def resume_reading(self) -> None:
        """Resume delivering received bytes."""
        self.transport.resumeProducing()

    def set_write_paused(self, is_paused: bool) -> None:
        """Queue bytes while the transport's write buffer is full."""
        self._is_write_paused = is_paused
        if not is_paused and self._pending_writes:
            self._flush()

    def _flush(self) -> None:
        self._is_flush_scheduled = False
        if self._is_write_paused or not self._pending_writes:
            return
        data = b"".join(self._pending_writes)
        self._pending_writes.clear()
        self._pending_bytes = 0
        self.transport.write(data)


@declarations.implementer(interfaces.IPushProducer)
class _WriteFlowControl:
    """Push producer that pauses writes while the transport is congested."""

    __slots__ = ("_stream",)

    def __init__(self, stream: StreamProtocol) -> None:
        self._stream = stream

    def pauseProducing(self) -> None:  # noqa: N802
        """Pause writes."""
        self._stream.set_write_paused(True)

    def resumeProducing(self) -> None:  # noqa: N802
        """Flush queued bytes and resume writes."""
        self._stream.set_write_paused(False)

    def stopProducing(self) -> None:  # noqa: N802
        """Pause writes permanently."""
        self._stream.set_write_paused(True)


class _Listener(protocol.ServerFactory):  # type: ignore[misc]
    """Protocol factory of accepted streams."""

    noisy = False

    def __init__(self, streams: StreamTransport) -> None:
        self._streams = streams

    def buildProtocol(  # noqa: N802
        self, addr: object
    ) -> StreamProtocol | None:
        """Build the stream, or reject it above the connection limit."""
        return self._streams.new_stream("", None)


class _Connection(protocol.ClientFactory):  # type: ignore[misc]
    """Protocol factory of one dialled stream."""

    noisy = False

    def __init__(
        self,
        streams: StreamTransport,
        vm: str,
        on_finished: Callable[[], None],
    ) -> None:
        self._streams = streams
        self._vm = vm
        self._on_finished = on_finished

    def buildProtocol(  # noqa: N802
        self, addr: object
    ) -> StreamProtocol | None:
        """Build the stream, or fail the attempt above the limit."""
        stream = self._streams.new_stream(self._vm, self._on_finished)
        if stream is None:
            self._on_finished()
        return stream

    def clientConnectionFailed(  # noqa: N802
        self, connector: object, reason: object
    ) -> None:
        """Notify the dialler of the failed attempt."""
        self._on_finished()


class StreamTransport:
    """Listener and connector of streams for one peer table."""

    __slots__ = (
        "_clock",
        "_identity",
        "_keys",
        "_limits",
        "_open_streams",
        "_reactor",
        "_tls",
        "table",
    )

    def __init__(
        self,
        reactor: Any,
        clock: clock.Clock,
        identity: session.Identity,
        keys: key_ring.KeyRing,
        table: peer_table.PeerTable,
        limits: daemon_settings.LimitSettings,
        tls: daemon_settings.TlsSettings | None,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._identity = identity
        self._keys = keys
        self.table = table
        self._limits = limits
        self._tls = _tls_options(tls) if tls is not None else None
        self._open_streams: set[StreamProtocol] = set()

    @property
    def buffer_bytes(self) -> int:
        """Return the limit on queued bytes per stream."""
        return self._limits.peer_buffer_bytes

    def listen(self, bind_address: address.Address) -> Any:
        """Listen on an address; return the Twisted port."""
        factory = _Listener(self)
        if self._tls is None:
            return self._reactor.listenTCP(
                bind_address.port, factory, interface=bind_address.host
            )
        return self._reactor.listenSSL(
            bind_address.port, factory, self._tls, interface=bind_address.host
        )

    def connect(
        self,
        target: address.Address,
        vm: str,
        on_failed: Callable[[], None],
    ) -> None:
        """Dial an address; `vm` is the name expected of the peer."""
        factory = _Connection(self, vm, on_failed)
        if self._tls is None:
            self._reactor.connectTCP(
                target.host, target.port, factory, CONNECT_TIMEOUT_S
            )
        else:
            self._reactor.connectSSL(
                target.host,
                target.port,
                factory,
                self._tls,
                CONNECT_TIMEOUT_S,
            )

    def new_stream(
        self, vm: str, on_finished: Callable[[], None] | None
    ) -> StreamProtocol | None:
        """Return a new stream, or None above the connection limit."""
        if len(self._open_streams) >= self._limits.peer_connections:
            self.table.count("peer_limit")
            return None
        stream = StreamProtocol(self, vm, on_finished)
        self._open_streams.add(stream)
        return stream

    def new_session(
        self, stream: StreamProtocol, vm: str
    ) -> session.PeerSession:
        """Return a new session of a stream.

        `vm` is the expected peer of a dialled stream, else empty.
        """
        return session.PeerSession(
            self._clock,
            self._identity,
            self._keys,
            stream,
            self.table,
            secrets.token_bytes(session.NONCE_BYTES),
            bool(vm),
            vm,
            self._limits.peer_frames_per_second,
        )

    def on_closed(self, stream: StreamProtocol) -> None:
        """Remove a closed stream."""
        self._open_streams.discard(stream)

    def call_soon(
        self, function: Callable[..., object], *args: object
    ) -> None:
        """Call a function in the next reactor iteration."""
        self._clock.call_later(0, function, *args)


def _tls_options(tls: daemon_settings.TlsSettings) -> Any:
    # pyOpenSSL takes several MB of memory, so it is imported only with TLS.
    from twisted.internet import ssl

    with open(tls.authority, "rb") as file:
        authority = ssl.Certificate.loadPEM(file.read())
    with open(tls.private_key, "rb") as file:
        private_key = file.read()
    with open(tls.certificate, "rb") as file:
        certificate = ssl.PrivateCertificate.loadPEM(
            file.read() + b"\n" + private_key
        )
    return certificate.options(authority)
