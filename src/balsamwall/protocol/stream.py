"""Internal streams on Twisted."""

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
    """Connection that joins the frames of one reactor turn in one write."""

    def __init__(
        self,
        transport: StreamTransport,
        vm: str,
        on_over: Callable[[], None] | None,
    ) -> None:
        self._streams = transport
        self._vm = vm
        self._on_over = on_over
        self._out: list[bytes] = []
        self._out_bytes = 0
        self._is_flush_due = False
        self._is_write_paused = False
        self._session: session.PeerSession | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Start the session."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(_WriteGate(self), True)
        self._session = self._streams.new_session(self, self._vm)
        self._session.start()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Hand bytes to the session."""
        if self._session is not None:
            self._session.data_received(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """End the session and tell the dialler."""
        self._streams.on_closed(self)
        self._out.clear()
        if self._session is not None:
            self._session.close("connection lost")
        if self._on_over is not None:
            on_over, self._on_over = self._on_over, None
            on_over()

    def write(self, data: bytes) -> None:
        """Queue bytes; abort if the peer does not read."""
        self._out.append(data)
        self._out_bytes += len(data)
        if self._out_bytes > self._streams.buffer_bytes:
            self._streams.table.count("peer_buffer_full")
            if self._session is not None:
                self._streams.call_soon(self._session.close, "buffer full")
            self._out.clear()
            self._out_bytes = 0
            return
        if not self._is_flush_due and not self._is_write_paused:
            self._is_flush_due = True
            self._streams.call_soon(self._flush)

    def abort(self) -> None:
        """Close the connection at once."""
        self._out.clear()
        if self.transport is not None:
            self.transport.abortConnection()

    def pause_reading(self) -> None:
        """Stop delivering bytes."""
        self.transport.pauseProducing()

    def resume_reading(self) -> None:
        """Deliver bytes again."""
        self.transport.resumeProducing()

    def set_write_paused(self, is_paused: bool) -> None:
        """Hold queued bytes while the transport's buffer is full."""
        self._is_write_paused = is_paused
        if not is_paused and self._out:
            self._flush()

    def _flush(self) -> None:
        self._is_flush_due = False
        if self._is_write_paused or not self._out:
            return
        data = b"".join(self._out)
        self._out.clear()
        self._out_bytes = 0
        self.transport.write(data)


@declarations.implementer(interfaces.IPushProducer)
class _WriteGate:
    """Producer that follows the transport's write buffer."""

    __slots__ = ("_stream",)

    def __init__(self, stream: StreamProtocol) -> None:
        self._stream = stream

    def pauseProducing(self) -> None:  # noqa: N802
        """Hold writes."""
        self._stream.set_write_paused(True)

    def resumeProducing(self) -> None:  # noqa: N802
        """Write again."""
        self._stream.set_write_paused(False)

    def stopProducing(self) -> None:  # noqa: N802
        """Hold writes for good."""
        self._stream.set_write_paused(True)


class _Listener(protocol.ServerFactory):  # type: ignore[misc]
    """Factory of accepted streams."""

    noisy = False

    def __init__(self, streams: StreamTransport) -> None:
        self._streams = streams

    def buildProtocol(  # noqa: N802
        self, addr: object
    ) -> StreamProtocol | None:
        """Accept a stream unless there are too many."""
        return self._streams.new_stream("", None)


class _Connection(protocol.ClientFactory):  # type: ignore[misc]
    """Factory of one dialled stream."""

    noisy = False

    def __init__(
        self, streams: StreamTransport, vm: str, on_over: Callable[[], None]
    ) -> None:
        self._streams = streams
        self._vm = vm
        self._on_over = on_over

    def buildProtocol(  # noqa: N802
        self, addr: object
    ) -> StreamProtocol | None:
        """Build the stream."""
        stream = self._streams.new_stream(self._vm, self._on_over)
        if stream is None:
            self._on_over()
        return stream

    def clientConnectionFailed(  # noqa: N802
        self, connector: object, reason: object
    ) -> None:
        """Tell the dialler."""
        self._on_over()


class StreamTransport:
    """Listener and opener of streams for one peer table."""

    __slots__ = (
        "_clock",
        "_identity",
        "_keys",
        "_limits",
        "_open",
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
        self._open: set[StreamProtocol] = set()

    @property
    def buffer_bytes(self) -> int:
        """Return the bound on unsent bytes of a stream."""
        return self._limits.peer_buffer_bytes

    def listen(self, where: address.Address) -> Any:
        """Bind the listening port; return the Twisted port."""
        factory = _Listener(self)
        if self._tls is None:
            return self._reactor.listenTCP(
                where.port, factory, interface=where.host
            )
        return self._reactor.listenSSL(
            where.port, factory, self._tls, interface=where.host
        )

    def connect(
        self,
        target: address.Address,
        vm: str,
        on_failed: Callable[[], None],
    ) -> None:
        """Open a stream to an address."""
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
        self, vm: str, on_over: Callable[[], None] | None
    ) -> StreamProtocol | None:
        """Build a stream, or None above the limit of connections."""
        if len(self._open) >= self._limits.peer_connections:
            self.table.count("peer_limit")
            return None
        stream = StreamProtocol(self, vm, on_over)
        self._open.add(stream)
        return stream

    def new_session(
        self, stream: StreamProtocol, vm: str
    ) -> session.PeerSession:
        """Build the session of a stream; a name marks the dialling end."""
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
        """Forget a stream."""
        self._open.discard(stream)

    def call_soon(
        self, function: Callable[..., object], *args: object
    ) -> None:
        """Run a function in the next turn of the reactor."""
        self._clock.call_later(0, function, *args)


def _tls_options(tls: daemon_settings.TlsSettings) -> Any:
    # pyOpenSSL needs several MB, so it is loaded only if TLS is set.
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
