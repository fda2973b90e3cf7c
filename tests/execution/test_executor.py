"""Tests of the executor."""

from __future__ import annotations

import random
import unittest

from balsamwall.execution import crash_attribution
from balsamwall.execution import executor
from balsamwall.protocol import messages_request as messages
from balsamwall.results import result_code
from balsamwall.timing import virtual_clock
from tests.request_path import fake_backend

Code = result_code.ResultCode


class Outbox:
    def __init__(self):
        self.sent = []

    def send(self, peer, item):
        self.sent.append(item)

    def of_type(self, kind):
        return [item for item in self.sent if isinstance(item, kind)]


KEYED = {
    "kind": "service",
    "target": "s",
    "is_repeatable": False,
    "idempotency_key": "w/5/k",
    "fingerprint": b"f",
}


def dispatch(attempt=1, **changes):
    values = {
        "request_id": f"r{attempt}",
        "attempt": attempt,
        "incarnation": 7,
        "tenant": "t",
        "workspace": "w",
        "kind": "model",
        "target": "m",
        "path": "/",
        "headers": {},
        "body": b"text",
        "is_urgent": True,
        "is_repeatable": True,
        "is_streamed": True,
        "remaining_ms": 20_000,
        "prompt_tokens": 50,
        "max_output_tokens": 50,
        "idempotency_key": "",
        "fingerprint": b"f%d" % attempt,
    }
    return messages.Dispatch(**(values | changes))


class ExecutorTest(unittest.TestCase):
    """Guard against false reports of "not run" and broken answers."""

    def setUp(self):
        self.clock = virtual_clock.VirtualClock()
        self.outbox = Outbox()
        self.log = []
        self.memory = fake_backend.FakeMemory(10_000)
        self.backend = fake_backend.FakeBackend(
            "a", self.clock, random.Random(1), self.log, 10_000
        )
        self.verdicts = []
        self.crash = crash_attribution.CrashAttribution(
            self.clock, "a", self.verdicts.append
        )
        self.executor = executor.Executor(
            self.clock,
            self.outbox,
            self.backend,
            self.memory,
            fake_backend.FakeKeyGate(-1),
            7,
            self.crash,
            kv_bytes=lambda _, n: n * 10,
        )
        self.backend.on_restart = self.executor.on_backend_up

    def receive(self, item):
        self.executor.on_message("e", item)

    def refusals(self):
        found = self.outbox.of_type(messages.Refused)
        return [result_code.from_number(item.code) for item in found]

    def test_cancel_before_dispatch_certifies(self):
        """A dispatch must not run after its cancel was answered "not run"."""
        self.receive(messages.Cancel("r1", 1, 7))
        self.receive(dispatch())
        self.clock.advance(5_000)
        self.assertEqual([], self.log)
        self.assertEqual(
            [False, False],
            [c.ran for c in self.outbox.of_type(messages.Cancelled)],
        )

    def test_dropped_record_still_refuses(self):
        """An attempt whose record was evicted must not run."""
        self.receive(messages.Cancel("r1", 1, 7))
        records = self.executor._table.records
        self.clock.advance(600_001)
        self.receive(messages.Cancel("r9", 9, 7))
        self.assertEqual(1, len(records))
        self.receive(dispatch())
        self.assertEqual([Code.CANCELLED_NOT_RUN], self.refusals())
        self.receive(messages.Cancel("r0", 0, 7))
        self.assertTrue(self.outbox.of_type(messages.Cancelled)[-1].ran)

    def test_other_incarnation_is_refused(self):
        """An attempt for an earlier incarnation may have run there."""
        self.receive(dispatch(incarnation=6))
        self.assertEqual([Code.WRONG_INCARNATION], self.refusals())
        self.receive(messages.Cancel("r5", 5, 6))
        self.assertTrue(self.outbox.of_type(messages.Cancelled)[-1].ran)

    def test_reattach_continues_at_the_offset(self):
        """A lost connection must not lose or repeat bytes."""
        self.receive(dispatch())
        self.executor.on_peer_down("e")
        self.clock.advance(4_000)
        self.receive(messages.Reattach("r1", 1, 7, 3))
        chunks = self.outbox.of_type(messages.Chunk)
        self.assertEqual(
            self.log[0].answer[3:],
            b"".join(c.data for c in chunks if c.offset >= 3),
        )
        total = self.outbox.of_type(messages.End)[0].total_bytes
        self.receive(messages.Ack("r1", 1, total))
        self.assertTrue(self.executor.is_idle)

    def test_orphans(self):
        """Loss of an entry stops only its repeatable attempts.

        Otherwise orphaned work would go on, or a request that can't be
        repeated would be cut off.
        """
        self.backend._step = lambda *_: None
        self.receive(dispatch(1))
        self.receive(dispatch(2, is_repeatable=False))
        self.executor.on_peer_down("e")
        self.clock.advance(6_000)
        self.assertEqual(["r2.2"], list(self.backend.running))

    def test_urgent_before_deferrable(self):
        """Deferrable requests must leave memory for urgent ones."""
        for attempt in range(1, 11):
            self.receive(dispatch(attempt, is_urgent=False))
        self.assertEqual(7, self.executor.load().running)
        self.receive(dispatch(20))
        self.assertEqual("r20", self.log[-1].request_id)
        self.assertLessEqual(self.memory.committed_bytes, 10_000)

    def test_broken_stream_of_a_cancelled_attempt(self):
        """Memory must stay charged until the backend server has stopped.

        A broken stream does not show that the attempt has ended.
        """
        self.receive(dispatch())
        run = self.executor._table.get(("e", "r1", 1))
        self.receive(messages.Cancel("r1", 1, 7))
        for code in (Code.ANSWER_INTERRUPTED, Code.OUTCOME_UNKNOWN):
            self.executor._control.on_error(run, 0, code, "broken", False)
        self.assertEqual(1_000, self.memory.committed_bytes)
        self.clock.advance(30)
        self.assertEqual(0, self.memory.committed_bytes)

    def test_places_for_urgent(self):
        """Deferrable attempts must leave batch slots for urgent ones."""
        self.memory = fake_backend.FakeMemory(1_000_000)
        self.executor = executor.Executor(
            self.clock,
            self.outbox,
            self.backend,
            self.memory,
            fake_backend.FakeKeyGate(-1),
            7,
            self.crash,
            max_running=4,
        )
        for number in range(1, 6):
            self.receive(dispatch(number, is_urgent=False))
        load = self.executor.load()
        self.assertEqual((3, 2), (load.running, load.waiting_deferrable))
        # Waiting deferrable prompts are not counted: urgent ones go first.
        self.assertEqual(150, load.queued_tokens)
        self.receive(dispatch(6))
        load = self.executor.load()
        self.assertEqual((4, 0), (load.running, load.waiting_urgent))

    def test_deadline_before_start(self):
        """A deadline that passes in the queue must be refused as not run."""
        self.receive(dispatch(1, prompt_tokens=950))
        self.receive(dispatch(2, prompt_tokens=950, remaining_ms=1))
        self.clock.advance(5_000)
        self.assertEqual([Code.DEADLINE_UNREACHABLE], self.refusals())

    def test_drain(self):
        """A leaving agent must finish its work and accept no more."""
        idle = []
        self.receive(dispatch(1))
        self.executor.start_drain(lambda: idle.append(1))
        self.clock.advance(3_000)
        self.receive(dispatch(2))
        self.assertEqual([Code.LEAVING], self.refusals())
        self.assertEqual([], idle)
        end = self.outbox.of_type(messages.End)[0]
        self.receive(messages.Ack("r1", 1, end.total_bytes))
        self.assertEqual([1], idle)

    def test_broken_stream_is_resumed(self):
        """A broken backend stream must not end or repeat the answer."""
        self.backend.break_chance = 0.0
        self.receive(dispatch())
        run = next(iter(self.backend.running.values()))
        listener, run["listener"] = run["listener"], None
        listener.on_error(Code.ANSWER_INTERRUPTED, "broken", False)
        self.clock.advance(5_000)
        end = self.outbox.of_type(messages.End)[0]
        self.assertEqual(len(self.log[0].answer), end.total_bytes)

    def test_crash_suspect_runs_alone_then_quarantine(self):
        """A request that crashes servers must not fail others again."""
        poison = {"body": fake_backend.POISON, "fingerprint": b"p"}
        self.receive(dispatch(1, **poison))
        self.receive(dispatch(2))
        self.clock.advance(2_000)
        self.assertEqual(2, len(self.outbox.of_type(messages.Failed)))
        self.receive(dispatch(3, **poison))
        self.receive(dispatch(4))
        self.clock.advance(10_000)
        self.assertTrue(self.crash.is_quarantined(b"p"))
        failed = self.outbox.of_type(messages.Failed)
        self.assertEqual([1, 2, 3], [item.attempt for item in failed])
        self.receive(dispatch(5, **poison))
        self.assertEqual([Code.QUARANTINED], self.refusals())

    def test_full_queue(self):
        """An unbounded queue would hide overload."""
        self.receive(dispatch(1, prompt_tokens=950))
        for attempt in range(2, 259):
            self.receive(dispatch(attempt))
        self.assertEqual([Code.QUEUE_FULL], self.refusals())

    def test_resend_while_the_backend_server_is_down(self):
        """A key that ran must be answered, not refused as not run."""
        self.receive(dispatch(1, **KEYED))
        self.clock.advance(5_000)
        self.executor.on_backend_down(is_crash=False)
        self.receive(dispatch(2, **KEYED))
        self.assertEqual([], self.refusals())
        ends = self.outbox.of_type(messages.End)
        self.assertEqual(["r1", "r2"], [item.request_id for item in ends])

    def test_new_key_while_the_backend_server_is_down(self):
        """The refusal of a new key must cover all its attempts.

        The home knows that none has run.
        """
        self.executor.on_backend_down(is_crash=False)
        self.receive(dispatch(1, **KEYED))
        refused = self.outbox.of_type(messages.Refused)[0]
        self.assertEqual("key", refused.scope)
