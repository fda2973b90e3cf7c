"""Table of peers with their sessions, reconnects and queued messages."""

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

# Messages are queued while a peer is being dialled. Senders retry what they
# still need after this time, so older messages are dropped.
MAX_QUEUED_MESSAGES = 64
QUEUED_MESSAGE_TTL_MS = 2_000
# A stream that this end dialled on demand is closed after this time without
# use.
IDLE_TIMEOUT_MS = 60_000
MAINTENANCE_INTERVAL_MS = 5_000


class PeerObserver(Protocol):
    """Receiver of messages and of peer state changes."""

    def on_message(self, peer: str, item: message.Message) -> None:
        """Process a message of an authenticated peer."""

    def on_peer_up(self, peer: str, hello: messages_session.Hello) -> None:
        """Process the first session of a peer, or its return after a loss."""

    def on_peer_down(self, peer: str) -> None:
        """Process the loss of a session and of its messages in transit."""

    def config_revisions(self) -> dict[str, int]:
        """Return the active configuration revision per tenant."""


class Connector(Protocol):
    """Opener of streams."""

    def connect(
        self,
        target: address.Address,
        vm: str,
        on_failed: Callable[[], None],
    ) -> None:
        """Open a stream to an address.

        Call `on_failed` once, when the attempt fails or its stream closes.
        """


@dataclasses.dataclass(slots=True)
class _Peer:
    """Sessions, dialler and queued messages of one peer."""

    dialler: dialler.Dialler
    sessions: list[session.PeerSession] = dataclasses.field(
        default_factory=list
    )
    queued: list[tuple[int, message.Message]] = dataclasses.field(
        default_factory=list
    )


class PeerTable:
    """Table of peers; implements Outbox and SessionOwner.

    A peer has two sessions if both ends dial.
    """

    __slots__ = (
        "_addresses",
        "_clock",
        "_connector",
        "_count",
        "_groups",
        "_is_stopped",
        "_persistent_vms",
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
        self._persistent_vms: frozenset[str] = frozenset()
        self._peers: dict[str, _Peer] = {}
        self._is_stopped = False
        clock.call_later(MAINTENANCE_INTERVAL_MS, self._run_maintenance)

    @property
    def connected_peers(self) -> list[str]:
        """Return the VM names of the peers that have a session."""
        return [vm for vm, peer in self._peers.items() if peer.sessions]

    def attach(self, connector: Connector, observer: PeerObserver) -> None:
        """Set the connector and the observer, which depend on the table."""
        self._connector = connector
        self._observer = observer

    def hello_of(self, vm: str) -> messages_session.Hello | None:
        """Return the hello message of a connected peer, else None."""
        peer = self._peers.get(vm)
        return peer.sessions[-1].peer if peer and peer.sessions else None

    def set_addresses(self, addresses: dict[str, address.Address]) -> None:
        """Replace the addresses with those of the VM list."""
        self._addresses = dict(addresses)
        self._dial_persistent()

    def keep_connected(self, vms: Iterable[str], group: str = "") -> None:
        """Set the peers of a group to which streams are kept open.

        Peers of no group are dialled on demand and closed when idle.
        """
        self._groups[group] = frozenset(vms)
        self._persistent_vms = frozenset().union(*self._groups.values())
        self._dial_persistent()

    def dial(self, vm: str) -> None:
        """Dial a peer that has no session; the stream closes when idle."""
        peer = self._get_or_add_peer(vm) if vm in self._addresses else None
        if peer is not None and not peer.sessions and not self._is_stopped:
            peer.dialler.start()

    def send(self, peer: str, item: message.Message) -> None:
        """Send a message, or queue it and dial the peer.

        The message is dropped and counted if there is no session and the
        address is unknown, the queue or the table is full, or the table is
        stopped.
        """
        known_peer = self._peers.get(peer)
        if known_peer is not None:
            for peer_session in reversed(known_peer.sessions):
                if peer_session.send(item):
                    return
        if self._is_stopped or peer not in self._addresses:
            self._count("message_without_address")
            return
        known_peer = self._get_or_add_peer(peer)
        if known_peer is None or len(known_peer.queued) >= MAX_QUEUED_MESSAGES:
            self._count("message_dropped")
            return
        known_peer.queued.append((self._clock.now_ms(), item))
        known_peer.dialler.start()

    def stop(self) -> None:
        """Close all sessions and stop reconnecting."""
        self._is_stopped = True
        for peer in list(self._peers.values()):
            peer.dialler.stop()
            for peer_session in list(peer.sessions):
                peer_session.close("process is stopping")

    def on_session_up(self, peer_session: session.PeerSession) -> None:
        """Add a session; a later incarnation replaces an earlier one."""
        hello = peer_session.peer
        assert hello is not None
        peer = self._get_or_add_peer(hello.vm)
        if peer is None or self._is_stopped:
            self._count("peer_limit")
            peer_session.close("too many peers")
            return
        for other in list(peer.sessions):
            assert other.peer is not None
            if other.peer.incarnation > hello.incarnation:
                peer_session.close("earlier incarnation of the peer")
                return
            if other.peer.incarnation < hello.incarnation:
                other.close("new incarnation of the peer")
        peer.sessions.append(peer_session)
        if peer_session.is_dialler:
            peer.dialler.on_connected()
        if len(peer.sessions) == 1:
            eliot.log_message("peer_up", peer=hello.vm)
            self._notify_observer(
                peer_session,
                lambda observer: observer.on_peer_up(hello.vm, hello),
            )
        oldest_ms = self._clock.now_ms() - QUEUED_MESSAGE_TTL_MS
        queued, peer.queued = peer.queued, []
        for queued_ms, item in queued:
            if queued_ms >= oldest_ms:
                peer_session.send(item)

    def on_session_message(
        self, peer_session: session.PeerSession, item: message.Message
    ) -> None:
        """Deliver a message to the observer."""
        vm = peer_session.vm
        self._notify_observer(
            peer_session, lambda observer: observer.on_message(vm, item)
        )

    def on_session_down(
        self, peer_session: session.PeerSession, reason: str
    ) -> None:
        """Remove a session and report its loss to the observer."""
        vm = peer_session.vm
        peer = self._peers.get(vm)
        if peer is not None and peer_session in peer.sessions:
            peer.sessions.remove(peer_session)
            eliot.log_message("peer_down", peer=vm, reason=reason)
            self._report_disconnect(vm, peer)

    def on_attempt_finished(self, vm: str) -> None:
        """Process the end of a dialled stream or a failed attempt."""
        peer = self._peers.get(vm)
        if peer is not None:
            should_reconnect = vm in self._persistent_vms and not peer.sessions
            peer.dialler.on_disconnected(
                vm in self._addresses
                and (should_reconnect or bool(peer.queued))
            )

    def config_revisions(self) -> dict[str, int]:
        """Return the active revision per tenant, for pings."""
        return self._observer.config_revisions() if self._observer else {}

    def count(self, event: str) -> None:
        """Count an event by its name."""
        self._count(event)

    def _notify_observer(
        self,
        peer_session: session.PeerSession,
        notify: Callable[[PeerObserver], None],
    ) -> None:
        if self._observer is None:
            return
        try:
            notify(self._observer)
        except Exception:
            # An exception in a handler closes one session, not the process.
            # Its requests are resumed after the reconnect.
            eliot.write_traceback()
            self._count("message_fault")
            peer_session.close("exception while handling a message")

    def _report_disconnect(self, vm: str, peer: _Peer) -> None:
        # Messages on the closed stream may be lost even if another session is
        # up. The observer is notified of a loss and a return, so that it
        # resumes its requests.
        if self._observer is None:
            return
        self._observer.on_peer_down(vm)
        if peer.sessions and not self._is_stopped:
            peer_session = peer.sessions[-1]
            hello = peer_session.peer
            assert hello is not None
            self._notify_observer(
                peer_session, lambda observer: observer.on_peer_up(vm, hello)
            )

    def _get_or_add_peer(self, vm: str) -> _Peer | None:
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
            self.on_attempt_finished(vm)
            return
        self._connector.connect(
            target, vm, lambda: self.on_attempt_finished(vm)
        )

    def _dial_persistent(self) -> None:
        if self._is_stopped:
            return
        for vm in self._persistent_vms:
            if vm in self._addresses:
                peer = self._get_or_add_peer(vm)
                if peer is not None and not peer.sessions:
                    peer.dialler.start()

    def _run_maintenance(self) -> None:
        if self._is_stopped:
            return
        self._clock.call_later(MAINTENANCE_INTERVAL_MS, self._run_maintenance)
        now_ms = self._clock.now_ms()
        for vm, peer in list(self._peers.items()):
            peer.queued = [
                row
                for row in peer.queued
                if row[0] >= now_ms - QUEUED_MESSAGE_TTL_MS
            ]
            for peer_session in list(peer.sessions):
                is_idle = now_ms - peer_session.last_used_ms >= IDLE_TIMEOUT_MS
                if (
                    is_idle
                    and peer_session.is_dialler
                    and vm not in self._persistent_vms
                ):
                    peer_session.close("idle")
            is_unused = not peer.sessions and not peer.queued
            if is_unused and peer.dialler.is_idle:
                if vm not in self._persistent_vms or vm not in self._addresses:
                    peer.dialler.stop()
                    del self._peers[vm]
