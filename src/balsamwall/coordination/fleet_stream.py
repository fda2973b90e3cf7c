"""Stream of messages between an entry and the coordinator."""

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

# Both sides send several messages per second, so that a stream without data
# for this time is considered dead.
IDLE_TIMEOUT_MS = 2_000
IDLE_CHECK_INTERVAL_MS = 500
# A stream with a longer frame is aborted.
MAX_FRAME_BYTES = 1_048_576


def encode_frame(item: message.Message) -> bytes:
    """Encode a message with its length prefix."""
    return frame_reader.add_prefix(codec.encode(item))


class StreamOwner(TypingProtocol):
    """Listener for the events of a stream."""

    def on_stream_opened(self, stream: FleetStream) -> None:
        """Handle an established stream."""

    def on_stream_message(
        self, stream: FleetStream, item: message.Message
    ) -> None:
        """Handle a decoded message."""

    def on_stream_closed(self, stream: FleetStream) -> None:
        """Handle the end of a stream, by either side."""


class FleetStream(protocol.Protocol):  # type: ignore[misc]
    """Length-prefixed frames on a TCP connection with an idle timeout."""

    def __init__(self, owner: StreamOwner, clock: clock_module.Clock) -> None:
        self._owner = owner
        self._clock = clock
        self._reader = frame_reader.FrameReader(MAX_FRAME_BYTES)
        self._last_received_ms = 0
        self._timer: clock_module.Timer | None = None
        # VM of the entry, empty until its FleetHello arrives.
        self.vm = ""

    def connectionMade(self) -> None:  # noqa: N802
        """Notify the owner and start the idle timeout."""
        self.transport.setTcpNoDelay(True)
        self._last_received_ms = self._clock.now_ms()
        self._check_idle()
        self._owner.on_stream_opened(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass complete messages on; abort the stream on an invalid frame."""
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
        """Stop the idle timeout and notify the owner."""
        if self._timer is not None:
            self._timer.cancel()
        self._owner.on_stream_closed(self)

    def send(self, item: message.Message) -> None:
        """Encode a message and write it as one frame."""
        self.send_frame(encode_frame(item))

    def send_frame(self, frame: bytes) -> None:
        """Write a message that is already encoded."""
        self.transport.write(frame)

    def close(self) -> None:
        """Abort the connection without flushing unsent data."""
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
    """Factory for the streams of clients and servers."""

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
        """Return a stream that reports to the owner."""
        return FleetStream(self._owner, self._clock)

    def clientConnectionFailed(  # noqa: N802
        self, connector: object, reason: object
    ) -> None:
        """Notify the owner of a failed connection attempt."""
        if self._on_failed is not None:
            self._on_failed()
