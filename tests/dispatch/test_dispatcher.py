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
    """Outbox and listener that record what they get."""

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
    """Guard the answers and the certificates of one entry."""

    def setUp(self):
        self.clock = virtual_clock.VirtualClock()
        self.seen = Harness()
        self.router = router.Router(self.clock, random.Random(1), "z")
        self.dispatcher = dispatcher.Dispatcher(
            self.clock,
            self.seen,
            self.router,
            request_limits.RequestLimits(self.clock),
            random.Random(1),
            home_of=lambda service, key: "a0",
        )
        for peer in ("a0", "a1"):
            self.up(peer, 1)

    def up(self, peer, incarnation):
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

    def down(self, peer):
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
            self.seen,
        )
        return self.current()

    def current(self):
        peer, item = self.seen.last(messages.Dispatch)
        return peer, item.attempt

    def say(self, peer, item):
        self.dispatcher.on_message(peer, item)

    def end(self, attempt, data):
        digest = hashlib.blake2b(data, digest_size=16).digest()
        return messages.End("r", attempt, len(data), 200, {}, 1, digest)

    def refuse(self, peer, attempt, code):
        item = messages.Refused("r", attempt, code.number, "attempt", 0, "")
        self.say(peer, item)

    def test_gap_and_reattachment_at_exact_offset(self):
        """Chunks lost with a connection must not leave a hole."""
        peer, attempt = self.submit()
        self.say(peer, messages.Chunk("r", attempt, 0, b"ab"))
        self.say(peer, messages.Chunk("r", attempt, 3, b"d"))
        self.assertEqual(2, self.seen.last(messages.Reattach)[1].offset)
        self.down(peer)
        self.up(peer, 1)
        self.say(peer, messages.Chunk("r", attempt - 1, 2, b"x"))
        self.say(peer, messages.Chunk("r", attempt, 2, b"cd"))
        self.say(peer, self.end(attempt, b"abcd"))
        self.assertEqual(b"abcd", self.seen.data)
        self.assertEqual(["end"], self.seen.outcomes)

    def test_wrong_digest_is_not_an_end(self):
        """An answer with wrong bytes must not look whole."""
        peer, attempt = self.submit()
        self.say(peer, messages.Chunk("r", attempt, 0, b"ab"))
        self.say(peer, self.end(attempt, b"xy"))
        self.assertEqual([Code.ANSWER_INTERRUPTED], self.seen.outcomes)

    def test_lost_after_output_is_not_run_again(self):
        """An answer must not be assembled from two runs."""
        peer, attempt = self.submit()
        self.say(peer, messages.Chunk("r", attempt, 0, b"ab"))
        self.down(peer)
        self.up(peer, 2)
        self.assertEqual([Code.ANSWER_INTERRUPTED], self.seen.outcomes)
        self.assertEqual((peer, attempt), self.current())

    def test_lost_without_output_runs_elsewhere(self):
        """A killed agent must not cost an answer that can be had."""
        peer, attempt = self.submit()
        self.down(peer)
        self.assertNotEqual(peer, self.current()[0])

    def test_silent_agent_without_acceptance(self):
        """A dispatch that gets no answer must not wait for its deadline."""
        peer, attempt = self.submit()
        self.clock.advance(1_000)
        self.assertEqual(attempt, self.seen.last(messages.Cancel)[1].attempt)
        self.assertNotEqual(peer, self.current()[0])

    def test_not_repeatable_waits_for_a_certificate(self):
        """A second dispatch without a certificate could run twice."""
        peer, attempt = self.submit("service")
        self.clock.advance(1_500)
        self.assertEqual(attempt, self.seen.last(messages.Cancel)[1].attempt)
        self.assertEqual((peer, attempt), self.current())
        self.say(peer, messages.Cancelled("r", attempt, False))
        self.clock.advance(1_000)
        self.assertEqual(attempt + 1, self.current()[1])

    def test_not_repeatable_at_a_lost_agent(self):
        """A request that may have run must not be called not run."""
        peer, attempt = self.submit("service")
        self.down(peer)
        self.up(peer, 2)
        self.assertEqual([Code.OUTCOME_UNKNOWN], self.seen.outcomes)

    def test_refusal_after_an_uncertain_attempt(self):
        """One certificate says nothing about an earlier attempt."""
        peer, attempt = self.submit()
        self.down(peer)
        self.refuse(*self.current(), Code.QUARANTINED)
        self.assertEqual([Code.BACKEND_CRASHED], self.seen.outcomes)

    def test_home_unreachable(self):
        """A key must not run at another agent than its home."""
        self.down("a0")
        with self.assertRaises(IndexError):
            self.submit("service")
        self.clock.advance(3_000)
        self.assertEqual([Code.HOME_UNREACHABLE], self.seen.outcomes)

    def test_deadlines(self):
        """A late request gets its final answer at once and only one."""
        peer, attempt = self.submit(deadline_ms=500)
        self.clock.advance(500)
        self.refuse(peer, attempt, Code.LEAVING)
        self.assertEqual([Code.DEADLINE_EXCEEDED], self.seen.outcomes)
        self.assertEqual(0, self.dispatcher.active_count)

    def test_cancel_reaches_the_agent(self):
        """A caller that has gone must not keep a backend server busy."""
        peer, attempt = self.submit()
        self.dispatcher.cancel("r")
        self.assertEqual(attempt, self.seen.last(messages.Cancel)[1].attempt)
        self.assertEqual([Code.CALLER_GONE], self.seen.outcomes)
        self.say(peer, self.end(attempt, b""))
        self.assertEqual(peer, self.seen.last(messages.Ack)[0])
