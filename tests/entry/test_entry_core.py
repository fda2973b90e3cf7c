"""Tests of the entry core."""

from __future__ import annotations

import dataclasses
import random
import unittest

from balsamwall.dispatch import caller_request
from balsamwall.entry import entry_core
from balsamwall.entry import entry_parts
from balsamwall.entry import idempotency_keys
from balsamwall.entry import request_checker
from balsamwall.protocol import message
from balsamwall.protocol import messages_request
from balsamwall.protocol import messages_session
from balsamwall.results import exceptions
from balsamwall.timing import virtual_clock
from tests.fixtures import fake_entry

BEARER = f"Bearer {fake_entry.API_KEY}"


class _Dispatcher:
    """Dispatcher that records its calls."""

    def __init__(self) -> None:
        self.listeners: list[caller_request.AnswerListener] = []
        self.messages: list[message.Message] = []
        self.cancelled: list[str] = []

    def submit(
        self,
        request: caller_request.CallerRequest,
        listener: caller_request.AnswerListener,
    ) -> None:
        self.listeners.append(listener)

    def cancel(self, request_id: str) -> None:
        self.cancelled.append(request_id)

    def on_message(self, peer: str, item: message.Message) -> None:
        self.messages.append(item)


class _Listener:
    """Listener that records the outcome."""

    def __init__(self) -> None:
        self.outcome: list[str] = []

    def on_end(self, end: caller_request.AnswerEnd) -> None:
        self.outcome.append("end")

    def on_failure(self, failure: caller_request.AnswerFailure) -> None:
        self.outcome.append(failure.code.name)


class EntryCoreTest(unittest.TestCase):
    """Guards against requests accepted or rejected at the wrong time."""

    def setUp(self) -> None:
        self.clock = virtual_clock.VirtualClock()
        self.dispatcher = _Dispatcher()
        self.core = entry_core.EntryCore(
            self.clock,
            entry_parts.EntryParts(dispatcher=self.dispatcher),
            lambda event: None,
            5,
        )
        self.configuration = fake_entry.sample_configuration()
        source = random.Random(1)
        self.checker = request_checker.RequestChecker(
            self.clock,
            source,
            idempotency_keys.RandomKeySource(self.clock, source),
        )

    def _checked(self, **changes: object) -> caller_request.CallerRequest:
        body = '{"model": "base", "prompt": "' + "a" * 600 + '"'
        for name, value in changes.items():
            body += f', "{name}": {value}'
        raw = request_checker.RawRequest(
            "/v1/completions", {}, (body + "}").encode()
        )
        return self.checker.check_model(
            raw, self.configuration, self.configuration.workspaces["quotes"]
        )

    def test_no_key_is_rejected_without_configuration(self) -> None:
        """An entry that has just started must not reject valid keys."""
        with self.assertRaises(exceptions.BalsamwallError) as caught:
            self.core.authenticate(BEARER, "a")
        self.assertEqual("NOT_READY", caught.exception.code.name)
        self.core.on_configuration(self.configuration)
        self.assertEqual("quotes", self.core.authenticate(BEARER, "a")[1].name)

    def test_earlier_revision_is_ignored(self) -> None:
        """A late configuration must not restore a withdrawn key."""
        later = dataclasses.replace(
            self.configuration, revision=9, workspaces={}
        )
        self.core.on_configuration(later)
        self.core.on_configuration(self.configuration)
        self.assertEqual({"tampere": 9}, self.core.config_revisions())
        with self.assertRaises(exceptions.BalsamwallError):
            self.core.authenticate(BEARER, "a")

    def test_messages_are_routed_by_type(self) -> None:
        """A message that no component handles must be ignored."""
        item = messages_request.Accepted("r", 1, 0)
        self.core.on_message("agent-1", item)
        self.core.on_message("agent-1", messages_request.Ack("r", 1, 0))
        self.assertEqual([item], self.dispatcher.messages)

    def test_readiness(self) -> None:
        """The load balancer must not use an entry that cannot serve."""
        self.assertEqual("no configuration", self.core.not_ready_reason)
        self.core.on_configuration(self.configuration)
        self.assertEqual("no agent is reachable", self.core.not_ready_reason)
        hello = messages_session.Hello(1, "a-1", "agent", "z", "t", 1, b"")
        self.core.on_peer_up("a-1", hello)
        self.assertEqual("", self.core.not_ready_reason)

    def test_drain(self) -> None:
        """A draining entry must finish the requests that it accepted."""
        first, late = _Listener(), _Listener()
        drained: list[bool] = []
        self.core.submit(self._checked(), first)
        self.core.begin_drain(lambda: drained.append(True))
        self.clock.advance(60_000)
        self.assertEqual([], drained)
        self.core.submit(self._checked(), late)
        self.assertEqual(["LEAVING"], late.outcome)
        end = caller_request.AnswerEnd(200, {}, 0, 0)
        self.dispatcher.listeners[0].on_end(end)
        self.clock.advance(2_000)
        self.assertEqual(([True], ["end"]), (drained, first.outcome))

    def test_second_cancel_is_ignored(self) -> None:
        """A cancelled request must not be cancelled again."""
        request = self._checked()
        self.core.submit(request, _Listener())
        self.core.cancel(request.request_id)
        self.core.cancel(request.request_id)
        self.assertEqual([request.request_id], self.dispatcher.cancelled)

    def test_fingerprint_of_a_retry(self) -> None:
        """A retry of a request that crashed an engine must be recognised."""
        first = self._checked()
        again = self._checked(stream="true", user='"x"')
        self.assertNotEqual(first.request_id, again.request_id)
        self.assertEqual(first.fingerprint, again.fingerprint)
        other = self._checked(temperature="1")
        self.assertNotEqual(first.fingerprint, other.fingerprint)
        self.assertEqual(first.prefix_hashes, other.prefix_hashes)
        self.assertEqual(2, len(first.prefix_hashes))

    def test_output_is_bounded_in_the_body(self) -> None:
        """Output must not exceed the tokens that memory is reserved for."""
        request = self._checked()
        self.assertEqual(512, request.max_output_tokens)
        self.assertIn(b'"max_tokens":512', request.body)
