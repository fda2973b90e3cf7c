"""Stream of messages between an entry and the holder of the orders."""

from __future__ import annotations

from typing import Any
from typing import Protocol as TypingProtocol
from typing import TYPE_CHECKING

import eliot
from twisted.internet import protocol

from balsamwall.protocol import codec
from balsamwall.protocol import exceptions
from balsamwall.protocol import frame_reader

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.protocol import message
    from balsamwall.timing import clock as clock_module

# Both sides send several messages a second; a stream without any for this
# long is silent.
IDLE_TIMEOUT_MS = 2_000
IDLE_CHECK_INTERVAL_MS = 500
MAX_FRAME_BYTES = 1_048_576


class StreamOwner(TypingProtocol):
    """Receiver of the events of a stream."""

    def on_stream_opened(self, stream: FleetStream) -> None:
        """Learn that the stream is open."""

    def on_stream_message(
        self, stream: FleetStream, item: message.Message
    ) -> None:
        """Receive a message."""

    def on_stream_closed(self, stream: FleetStream) -> None:
        """Learn that the stream is closed."""


class FleetStream(protocol.Protocol):  # type: ignore[misc]
    """Frames on a TCP connection, closed when the peer is silent."""

    def __init__(self, owner: StreamOwner, clock: clock_module.Clock) -> None:
        self._owner = owner
        self._clock = clock
        self._reader = frame_reader.FrameReader(MAX_FRAME_BYTES)
        self._last_received_ms = 0
        self._timer: clock_module.Timer | None = None
        self.vm = ""

    def connectionMade(self) -> None:  # noqa: N802
        """Report the stream and watch for silence."""
        self.transport.setTcpNoDelay(True)
        self._last_received_ms = self._clock.now_ms()
        self._check_idle()
        self._owner.on_stream_opened(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Hand on the messages that have arrived in whole."""
        self._last_received_ms = self._clock.now_ms()
        self._reader.feed(data)
        try:
            while True:
                frame = self._reader.next_frame()
                if frame is None:
                    return
                self._owner.on_stream_message(self, codec.decode(frame))
        except exceptions.ProtocolError as error:
            eliot.log_message(
                "fleet_stream_invalid", vm=self.vm, reason=str(error)[:200]
            )
            self.transport.abortConnection()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Report the end."""
        if self._timer is not None:
            self._timer.cancel()
        self._owner.on_stream_closed(self)

    def send(self, item: message.Message) -> None:
        """Write a message."""
        self.transport.write(frame_reader.add_prefix(codec.encode(item)))

    def close(self) -> None:
        """Close the stream at once."""
        if self.transport is not None:
            self.transport.abortConnection()

    def _check_idle(self) -> None:
        self._timer = self._clock.call_later(
            IDLE_CHECK_INTERVAL_MS, self._check_idle
        )
        idle_ms = self._clock.now_ms() - self._last_received_ms
        if idle_ms > IDLE_TIMEOUT_MS:
            self.transport.abortConnection()


class FleetStreamFactory(protocol.ClientFactory):  # type: ignore[misc]
    """Factory of both ends of streams."""

    noisy = False

    def __init__(
        self,
        owner: StreamOwner,
        clock: clock_module.Clock,
        on_failed: Callable[[], None] | None = None,
    ) -> None:
        self._owner = owner
        self._clock = clock
        self._on_failed = on_failed

    def buildProtocol(self, addr: object) -> Any:  # noqa: N802
        """Make a stream."""
        return FleetStream(self._owner, self._clock)

    def clientConnectionFailed(  # noqa: N802
        self, connector: object, reason: object
    ) -> None:
        """Report that the peer was not reached."""
        if self._on_failed is not None:
            self._on_failed()
