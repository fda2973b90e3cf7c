"""Session on one internal stream, independent of sockets."""

from __future__ import annotations

import dataclasses
import enum
from typing import Protocol
from typing import TYPE_CHECKING

from balsamwall.limits import token_bucket
from balsamwall.protocol import codec
from balsamwall.protocol import exceptions
from balsamwall.protocol import frame_reader
from balsamwall.protocol import messages_session
from balsamwall.results import result_code

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.protocol import key_ring
    from balsamwall.protocol import message
    from balsamwall.timing import clock

PROTOCOL_VERSION = 1
PING_INTERVAL_MS = 1_000
PEER_TIMEOUT_MS = 3_000
HANDSHAKE_TIMEOUT_MS = 3_000
# Bounds the memory that an unauthenticated peer can occupy; the general limit
# is 4 MiB.
MAX_HANDSHAKE_FRAME_BYTES = 4_096
NONCE_BYTES = 32
MAX_NAME_LENGTH = 64
ROLES = ("agent", "entry")


@dataclasses.dataclass(slots=True, frozen=True)
class Identity:
    """Identity that a process presents to its peers."""

    vm: str
    role: str
    availability_zone: str
    tenant: str
    incarnation: int

    def hello(self, nonce: bytes) -> messages_session.Hello:
        """Return the hello message; the nonce must be fresh."""
        return messages_session.Hello(
            PROTOCOL_VERSION,
            self.vm,
            self.role,
            self.availability_zone,
            self.tenant,
            self.incarnation,
            nonce,
        )


class SessionTransport(Protocol):
    """Byte stream that carries a session."""

    def write(self, data: bytes) -> None:
        """Write bytes without blocking."""

    def abort(self) -> None:
        """Close the stream without flushing."""

    def pause_reading(self) -> None:
        """Stop delivering received bytes."""

    def resume_reading(self) -> None:
        """Resume delivering received bytes."""


class SessionOwner(Protocol):
    """Receiver of the events of a session."""

    def on_session_up(self, session: PeerSession) -> None:
        """Process a session whose peer is authenticated."""

    def on_session_message(
        self, session: PeerSession, item: message.Message
    ) -> None:
        """Process a message of an authenticated peer."""

    def on_session_down(self, session: PeerSession, reason: str) -> None:
        """Process the end of a session.

        Called once per session, even if its handshake has not finished.
        """

    def config_revisions(self) -> dict[str, int]:
        """Return the active revision per tenant, for pings."""

    def count(self, event: str) -> None:
        """Count an event by its name."""


class _State(enum.Enum):
    NEW = "new"
    HELLO_SENT = "hello_sent"
    PROOF_SENT = "proof_sent"
    UP = "up"
    CLOSED = "closed"


class PeerSession:
    """Handshake, liveness checks and rate limit of one stream.

    Both ends send Hello, then Proof. Any other message before the proof of
    the peer closes the session. `last_used_ms` is the clock time of the last
    message in either direction apart from the handshake, pings and pongs.
    """

    __slots__ = (
        "_clock",
        "_timeout_timer",
        "_expected_vm",
        "_handlers",
        "_hello",
        "_is_dialler",
        "_is_paused",
        "_keys",
        "_last_frame_ms",
        "_limiter",
        "_owner",
        "_ping_sequence",
        "_ping_timer",
        "_reader",
        "_resume_timer",
        "_state",
        "_transport",
        "last_used_ms",
        "peer",
    )

    _ping_timer: clock.Timer | None
    _timeout_timer: clock.Timer | None
    _resume_timer: clock.Timer | None

    def __init__(
        self,
        clock: clock.Clock,
        identity: Identity,
        keys: key_ring.KeyRing,
        transport: SessionTransport,
        owner: SessionOwner,
        nonce: bytes,
        is_dialler: bool,
        expected_vm: str = "",
        frames_per_second: int = 20_000,
    ) -> None:
        self._clock = clock
        self._keys = keys
        self._transport = transport
        self._owner = owner
        self._is_dialler = is_dialler
        self._expected_vm = expected_vm
        self._hello = identity.hello(nonce)
        self._state = _State.NEW
        self._reader = frame_reader.FrameReader(MAX_HANDSHAKE_FRAME_BYTES)
        self._limiter = token_bucket.TokenBucket(
            clock, frames_per_second, 2 * frames_per_second
        )
        self._last_frame_ms = clock.now_ms()
        self.last_used_ms = self._last_frame_ms
        self._ping_sequence = 0
        self._ping_timer = None
        self._timeout_timer = None
        self._resume_timer = None
        self._is_paused = False
        self.peer: messages_session.Hello | None = None
        self._handlers: dict[_State, Callable[[message.Message], None]] = {
            _State.HELLO_SENT: self._on_hello,
            _State.PROOF_SENT: self._on_proof,
            _State.UP: self._on_message,
        }

    @property
    def is_up(self) -> bool:
        """Return whether the peer is authenticated and the session open."""
        return self._state is _State.UP

    @property
    def is_closed(self) -> bool:
        """Return whether the session has ended."""
        return self._state is _State.CLOSED

    @property
    def is_dialler(self) -> bool:
        """Return whether this end opened the stream."""
        return self._is_dialler

    @property
    def vm(self) -> str:
        """Return the VM name of the peer, empty before its hello."""
        return self.peer.vm if self.peer is not None else ""

    def start(self) -> None:
        """Send the hello message and start the handshake timeout."""
        self._state = _State.HELLO_SENT
        self._write(self._hello)
        self._last_frame_ms = self._clock.now_ms()
        self._timeout_timer = self._clock.call_later(
            HANDSHAKE_TIMEOUT_MS, self.close, "handshake timeout"
        )

    def send(self, item: message.Message) -> bool:
        """Send a message; return False if the session is not up."""
        if self._state is not _State.UP:
            return False
        self.last_used_ms = self._clock.now_ms()
        self._write(item)
        return True

    def data_received(self, data: bytes) -> None:
        """Process received bytes; an invalid frame closes the session."""
        if self._state is _State.CLOSED:
            return
        self._reader.feed(data)
        if not self._is_paused:
            self._read_frames()

    def close(self, reason: str) -> None:
        """End the session, abort its stream and notify the owner.

        Closing a closed session has no effect.
        """
        if self._state is _State.CLOSED:
            return
        self._state = _State.CLOSED
        for timer in (
            self._ping_timer,
            self._timeout_timer,
            self._resume_timer,
        ):
            if timer is not None:
                timer.cancel()
        self._handlers = {}
        self._transport.abort()
        self._owner.on_session_down(self, reason)

    def _write(self, item: message.Message) -> None:
        frame = codec.encode(item)
        self._transport.write(frame_reader.add_prefix(frame))

    def _read_frames(self) -> None:
        try:
            while self._state is not _State.CLOSED:
                frame = self._reader.next_frame()
                if frame is None:
                    return
                self._last_frame_ms = self._clock.now_ms()
                self._handlers[self._state](codec.decode(frame))
                wait_ms = self._limiter.take_or_wait_ms()
                if wait_ms:
                    self._pause(wait_ms)
                    return
        except exceptions.ProtocolError as error:
            self._owner.count(f"protocol_{error.code.name.lower()}")
            self.close(str(error))

    def _pause(self, wait_ms: int) -> None:
        # Reading is paused and the stream stays open, because a process that
        # was suspended legitimately has many frames to read.
        self._owner.count("protocol_rate_limited")
        self._is_paused = True
        self._transport.pause_reading()
        self._resume_timer = self._clock.call_later(wait_ms, self._resume)

    def _resume(self) -> None:
        self._is_paused = False
        self._last_frame_ms = self._clock.now_ms()
        self._transport.resume_reading()
        self._read_frames()

    def _on_hello(self, item: message.Message) -> None:
        if not isinstance(item, messages_session.Hello):
            raise exceptions.ProtocolError(
                "first message of the peer is not Hello"
            )
        _check_hello(item, self._hello, self._expected_vm)
        self.peer = item
        self._state = _State.PROOF_SENT
        self._write(
            self._keys.prove(self._is_dialler, *self._ordered_hellos())
        )

    def _on_proof(self, item: message.Message) -> None:
        if not isinstance(item, messages_session.Proof):
            raise exceptions.ProtocolError(
                f"{type(item).__name__} received before Proof",
                result_code.ResultCode.PEER_NOT_AUTHENTICATED,
            )
        self._keys.check(item, not self._is_dialler, *self._ordered_hellos())
        self._state = _State.UP
        self._reader.max_frame_bytes = codec.MAX_FRAME_BYTES
        if self._timeout_timer is not None:
            self._timeout_timer.cancel()
        self._timeout_timer = self._clock.call_later(
            PEER_TIMEOUT_MS, self._check_timeout
        )
        self._ping_timer = self._clock.call_later(PING_INTERVAL_MS, self._ping)
        self._owner.on_session_up(self)

    def _on_message(self, item: message.Message) -> None:
        if isinstance(item, messages_session.Pong):
            return
        if isinstance(item, messages_session.Ping):
            self._write(messages_session.Pong(item.sequence))
            if not item.config_revisions:
                return
        elif isinstance(item, messages_session.Hello | messages_session.Proof):
            raise exceptions.ProtocolError(
                "peer sent a handshake message after the handshake"
            )
        else:
            self.last_used_ms = self._last_frame_ms
        self._owner.on_session_message(self, item)

    def _ordered_hellos(
        self,
    ) -> tuple[messages_session.Hello, messages_session.Hello]:
        assert self.peer is not None
        if self._is_dialler:
            return self._hello, self.peer
        return self.peer, self._hello

    def _ping(self) -> None:
        self._ping_timer = self._clock.call_later(PING_INTERVAL_MS, self._ping)
        self._ping_sequence += 1
        self._write(
            messages_session.Ping(
                self._ping_sequence, self._owner.config_revisions()
            )
        )

    def _check_timeout(self) -> None:
        idle_ms = self._clock.now_ms() - self._last_frame_ms
        if self._is_paused:
            idle_ms = 0
        if idle_ms >= PEER_TIMEOUT_MS:
            self._owner.count("peer_silent")
            self.close(f"no frame from the peer for {idle_ms} ms")
            return
        self._timeout_timer = self._clock.call_later(
            PEER_TIMEOUT_MS - idle_ms, self._check_timeout
        )


def _check_hello(
    peer: messages_session.Hello,
    own: messages_session.Hello,
    expected_vm: str,
) -> None:
    if peer.protocol_version != own.protocol_version:
        raise exceptions.ProtocolError(
            f"peer has protocol version {peer.protocol_version},"
            f" expected {own.protocol_version}"
        )
    if len(peer.nonce) != NONCE_BYTES or peer.nonce == own.nonce:
        raise exceptions.ProtocolError(
            "peer sent a nonce that is reused or of the wrong length"
        )
    for name in (peer.vm, peer.availability_zone, peer.tenant):
        if not 0 < len(name) <= MAX_NAME_LENGTH:
            raise exceptions.ProtocolError(
                "peer sent a name that is empty or too long"
            )
    if peer.role not in ROLES or peer.incarnation < 0:
        raise exceptions.ProtocolError(
            "peer sent an unknown role or a negative incarnation"
        )
    if peer.vm == own.vm or expected_vm not in ("", peer.vm):
        raise exceptions.ProtocolError(
            f"peer is {peer.vm!r}, expected {expected_vm or 'another VM'!r}"
        )
    # An entry may serve several tenants; their names are separated by spaces.
    if not set(peer.tenant.split()) & set(own.tenant.split()):
        raise exceptions.ProtocolError(
            f"peer has tenant {peer.tenant!r}, expected {own.tenant!r}"
        )
