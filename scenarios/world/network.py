"""Network between processes: real peer tables over fake sessions."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from balsamwall.protocol import codec
from balsamwall.protocol import messages_session
from balsamwall.protocol import peer_table
from balsamwall.protocol import session

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.protocol import message
    from balsamwall.timing import virtual_clock
    from scenarios.world import process as process_module

MIN_DELAY_MS = 1
MAX_DELAY_MS = 3


class FakeSession:
    """One end of a stream; messages are encoded and decoded."""

    def __init__(self, network, process, table, clock, is_dialler) -> None:
        self._network = network
        self.process: process_module.Process = process
        self._generation = process.generation
        self._table = table
        self._clock = clock
        self._sequence = 0
        self._heard_ms = clock.now_ms()
        self._last_arrival_ms = 0
        self._on_closed: Callable[[], None] = lambda: None
        self.is_dialler = is_dialler
        self.is_open = False
        self.is_silent = False
        self.other: FakeSession = self
        self.peer: messages_session.Hello | None = None
        self.last_used_ms = clock.now_ms()

    @property
    def vm(self) -> str:
        return self.peer.vm if self.peer is not None else ""

    def send(self, item: message.Message) -> bool:
        if not self.is_open:
            return False
        self.last_used_ms = self._clock.now_ms()
        self._network.on_send(self.process.vm, self.vm, item)
        self._transfer(codec.encode(item))
        return True

    def close(self, reason: str) -> None:
        if not self.is_open:
            return
        self.is_open = False
        self.forward(self.other.on_closed_by_peer)
        self._table.on_session_down(self, reason)
        self._on_closed()

    def open(self, hello, on_closed) -> None:
        """Mark the session as open and register it with the peer table."""
        self.peer = hello
        self.is_open = True
        self._on_closed = on_closed
        self._heard_ms = self._clock.now_ms()
        self._clock.call_later(session.PING_INTERVAL_MS, self._tick)
        self._table.on_session_up(self)

    def forward(self, function, *args) -> None:
        """Run a call at the other end in order, or drop it when silent."""
        if self.is_silent or self.other.is_silent:
            return
        now_ms = self._network.clock.now_ms()
        arrival_ms = max(self._last_arrival_ms, now_ms + self._network.delay())
        self._last_arrival_ms = arrival_ms
        self._network.clock.call_later(
            arrival_ms - now_ms, self.other.deliver, function, *args
        )

    def deliver(self, function, *args) -> None:
        """Run a call that arrives at this end, unless it is silent."""
        if not self.is_silent:
            self.process.run(self._generation, function, *args)

    def on_closed_by_peer(self) -> None:
        self.close("closed by the peer")

    def on_stopped(self) -> None:
        """Close with the process; a lost VM sends no end of the stream."""
        if self.is_open:
            self.is_open = False
            if not self.process.is_vm_lost:
                self.forward(self.other.on_closed_by_peer)

    def _transfer(self, data: bytes) -> None:
        self.forward(self.other.on_data, data)

    def on_data(self, data: bytes) -> None:
        if not self.is_open:
            return
        self._heard_ms = self._clock.now_ms()
        item = codec.decode(data)
        if not isinstance(item, messages_session.Ping):
            self.last_used_ms = self._heard_ms
        self._table.on_session_message(self, item)

    def _tick(self) -> None:
        if not self.is_open:
            return
        silent_ms = self._clock.now_ms() - self._heard_ms
        if silent_ms >= session.PEER_TIMEOUT_MS:
            self.close("silent")
            return
        self._clock.call_later(session.PING_INTERVAL_MS, self._tick)
        self._sequence += 1
        revisions = self._table.config_revisions()
        ping = messages_session.Ping(self._sequence, revisions)
        self._transfer(codec.encode(ping))


class Connector:
    """Dials the streams of one process."""

    def __init__(self, network, process, identity, table, clock) -> None:
        self._network = network
        self.process = process
        self.identity = identity
        self.table = table
        self.clock = clock

    def connect(self, target, vm, on_failed) -> None:
        """Dial; each attempt ends in one session or on_failed."""
        self._network.connect(self, vm, on_failed)


class Network:
    """Connections between the processes of a fleet, with faults."""

    def __init__(self, clock: virtual_clock.VirtualClock, seed: int) -> None:
        self.clock = clock
        self._random = random.Random(seed)
        self._connectors: dict[str, Connector] = {}
        self._sessions: list[FakeSession] = []
        self._cut: set[str] = set()
        self.on_send: Callable[[str, str, message.Message], None] = (
            lambda sender, receiver, item: None
        )

    def delay(self) -> int:
        """Return a random delay of one message in ms."""
        return self._random.randint(MIN_DELAY_MS, MAX_DELAY_MS)

    def join(self, process, identity, clock, random_source, count):
        """Return the peer table of a started process and its connector."""
        table = peer_table.PeerTable(clock, random_source, count)
        connector = Connector(self, process, identity, table, clock)
        self._connectors[process.vm] = connector
        return table, connector

    def connect(self, dialler: Connector, vm: str, on_failed) -> None:
        """Open a stream; call on_failed if refused or after the timeout."""
        target = self._connectors.get(vm)
        own = dialler.process.vm
        is_cut = own in self._cut or vm in self._cut
        is_silent = (
            target is None
            or is_cut
            or target.process.is_vm_lost
            or target.process.is_paused
        )
        if is_silent:
            dialler.clock.call_later(session.HANDSHAKE_TIMEOUT_MS, on_failed)
        elif not target.process.is_alive:
            dialler.clock.call_later(2, on_failed)
        else:
            near = FakeSession(
                self, dialler.process, dialler.table, dialler.clock, True
            )
            far = FakeSession(
                self, target.process, target.table, target.clock, False
            )
            near.other, far.other = far, near
            self._sessions = [
                item
                for item in self._sessions
                if item.is_open or item.peer is None
            ]
            for end in (near, far):
                self._sessions.append(end)
                end.process.on_stopped.append(end.on_stopped)
            nonce = b""
            far_hello = target.identity.hello(nonce)
            near_hello = dialler.identity.hello(nonce)
            self.clock.call_later(
                2, near.deliver, near.open, far_hello, on_failed
            )
            self.clock.call_later(
                2, far.deliver, far.open, near_hello, lambda: None
            )

    def silence(self, vm: str, other: str = "") -> None:
        """Drop all traffic on the open streams of a VM; new ones work."""
        for end in self._sessions:
            if end.process.vm == vm and other in ("", end.other.process.vm):
                end.is_silent = end.other.is_silent = True

    def cut(self, vms) -> None:
        """Partition VMs from all other VMs."""
        for vm in vms:
            self._cut.add(vm)
            self.silence(vm)

    def heal(self, vms) -> None:
        """Remove a partition; only new streams carry traffic again."""
        self._cut.difference_update(vms)

    def is_cut(self, vm: str) -> bool:
        """Tell whether a VM is partitioned."""
        return vm in self._cut
