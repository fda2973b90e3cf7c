"""Tests of the agent core."""

from __future__ import annotations

from collections.abc import Callable
import unittest

from balsamwall.agent import agent_core
from balsamwall.agent import agent_parts
from balsamwall.agent import successor_watch
from balsamwall.protocol import message
from balsamwall.protocol import messages_request
from balsamwall.protocol import messages_session
from balsamwall.protocol import messages_state
from balsamwall.protocol import session
from balsamwall.timing import virtual_clock


class _FakeParts:
    """Fake executor, load source and resident source."""

    is_ready = True
    is_down = False

    def __init__(self) -> None:
        self.running = 0
        self.messages: list[message.Message] = []
        self.on_idle: Callable[[], None] | None = None
        self.on_transferred: Callable[[], None] | None = None

    def on_message(self, peer: str, item: message.Message) -> None:
        self.messages.append(item)

    def load_counts(self) -> agent_parts.LoadCounts:
        return agent_parts.LoadCounts(running=self.running, age_ms=len("x"))

    def resident_names(self) -> agent_parts.ResidentNames:
        return agent_parts.ResidentNames(models=("base",))

    def start_drain(self, on_idle: Callable[[], None]) -> None:
        self.on_idle = on_idle

    def start_transfer(self, on_done: Callable[[], None]) -> None:
        self.on_transferred = on_done


class AgentCoreTest(unittest.TestCase):
    """Guard against drains that interrupt requests and excess reports."""

    def setUp(self) -> None:
        self.clock = virtual_clock.VirtualClock()
        self.sent: list[tuple[str, message.Message]] = []
        self.counted: list[str] = []
        self.work = _FakeParts()
        parts = agent_parts.AgentParts(
            executor=self.work,
            load_source=self.work,
            resident_source=self.work,
            drain_steps=[self.work.start_drain],
            transfer_steps=[self.work.start_transfer],
        )
        identity = session.Identity("agent-1", "agent", "z", "tampere", 5)
        self.core = agent_core.AgentCore(
            self.clock, identity, self, parts, self.counted.append
        )
        self.core.start()

    def send(self, peer: str, item: message.Message) -> None:
        self.sent.append((peer, item))

    def _peer_up(self, peer: str, role: str) -> None:
        hello = messages_session.Hello(1, peer, role, "z", "tampere", 1, b"")
        self.core.on_peer_up(peer, hello)

    def _sent(self, kind: type[message.Message]) -> list[tuple[str, object]]:
        return [row for row in self.sent if isinstance(row[1], kind)]

    def test_reports_only_changes(self) -> None:
        """Unchanged reports would use up the bandwidth for control."""
        self._peer_up("entry-1", "entry")
        self._peer_up("agent-2", "agent")
        self.clock.advance(1_000)
        self.sent.clear()
        self.clock.advance(20_000)
        reports = self._sent(messages_state.AgentReport)
        self.assertEqual(4, len(reports))
        self.assertEqual({"entry-1"}, {peer for peer, _ in reports})
        self.assertEqual([], self._sent(messages_state.Residents))
        self.sent.clear()
        self.work.running = 3
        self.clock.advance(500)
        (report,) = self._sent(messages_state.AgentReport)
        self.assertEqual(3, report[1].running)

    def test_sequence_rises(self) -> None:
        """Receivers discard late reports by their sequence number."""
        self._peer_up("entry-1", "entry")
        for count in range(5):
            self.work.running = count
            self.clock.advance(500)
        numbers = [
            item.sequence for _, item in self._sent(messages_state.AgentReport)
        ]
        self.assertEqual(sorted(set(numbers)), numbers)

    def test_drain_waits_for_work(self) -> None:
        """A process must not exit while requests are running."""
        self._peer_up("entry-1", "entry")
        drained: list[str] = []
        self.core.begin_drain("signal", lambda: drained.append("done"))
        mark = messages_state.Leaving("agent-1", 5, "signal")
        self.assertIn(("entry-1", mark), self.sent)
        self.clock.advance(60_000)
        self.assertEqual([], drained)
        self._peer_up("entry-2", "entry")
        self.assertIn(("entry-2", mark), self.sent)
        self.work.on_idle()
        self.work.on_idle()
        self.work.on_transferred()
        self.clock.advance(agent_core.DRAIN_LINGER_MS)
        self.assertEqual(["done"], drained)

    def test_idle_agent_stays_until_the_mark_has_propagated(self) -> None:
        """An agent that exits at once would fail dispatches in transit."""
        drained: list[str] = []
        self.core.begin_drain("signal", lambda: drained.append("done"))
        self.work.on_idle()
        self.work.on_transferred()
        self.clock.advance(agent_core.DRAIN_PROPAGATION_MS)
        self.assertEqual([], drained)
        self.clock.advance(agent_core.DRAIN_LINGER_MS)
        self.assertEqual(["done"], drained)

    def test_drain_without_a_successor_ends(self) -> None:
        """Guards against agents that outlive the stop of a whole system.

        The other agent leaves as well, and waits for this one.
        """
        self._peer_up("entry-1", "entry")
        self._peer_up("agent-2", "agent")
        drained: list[str] = []
        self.core.begin_drain("signal", lambda: drained.append("done"))
        self.work.on_idle()
        leaving = messages_state.Leaving("agent-2", 1, "signal")
        self.core.on_message("agent-2", leaving)
        self.clock.advance(5 * successor_watch.ALONE_TIMEOUT_MS)
        self.assertEqual([], drained)
        self.core.on_peer_down("entry-1")
        self.clock.advance(
            successor_watch.ALONE_TIMEOUT_MS
            + 2 * successor_watch.CHECK_INTERVAL_MS
            + agent_core.DRAIN_LINGER_MS
        )
        self.assertEqual(["done"], drained)

    def test_transfer_waits_for_a_successor(self) -> None:
        """Guards against a model that is lost with a lost connection."""
        self._peer_up("agent-2", "agent")
        drained: list[str] = []
        self.core.begin_drain("signal", lambda: drained.append("done"))
        self.work.on_idle()
        for _ in range(5):
            self.core.on_peer_down("agent-2")
            self.clock.advance(successor_watch.ALONE_TIMEOUT_MS - 2_000)
            self._peer_up("agent-2", "agent")
            self.clock.advance(successor_watch.ALONE_TIMEOUT_MS)
        self.assertEqual([], drained)

    def test_requests_are_finished_without_a_successor(self) -> None:
        """Guards against a stop that cuts off what may not be repeated."""
        drained: list[str] = []
        self.core.begin_drain("signal", lambda: drained.append("done"))
        self.clock.advance(5 * successor_watch.ALONE_TIMEOUT_MS)
        self.assertEqual([], drained)
        self.work.on_idle()
        self.clock.advance(agent_core.DRAIN_LINGER_MS)
        self.assertEqual(["done"], drained)

    def test_leaving_mark_of_another_incarnation(self) -> None:
        """A mark of an earlier incarnation must not drain this one."""
        late = messages_state.Leaving("agent-1", 4, "vm_list")
        self.core.on_message("entry-1", late)
        self.assertFalse(self.core.is_leaving)
        own = messages_state.Leaving("agent-1", 5, "operator")
        self.core.on_message("entry-1", own)
        self.assertEqual("leaving", self.core.state)

    def test_only_entries_send_requests(self) -> None:
        """Request messages from another agent must be rejected."""
        item = messages_request.Cancel("r", 1, 5)
        self._peer_up("agent-2", "agent")
        self.core.on_message("agent-2", item)
        self.assertEqual([], self.work.messages)
        self.assertEqual(["message_from_wrong_role"], self.counted)
        self._peer_up("entry-1", "entry")
        self.core.on_message("entry-1", item)
        self.assertEqual([item], self.work.messages)
