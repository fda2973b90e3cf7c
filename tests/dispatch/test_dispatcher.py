"""Tests of the dispatcher."""

from __future__ import annotations

import hashlib
import random
import unittest

from balsamwall.dispatch import caller_request
from balsamwall.dispatch import dispatcher
from balsamwall.limits import request_limits
from balsamwall.protocol import messages_request as messages
from balsamwall.protocol import messages_state
from balsamwall.results import result_code
from balsamwall.routing import router
from balsamwall.timing import virtual_clock

Code = result_code.ResultCode


class Harness:
    """Outbox and answer listener that record their calls."""

    def __init__(self):
        self.sent = []
        self.data = b""
        self.outcomes = []

    def send(self, peer, item):
        self.sent.append((peer, item))

    def on_chunk(self, data):
        self.data += data

    def on_end(self, end):
        self.outcomes.append("end")

    def on_failure(self, failure):
        self.outcomes.append(failure.code)

    def last(self, kind):
        return [s for s in self.sent if isinstance(s[1], kind)][-1]


class DispatcherTest(unittest.TestCase):
    """Answers, retries and certified outcomes of one entry."""

    def setUp(self):
        self.clock = virtual_clock.VirtualClock()
        self.harness = Harness()
        self.router = router.Router(self.clock, random.Random(1), "z")
        self.dispatcher = dispatcher.Dispatcher(
            self.clock,
            self.harness,
            self.router,
            request_limits.RequestLimits(self.clock),
            random.Random(1),
            home_of=lambda service, key: "a0",
        )
        for peer in ("a0", "a1"):
            self.connect(peer, 1)

    def connect(self, peer, incarnation):
        self.router.on_peer_up(peer, incarnation, "z")
        self.router.on_message(
            peer,
            messages_state.Residents(incarnation, 1, ["m"], [], [], ["s"]),
        )
        self.router.on_message(
            peer,
            messages_state.AgentReport(
                incarnation, 1, "ready", 0, 0, 0, 0, 0, 0, 0, 10_000, 0
            ),
        )
        self.dispatcher.on_peer_up(peer, incarnation)

    def disconnect(self, peer):
        self.router.on_peer_down(peer)
        self.dispatcher.on_peer_down(peer)

    def submit(self, kind="model", deadline_ms=20_000):
        self.dispatcher.submit(
            caller_request.CallerRequest(
                request_id="r",
                tenant="t",
                workspace="w",
                kind=kind,
                target="m" if kind == "model" else "s",
                base="m",
                path="/",
                headers={},
                body=b"",
                is_urgent=True,
                is_repeatable=kind == "model",
                is_streamed=True,
                deadline_ms=self.clock.now_ms() + deadline_ms,
                first_token_deadline_ms=self.clock.now_ms() + 5_000,
                prompt_tokens=10,
                max_output_tokens=10,
                idempotency_key="" if kind == "model" else "k",
                fingerprint=b"f",
            ),
            self.harness,
        )
        return self.current()

    def current(self):
        peer, item = self.harness.last(messages.Dispatch)
        return peer, item.attempt

    def deliver(self, peer, item):
        self.dispatcher.on_message(peer, item)

    def end(self, attempt, data):
        digest = hashlib.blake2b(data, digest_size=16).digest()
        return messages.End("r", attempt, len(data), 200, {}, 1, digest)

    def refuse(self, peer, attempt, code):
        item = messages.Refused("r", attempt, code.number, "attempt", 0, "")
        self.deliver(peer, item)

    def test_gap_and_reattachment_at_exact_offset(self):
        """Guards against a hole in the answer after lost chunks."""
        peer, attempt = self.submit()
        self.deliver(peer, messages.Chunk("r", attempt, 0, b"ab"))
        self.deliver(peer, messages.Chunk("r", attempt, 3, b"d"))
        self.assertEqual(2, self.harness.last(messages.Reattach)[1].offset)
        self.disconnect(peer)
        self.connect(peer, 1)
        self.deliver(peer, messages.Chunk("r", attempt - 1, 2, b"x"))
        self.deliver(peer, messages.Chunk("r", attempt, 2, b"cd"))
        self.deliver(peer, self.end(attempt, b"abcd"))
        self.assertEqual(b"abcd", self.harness.data)
        self.assertEqual(["end"], self.harness.outcomes)

    def test_wrong_digest_is_not_an_end(self):
        """Guards against a corrupt answer that is reported as complete."""
        peer, attempt = self.submit()
        self.deliver(peer, messages.Chunk("r", attempt, 0, b"ab"))
        self.deliver(peer, self.end(attempt, b"xy"))
        self.assertEqual([Code.ANSWER_INTERRUPTED], self.harness.outcomes)

    def test_lost_after_output_is_not_run_again(self):
        """Guards against an answer that is assembled from two runs."""
        peer, attempt = self.submit()
        self.deliver(peer, messages.Chunk("r", attempt, 0, b"ab"))
        self.disconnect(peer)
        self.connect(peer, 2)
        self.assertEqual([Code.ANSWER_INTERRUPTED], self.harness.outcomes)
        self.assertEqual((peer, attempt), self.current())

    def test_lost_without_output_runs_elsewhere(self):
        """Guards against a failure where a retry at another agent is safe."""
        peer, attempt = self.submit()
        self.disconnect(peer)
        self.assertNotEqual(peer, self.current()[0])

    def test_silent_agent_without_acceptance(self):
        """Guards against a dispatch that waits for a silent agent."""
        peer, attempt = self.submit()
        self.clock.advance(1_000)
        self.assertEqual(
            attempt, self.harness.last(messages.Cancel)[1].attempt
        )
        self.assertNotEqual(peer, self.current()[0])

    def test_not_repeatable_waits_for_a_certificate(self):
        """Guards against a second run of a non-repeatable request.

        It could run twice if it were dispatched again before the agent has
        certified that the first attempt did not run.
        """
        peer, attempt = self.submit("service")
        self.clock.advance(1_500)
        self.assertEqual(
            attempt, self.harness.last(messages.Cancel)[1].attempt
        )
        self.assertEqual((peer, attempt), self.current())
        self.deliver(peer, messages.Cancelled("r", attempt, False))
        self.clock.advance(1_000)
        self.assertEqual(attempt + 1, self.current()[1])

    def test_not_repeatable_at_a_lost_agent(self):
        """Guards against "not run" for a request that may have run."""
        peer, attempt = self.submit("service")
        self.disconnect(peer)
        self.connect(peer, 2)
        self.assertEqual([Code.OUTCOME_UNKNOWN], self.harness.outcomes)

    def test_refusal_after_an_uncertain_attempt(self):
        """Guards against "not run" if only the last attempt is certified."""
        peer, attempt = self.submit()
        self.disconnect(peer)
        self.refuse(*self.current(), Code.QUARANTINED)
        self.assertEqual([Code.BACKEND_CRASHED], self.harness.outcomes)

    def test_home_unreachable(self):
        """Guards against a key that runs at another agent than its home."""
        self.disconnect("a0")
        with self.assertRaises(IndexError):
            self.submit("service")
        self.clock.advance(3_000)
        self.assertEqual([Code.HOME_UNREACHABLE], self.harness.outcomes)

    def test_deadlines(self):
        """Guards against a late or a second outcome at the deadline."""
        peer, attempt = self.submit(deadline_ms=500)
        self.clock.advance(500)
        self.refuse(peer, attempt, Code.LEAVING)
        self.assertEqual([Code.DEADLINE_EXCEEDED], self.harness.outcomes)
        self.assertEqual(0, self.dispatcher.active_count)

    def test_cancel_reaches_the_agent(self):
        """Guards against backend work for a disconnected caller."""
        peer, attempt = self.submit()
        self.dispatcher.cancel("r")
        self.assertEqual(
            attempt, self.harness.last(messages.Cancel)[1].attempt
        )
        self.assertEqual([Code.CALLER_GONE], self.harness.outcomes)
        self.deliver(peer, self.end(attempt, b""))
        self.assertEqual(peer, self.harness.last(messages.Ack)[0])
