"""Session on one internal stream, without sockets."""

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
# A peer that has not proved its key must not make the process hold 4 MiB.
MAX_HANDSHAKE_FRAME_BYTES = 4_096
NONCE_BYTES = 32
MAX_NAME_LENGTH = 64
ROLES = ("agent", "entry")


@dataclasses.dataclass(slots=True, frozen=True)
class Identity:
    """What a process tells its peers about itself."""

    vm: str
    role: str
    availability_zone: str
    tenant: str
    incarnation: int

    def hello(self, nonce: bytes) -> messages_session.Hello:
        """Return the introduction with a fresh nonce."""
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
    """Byte stream under a session."""

    def write(self, data: bytes) -> None:
        """Write bytes."""

    def abort(self) -> None:
        """Close the stream at once."""

    def pause_reading(self) -> None:
        """Stop delivering bytes."""

    def resume_reading(self) -> None:
        """Deliver bytes again."""


class SessionOwner(Protocol):
    """Receiver of the events of a session."""

    def on_session_up(self, session: PeerSession) -> None:
        """Receive a session whose peer has proved its key."""

    def on_session_message(
        self, session: PeerSession, item: message.Message
    ) -> None:
        """Receive a message of an authenticated peer."""

    def on_session_down(self, session: PeerSession, reason: str) -> None:
        """Receive the end of a session, up or not, exactly once."""

    def config_revisions(self) -> dict[str, int]:
        """Return the revision in force per tenant, for pings."""

    def count(self, event: str) -> None:
        """Count an event by its name."""


class _State(enum.Enum):
    NEW = "new"
    HELLO_SENT = "hello_sent"
    PROOF_SENT = "proof_sent"
    UP = "up"
    CLOSED = "closed"


class PeerSession:
    """Handshake, liveness and limits of one stream."""

    __slots__ = (
        "_clock",
        "_dead_timer",
        "_expected_vm",
        "_handler",
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
    _dead_timer: clock.Timer | None
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
        self._dead_timer = None
        self._resume_timer = None
        self._is_paused = False
        self.peer: messages_session.Hello | None = None
        self._handler: dict[_State, Callable[[message.Message], None]] = {
            _State.HELLO_SENT: self._on_hello,
            _State.PROOF_SENT: self._on_proof,
            _State.UP: self._on_message,
        }

    @property
    def is_up(self) -> bool:
        """Tell whether the peer has proved its key."""
        return self._state is _State.UP

    @property
    def is_closed(self) -> bool:
        """Tell whether the session has ended."""
        return self._state is _State.CLOSED

    @property
    def is_dialler(self) -> bool:
        """Tell whether this end opened the stream."""
        return self._is_dialler

    @property
    def vm(self) -> str:
        """Return the name of the peer, empty before its introduction."""
        return self.peer.vm if self.peer is not None else ""

    def start(self) -> None:
        """Send the introduction and start the time limit of the handshake."""
        self._state = _State.HELLO_SENT
        self._write(self._hello)
        self._last_frame_ms = self._clock.now_ms()
        self._dead_timer = self._clock.call_later(
            HANDSHAKE_TIMEOUT_MS, self.close, "handshake timeout"
        )

    def send(self, item: message.Message) -> bool:
        """Write a message; return False if the session is not up."""
        if self._state is not _State.UP:
            return False
        self.last_used_ms = self._clock.now_ms()
        self._write(item)
        return True

    def data_received(self, data: bytes) -> None:
        """Take received bytes; an invalid frame closes the session."""
        if self._state is _State.CLOSED:
            return
        self._reader.feed(data)
        if not self._is_paused:
            self._read_frames()

    def close(self, reason: str) -> None:
        """End the session and close its stream."""
        if self._state is _State.CLOSED:
            return
        self._state = _State.CLOSED
        for timer in (self._ping_timer, self._dead_timer, self._resume_timer):
            if timer is not None:
                timer.cancel()
        self._handler = {}
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
                self._handler[self._state](codec.decode(frame))
                wait_ms = self._limiter.take_or_wait_ms()
                if wait_ms:
                    self._pause(wait_ms)
                    return
        except exceptions.ProtocolError as error:
            self._owner.count(f"protocol_{error.code.name.lower()}")
            self.close(str(error))

    def _pause(self, wait_ms: int) -> None:
        # Reading stops instead of the stream being closed, because a process
        # that was paused legitimately finds many frames waiting.
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
            raise exceptions.ProtocolError("first message is not Hello")
        _check_hello(item, self._hello, self._expected_vm)
        self.peer = item
        self._state = _State.PROOF_SENT
        self._write(self._keys.prove(self._is_dialler, *self._ordered()))

    def _on_proof(self, item: message.Message) -> None:
        if not isinstance(item, messages_session.Proof):
            raise exceptions.ProtocolError(
                f"{type(item).__name__} before Proof",
                result_code.ResultCode.PEER_NOT_AUTHENTICATED,
            )
        self._keys.check(item, not self._is_dialler, *self._ordered())
        self._state = _State.UP
        self._reader.max_frame_bytes = codec.MAX_FRAME_BYTES
        if self._dead_timer is not None:
            self._dead_timer.cancel()
        self._dead_timer = self._clock.call_later(
            PEER_TIMEOUT_MS, self._check_alive
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
            raise exceptions.ProtocolError("handshake message after handshake")
        else:
            self.last_used_ms = self._last_frame_ms
        self._owner.on_session_message(self, item)

    def _ordered(
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

    def _check_alive(self) -> None:
        silent_ms = self._clock.now_ms() - self._last_frame_ms
        if self._is_paused:
            silent_ms = 0
        if silent_ms >= PEER_TIMEOUT_MS:
            self._owner.count("peer_silent")
            self.close(f"no frame for {silent_ms} ms")
            return
        self._dead_timer = self._clock.call_later(
            PEER_TIMEOUT_MS - silent_ms, self._check_alive
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
        raise exceptions.ProtocolError("nonce of the peer is not usable")
    for name in (peer.vm, peer.availability_zone, peer.tenant):
        if not 0 < len(name) <= MAX_NAME_LENGTH:
            raise exceptions.ProtocolError("name of the peer is not usable")
    if peer.role not in ROLES or peer.incarnation < 0:
        raise exceptions.ProtocolError("role or incarnation is not usable")
    if peer.vm == own.vm or expected_vm not in ("", peer.vm):
        raise exceptions.ProtocolError(
            f"peer is {peer.vm!r}, expected {expected_vm or 'another VM'!r}"
        )
    # An entry may serve several tenants; their names are joined by spaces.
    if not set(peer.tenant.split()) & set(own.tenant.split()):
        raise exceptions.ProtocolError(
            f"peer has tenant {peer.tenant!r}, expected {own.tenant!r}"
        )
