"""Sessions by peer; sender of messages."""

from __future__ import annotations

import dataclasses
from typing import Protocol
from typing import TYPE_CHECKING

import eliot

from balsamwall.protocol import dialler
from balsamwall.protocol import session

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    import random

    from balsamwall.protocol import message
    from balsamwall.protocol import messages_session
    from balsamwall.settings import address
    from balsamwall.timing import clock

# Messages to a peer that is being dialled wait here; the sender repeats what
# is still wanted after that, so older ones are dropped.
MAX_WAITING_MESSAGES = 64
WAITING_MESSAGE_MS = 2_000
IDLE_CLOSE_MS = 60_000
MAINTENANCE_INTERVAL_MS = 5_000


class PeerObserver(Protocol):
    """Receiver of messages and of changes of peers."""

    def on_message(self, peer: str, item: message.Message) -> None:
        """Receive a message."""

    def on_peer_up(self, peer: str, hello: messages_session.Hello) -> None:
        """Receive a peer that can be reached."""

    def on_peer_down(self, peer: str) -> None:
        """Receive the loss of a peer, or of messages to and from it."""

    def config_revisions(self) -> dict[str, int]:
        """Return the revision in force per tenant."""


class Connector(Protocol):
    """Opener of streams; each attempt ends in one session or on_failed."""

    def connect(
        self,
        target: address.Address,
        vm: str,
        on_failed: Callable[[], None],
    ) -> None:
        """Open a stream to an address."""


@dataclasses.dataclass(slots=True)
class _Peer:
    """Streams, dialler and waiting messages of one peer."""

    dialler: dialler.Dialler
    sessions: list[session.PeerSession] = dataclasses.field(
        default_factory=list
    )
    waiting: list[tuple[int, message.Message]] = dataclasses.field(
        default_factory=list
    )


class PeerTable:
    """Table of peers; implements Outbox and SessionOwner."""

    __slots__ = (
        "_addresses",
        "_clock",
        "_connector",
        "_count",
        "_groups",
        "_is_stopped",
        "_kept",
        "_max_peers",
        "_observer",
        "_peers",
        "_random",
    )

    _connector: Connector | None
    _observer: PeerObserver | None

    def __init__(
        self,
        clock: clock.Clock,
        random: random.Random,
        count: Callable[[str], None],
        max_peers: int = 1_024,
    ) -> None:
        self._clock = clock
        self._random = random
        self._count = count
        self._max_peers = max_peers
        self._connector = None
        self._observer = None
        self._addresses: dict[str, address.Address] = {}
        self._groups: dict[str, frozenset[str]] = {}
        self._kept: frozenset[str] = frozenset()
        self._peers: dict[str, _Peer] = {}
        self._is_stopped = False
        clock.call_later(MAINTENANCE_INTERVAL_MS, self._maintain)

    @property
    def connected_peers(self) -> list[str]:
        """Return the names of the peers that can be reached."""
        return [vm for vm, peer in self._peers.items() if peer.sessions]

    def attach(self, connector: Connector, observer: PeerObserver) -> None:
        """Set the opener of streams and the receiver of events."""
        self._connector = connector
        self._observer = observer

    def hello_of(self, vm: str) -> messages_session.Hello | None:
        """Return the introduction of a reachable peer."""
        peer = self._peers.get(vm)
        return peer.sessions[-1].peer if peer and peer.sessions else None

    def set_addresses(self, addresses: dict[str, address.Address]) -> None:
        """Replace the addresses by those of the VM list."""
        self._addresses = dict(addresses)
        self._dial_kept()

    def keep_connected(self, vms: Iterable[str], group: str = "") -> None:
        """Hold streams to the peers of a group; dial others on demand."""
        self._groups[group] = frozenset(vms)
        self._kept = frozenset().union(*self._groups.values())
        self._dial_kept()

    def dial(self, vm: str) -> None:
        """Open a stream to a peer that has none; it is closed when idle."""
        peer = self._peer(vm) if vm in self._addresses else None
        if peer is not None and not peer.sessions and not self._is_stopped:
            peer.dialler.start()

    def send(self, peer: str, item: message.Message) -> None:
        """Send a message; dial the peer if its address is known."""
        entry = self._peers.get(peer)
        if entry is not None:
            for stream in reversed(entry.sessions):
                if stream.send(item):
                    return
        if self._is_stopped or peer not in self._addresses:
            self._count("message_without_address")
            return
        entry = self._peer(peer)
        if entry is None or len(entry.waiting) >= MAX_WAITING_MESSAGES:
            self._count("message_dropped")
            return
        entry.waiting.append((self._clock.now_ms(), item))
        entry.dialler.start()

    def stop(self) -> None:
        """Close all streams and dial no more."""
        self._is_stopped = True
        for peer in list(self._peers.values()):
            peer.dialler.stop()
            for stream in list(peer.sessions):
                stream.close("process stops")

    def on_session_up(self, stream: session.PeerSession) -> None:
        """Add a session; a new incarnation replaces the earlier one."""
        hello = stream.peer
        assert hello is not None
        peer = self._peer(hello.vm)
        if peer is None or self._is_stopped:
            self._count("peer_limit")
            stream.close("too many peers")
            return
        for other in list(peer.sessions):
            assert other.peer is not None
            if other.peer.incarnation > hello.incarnation:
                stream.close("earlier incarnation of the peer")
                return
            if other.peer.incarnation < hello.incarnation:
                other.close("new incarnation of the peer")
        peer.sessions.append(stream)
        if stream.is_dialler:
            peer.dialler.on_up()
        if len(peer.sessions) == 1:
            eliot.log_message("peer_up", peer=hello.vm)
            self._observe(
                stream, lambda owner: owner.on_peer_up(hello.vm, hello)
            )
        oldest_ms = self._clock.now_ms() - WAITING_MESSAGE_MS
        waiting, peer.waiting = peer.waiting, []
        for queued_ms, item in waiting:
            if queued_ms >= oldest_ms:
                stream.send(item)

    def on_session_message(
        self, stream: session.PeerSession, item: message.Message
    ) -> None:
        """Hand a message to the observer."""
        vm = stream.vm
        self._observe(stream, lambda owner: owner.on_message(vm, item))

    def on_session_down(
        self, stream: session.PeerSession, reason: str
    ) -> None:
        """Remove a session and schedule the next attempt."""
        vm = stream.vm
        peer = self._peers.get(vm)
        if peer is not None and stream in peer.sessions:
            peer.sessions.remove(stream)
            eliot.log_message("peer_down", peer=vm, reason=reason)
            self._report_loss(vm, peer)

    def on_attempt_over(self, vm: str) -> None:
        """Note that a dialled stream failed or ended."""
        peer = self._peers.get(vm)
        if peer is not None:
            is_wanted = vm in self._kept and not peer.sessions
            peer.dialler.on_down(
                vm in self._addresses and (is_wanted or bool(peer.waiting))
            )

    def config_revisions(self) -> dict[str, int]:
        """Return the revision in force per tenant, for pings."""
        return self._observer.config_revisions() if self._observer else {}

    def count(self, event: str) -> None:
        """Count an event by its name."""
        self._count(event)

    def _observe(
        self,
        stream: session.PeerSession,
        notify: Callable[[PeerObserver], None],
    ) -> None:
        if self._observer is None:
            return
        try:
            notify(self._observer)
        except Exception:
            # A fault in handling one message ends one stream, not the
            # process; the requests on it are attached again.
            eliot.write_traceback()
            self._count("message_fault")
            stream.close("fault while handling a message")

    def _report_loss(self, vm: str, peer: _Peer) -> None:
        # Messages on the closed stream may be lost even if another stream is
        # up, so the observer sees a loss and a return, and attaches again.
        if self._observer is None:
            return
        self._observer.on_peer_down(vm)
        if peer.sessions and not self._is_stopped:
            stream = peer.sessions[-1]
            hello = stream.peer
            assert hello is not None
            self._observe(stream, lambda owner: owner.on_peer_up(vm, hello))

    def _peer(self, vm: str) -> _Peer | None:
        peer = self._peers.get(vm)
        if peer is None:
            if len(self._peers) >= self._max_peers:
                return None
            peer = _Peer(
                dialler.Dialler(
                    self._clock, self._random, lambda: self._connect(vm)
                )
            )
            self._peers[vm] = peer
        return peer

    def _connect(self, vm: str) -> None:
        target = self._addresses.get(vm)
        if target is None or self._connector is None:
            self.on_attempt_over(vm)
            return
        self._connector.connect(target, vm, lambda: self.on_attempt_over(vm))

    def _dial_kept(self) -> None:
        if self._is_stopped:
            return
        for vm in self._kept:
            if vm in self._addresses:
                peer = self._peer(vm)
                if peer is not None and not peer.sessions:
                    peer.dialler.start()

    def _maintain(self) -> None:
        if self._is_stopped:
            return
        self._clock.call_later(MAINTENANCE_INTERVAL_MS, self._maintain)
        now_ms = self._clock.now_ms()
        for vm, peer in list(self._peers.items()):
            peer.waiting = [
                row
                for row in peer.waiting
                if row[0] >= now_ms - WAITING_MESSAGE_MS
            ]
            for stream in list(peer.sessions):
                is_idle = now_ms - stream.last_used_ms >= IDLE_CLOSE_MS
                if is_idle and stream.is_dialler and vm not in self._kept:
                    stream.close("idle")
            is_unused = not peer.sessions and not peer.waiting
            if is_unused and peer.dialler.is_idle:
                if vm not in self._kept or vm not in self._addresses:
                    peer.dialler.stop()
                    del self._peers[vm]
