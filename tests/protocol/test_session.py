"""Tests of sessions."""

from __future__ import annotations

import unittest

from balsamwall.protocol import frame_reader
from balsamwall.protocol import key_ring
from balsamwall.protocol import message
from balsamwall.protocol import messages_request
from balsamwall.protocol import session
from balsamwall.timing import virtual_clock

KEYS = {"old": b"o" * 16, "new": b"n" * 16}


class _Pipe:
    """Transport of one end; `deliver` passes the sent bytes to the peer."""

    def __init__(self) -> None:
        self.peer: session.PeerSession | None = None
        self.sent: list[bytes] = []
        self.is_silent = False
        self.reading = True
        self.is_aborted = False

    def write(self, data: bytes) -> None:
        self.sent.append(data)

    def abort(self) -> None:
        self.is_aborted = True

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True

    def deliver(self) -> bool:
        sent, self.sent = self.sent, []
        if sent and not self.is_silent and self.peer is not None:
            self.peer.data_received(b"".join(sent))
        return bool(sent)


class _Owner:
    """Session owner that records its calls."""

    def __init__(self) -> None:
        self.events: list[str] = []
        self.messages: list[message.Message] = []

    def on_session_up(self, stream: session.PeerSession) -> None:
        self.events.append(f"up {stream.vm}")

    def on_session_message(
        self, stream: session.PeerSession, item: message.Message
    ) -> None:
        self.messages.append(item)

    def on_session_down(
        self, stream: session.PeerSession, reason: str
    ) -> None:
        self.events.append(f"down {reason}")

    def config_revisions(self) -> dict[str, int]:
        return {}

    def count(self, event: str) -> None:
        self.events.append(f"count {event}")


class _Pair:
    """A dialling and a listening session, connected by pipes."""

    def __init__(
        self,
        dialler_keys: key_ring.KeyRing,
        listener_keys: key_ring.KeyRing,
        tenant: str = "tampere",
        frames_per_second: int = 20_000,
    ) -> None:
        self.clock = virtual_clock.VirtualClock()
        self.owners = (_Owner(), _Owner())
        self.pipes = (_Pipe(), _Pipe())
        identities = (
            session.Identity("entry-1", "entry", "z", "tampere", 1),
            session.Identity("agent-1", "agent", "z", tenant, 2),
        )
        rings = (dialler_keys, listener_keys)
        self.ends = tuple(
            session.PeerSession(
                self.clock,
                identities[index],
                rings[index],
                self.pipes[index],
                self.owners[index],
                bytes([index]) * session.NONCE_BYTES,
                index == 0,
                "agent-1" if index == 0 else "",
                frames_per_second,
            )
            for index in (0, 1)
        )
        self.pipes[0].peer, self.pipes[1].peer = self.ends[1], self.ends[0]

    def run(self, duration_ms: int = 0) -> None:
        end_ms = self.clock.now_ms() + duration_ms
        while True:
            while self.pipes[0].deliver() | self.pipes[1].deliver():
                pass
            due_ms = self.clock.next_due_ms
            if due_ms is None or due_ms > end_ms:
                self.clock.run_until(end_ms)
                return
            self.clock.run_until(due_ms)

    def connect(self) -> None:
        for end in self.ends:
            end.start()
        self.run()


def _ring(current: str, *names: str) -> key_ring.KeyRing:
    return key_ring.KeyRing({name: KEYS[name] for name in names}, current)


class SessionTest(unittest.TestCase):
    """Guard against unauthenticated, silent and flooding peers."""

    def test_rotation(self) -> None:
        """Guard against rejected connections during a key rotation."""
        pair = _Pair(_ring("new", "old", "new"), _ring("old", "old", "new"))
        pair.connect()
        self.assertEqual(["up agent-1"], pair.owners[0].events)
        self.assertEqual(["up entry-1"], pair.owners[1].events)

    def test_peer_without_key_is_rejected(self) -> None:
        """Guard against sessions with a process that lacks the shared key."""
        rings = (
            key_ring.KeyRing({"old": b"x" * 16}, "old"),
            _ring("old", "old"),
        )
        pair = _Pair(*rings)
        pair.connect()
        self.assertFalse(pair.ends[0].is_up or pair.ends[1].is_up)
        self.assertIn(
            "count protocol_peer_not_authenticated", pair.owners[1].events
        )

    def test_reflected_hello_is_rejected(self) -> None:
        """Guard against reflection: an attacker that echoes all bytes."""
        pair = _Pair(_ring("old", "old"), _ring("old", "old"))
        end, pipe = pair.ends[1], pair.pipes[1]
        end.start()
        hello = pair.pipes[1].sent[0]
        end.data_received(hello)
        self.assertTrue(end.is_closed)
        self.assertTrue(pipe.is_aborted)

    def test_other_tenant_is_rejected(self) -> None:
        """Guard against requests that reach the VMs of another tenant."""
        pair = _Pair(_ring("old", "old"), _ring("old", "old"), "kovacevic")
        pair.connect()
        self.assertTrue(pair.ends[0].is_closed)

    def test_message_before_proof(self) -> None:
        """Guard against processing messages before authentication."""
        pair = _Pair(_ring("old", "old"), _ring("old", "old"))
        pair.ends[1].start()
        pair.ends[0].start()
        pair.pipes[0].deliver()
        frame = frame_reader.add_prefix(b"\x94\x12\xa1r\x01\x01")
        pair.ends[1].data_received(frame)
        self.assertTrue(pair.ends[1].is_closed)
        self.assertEqual([], pair.owners[1].messages)

    def test_silent_peer_times_out(self) -> None:
        """Guard against requests that are stuck on a silent connection."""
        pair = _Pair(_ring("old", "old"), _ring("old", "old"))
        pair.connect()
        pair.run(60_000)
        self.assertTrue(pair.ends[0].is_up)
        pair.pipes[1].is_silent = True
        pair.run(session.PEER_TIMEOUT_MS)
        self.assertTrue(pair.ends[0].is_closed)
        self.assertIn("count peer_silent", pair.owners[0].events)

    def test_handshake_timeout(self) -> None:
        """Guard against idle unauthenticated connections."""
        pair = _Pair(_ring("old", "old"), _ring("old", "old"))
        pair.ends[1].start()
        pair.clock.advance(session.HANDSHAKE_TIMEOUT_MS)
        self.assertTrue(pair.ends[1].is_closed)

    def test_invalid_frame_closes_session(self) -> None:
        """Guard against invalid frames that reach the owner uncounted."""
        pair = _Pair(_ring("old", "old"), _ring("old", "old"))
        pair.connect()
        pair.ends[1].data_received(frame_reader.add_prefix(b"\xc1"))
        self.assertIn("count protocol_frame_invalid", pair.owners[1].events)
        self.assertTrue(pair.ends[1].is_closed)
        self.assertEqual([], pair.owners[1].messages)

    def test_large_frame_before_proof(self) -> None:
        """Guard against memory use by unauthenticated peers."""
        pair = _Pair(_ring("old", "old"), _ring("old", "old"))
        pair.ends[1].start()
        pair.ends[1].data_received((1_000_000).to_bytes(4, "big"))
        self.assertTrue(pair.ends[1].is_closed)

    def test_flood_is_throttled_without_loss(self) -> None:
        """Guard against a flood that exhausts memory or loses messages."""
        pair = _Pair(
            _ring("old", "old"), _ring("old", "old"), frames_per_second=100
        )
        pair.connect()
        items = [messages_request.Ack("r", 1, offset) for offset in range(400)]
        for item in items:
            pair.ends[0].send(item)
        pair.run()
        self.assertLess(len(pair.owners[1].messages), 250)
        self.assertFalse(pair.pipes[1].reading)
        pair.run(4_000)
        self.assertEqual(items, pair.owners[1].messages)
        self.assertTrue(pair.ends[0].is_up and pair.ends[1].is_up)
