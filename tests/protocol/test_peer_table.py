"""Tests of the peer table and of the dialler."""

from __future__ import annotations

import random
import unittest

from balsamwall.protocol import dialler
from balsamwall.protocol import message
from balsamwall.protocol import messages_request
from balsamwall.protocol import messages_session
from balsamwall.protocol import peer_table
from balsamwall.settings import address
from balsamwall.timing import virtual_clock

ACK = messages_request.Ack("r", 1, 2)


class _Stream:
    """Fake session that records messages and its close reason."""

    def __init__(
        self, table: peer_table.PeerTable, incarnation: int, is_dialler: bool
    ) -> None:
        self.table = table
        self.peer = messages_session.Hello(
            1, "agent-1", "agent", "z", "t", incarnation, b""
        )
        self.vm = "agent-1"
        self.is_dialler = is_dialler
        self.last_used_ms = 0
        self.sent: list[message.Message] = []
        self.closed = ""

    def send(self, item: message.Message) -> bool:
        self.sent.append(item)
        return True

    def close(self, reason: str) -> None:
        self.closed = reason
        self.table.on_session_down(self, reason)


class _Observer:
    def __init__(self) -> None:
        self.events: list[str] = []
        self.raises_on_message = False

    def on_message(self, peer: str, item: message.Message) -> None:
        if self.raises_on_message:
            raise RuntimeError("fault")

    def on_peer_up(self, peer: str, hello: messages_session.Hello) -> None:
        self.events.append(f"up {hello.incarnation}")

    def on_peer_down(self, peer: str) -> None:
        self.events.append("down")

    def config_revisions(self) -> dict[str, int]:
        return {}


class PeerTableTest(unittest.TestCase):
    """Guard against lost messages and wrong peer events."""

    def setUp(self) -> None:
        self.clock = virtual_clock.VirtualClock()
        self.counted_events: list[str] = []
        self.dial_count = 0
        self.observer = _Observer()
        self.table = peer_table.PeerTable(
            self.clock, random.Random(1), self.counted_events.append
        )
        self.table.attach(self, self.observer)

    def connect(self, target: object, vm: str, on_failed: object) -> None:
        self.dial_count += 1
        self.on_failed = on_failed

    def _open(self, incarnation: int, is_dialler: bool = True) -> _Stream:
        stream = _Stream(self.table, incarnation, is_dialler)
        stream.last_used_ms = self.clock.now_ms()
        self.table.on_session_up(stream)
        return stream

    def test_on_demand(self) -> None:
        """Guard against loss of the message that triggers a dial."""
        self.table.send("agent-1", ACK)
        self.assertEqual(["message_without_address"], self.counted_events)
        self.table.set_addresses({"agent-1": address.Address("h", 1)})
        self.table.send("agent-1", ACK)
        self.assertEqual(1, self.dial_count)
        stream = self._open(7)
        self.assertEqual([ACK], stream.sent)
        self.clock.advance(peer_table.IDLE_TIMEOUT_MS + 5_000)
        self.assertEqual("idle", stream.closed)

    def test_old_messages_are_dropped(self) -> None:
        """Guard against delivery of messages whose sender has given up."""
        self.table.set_addresses({"agent-1": address.Address("h", 1)})
        self.table.send("agent-1", ACK)
        self.clock.advance(peer_table.QUEUED_MESSAGE_TTL_MS + 1)
        self.assertEqual([], self._open(7).sent)

    def test_loss_of_one_of_two_sessions(self) -> None:
        """Guard against a lost stream that is hidden by a second one.

        Requests resume only if they are told of the loss.
        """
        first, second = self._open(7), self._open(7, False)
        first.close("no frame")
        self.assertEqual(["up 7", "down", "up 7"], self.observer.events)
        self.table.send("agent-1", ACK)
        self.assertEqual([ACK], second.sent)

    def test_new_incarnation(self) -> None:
        """Guard against confusing a restarted agent with its predecessor."""
        first = self._open(7)
        self._open(8)
        self.assertEqual("new incarnation of the peer", first.closed)
        self.assertEqual(["up 7", "down", "up 8"], self.observer.events)
        late = self._open(7)
        self.assertEqual("earlier incarnation of the peer", late.closed)
        self.assertEqual(["up 7", "down", "up 8"], self.observer.events)

    def test_handler_exception_closes_one_session(self) -> None:
        """Guard against a handler exception that ends the process."""
        stream = self._open(7)
        self.observer.raises_on_message = True
        self.table.on_session_message(stream, ACK)
        self.assertTrue(stream.closed)
        self.assertIn("message_fault", self.counted_events)

    def test_persistent_peer_is_dialled_with_backoff(self) -> None:
        """Guard against synchronized reconnects after a fleet restart."""
        self.table.set_addresses({"agent-1": address.Address("h", 1)})
        self.table.keep_connected(["agent-1"])
        times = []
        for _ in range(12):
            count = self.dial_count
            self.on_failed()
            start_ms = self.clock.now_ms()
            while self.dial_count == count:
                self.clock.advance(1)
            times.append(self.clock.now_ms() - start_ms)
        self.assertLessEqual(dialler.MIN_BACKOFF_MS, min(times))
        self.assertGreaterEqual(dialler.MAX_BACKOFF_MS, max(times))
        self.assertGreater(len(set(times[-6:])), 3)
