"""Tests of the engine client against a stand-in engine over TCP."""

from __future__ import annotations

import json
import unittest

from balsamwall_standins import tokens
from twisted.internet import reactor

from balsamwall.backend import backend_server
from balsamwall.backend import engine_client
from balsamwall.backend import prefix_hash
from balsamwall.results import result_code
from tests.fixtures import reactor_thread
from tests.fixtures import recording_listener
from tests.fixtures import standin_process

Code = result_code.ResultCode


def request_of(request_id, is_streamed=True, **extra):
    """Return a request for model m."""
    body = {"model": "m", "prompt": "sum up the clauses", **extra}
    body["stream"] = is_streamed
    return backend_server.BackendRequest(
        request_id=request_id,
        kind="model",
        target="m",
        path="/v1/completions",
        headers={},
        body=json.dumps(body).encode(),
        is_urgent=True,
        is_streamed=is_streamed,
        prompt_tokens=5,
        max_output_tokens=16,
        idempotency_key="",
        timeout_ms=20_000,
    )


def streamed_text(data: bytes) -> str:
    """Return the text of a streamed response that ends with its marker."""
    events = data.decode().split("\n\n")
    assert events[-2:] == ["data: [DONE]", ""], events[-2:]
    return "".join(
        json.loads(event.removeprefix("data: "))["choices"][0]["text"]
        for event in events[:-2]
    )


class EngineClientTest(unittest.TestCase):
    """Guards against misreading what an engine runs or has run."""

    def setUp(self) -> None:
        resident = json.dumps({"name": "m", "bytes": 1_000})
        options = json.dumps({"load_ms": 50, "capacity_bytes": 10**9})
        self.engine = standin_process.StandinProcess(
            "engine", "--resident", resident, "--options", options
        )
        self.addCleanup(self.engine.stop)
        self.client = engine_client.EngineClient(
            reactor, reactor_thread.clock, self.engine.url, 300, 1_000
        )

    def _run(self, request, on_data=None):
        def start(done):
            listener = recording_listener.RecordingListener(done)
            if on_data is not None:
                listener.on_data = on_data(listener)
            self.client.start(request, listener)

        return reactor_thread.call(start)

    def _order(self, order_id, fence=1, action="load", name="n"):
        order = backend_server.EngineOrder(
            order_id, fence, action, name, "model", "1", "", 2_000
        )
        return reactor_thread.call(lambda done: self.client.order(order, done))

    def _listing(self):
        return reactor_thread.call(self.client.listing)

    def test_streamed_and_buffered_responses_are_complete(self) -> None:
        """A wrong offset or end would truncate or repeat the response."""
        request = request_of("r1", max_tokens=30, ignore_eos=True)
        found = self._run(request)
        expected = tokens.response_text("m", json.loads(request.body))
        self.assertEqual(expected, streamed_text(found.data))
        self.assertEqual(30, found.end[3])
        request = request_of("r2", False, max_tokens=3, ignore_eos=True)
        body = json.loads(self._run(request).data)
        expected = tokens.response_text("m", json.loads(request.body))
        self.assertEqual(expected, body["choices"][0]["text"])

    def test_silent_stream_is_resumed(self) -> None:
        """A connection that stalls must not lose its request."""
        request = request_of("r1", max_tokens=40, ignore_eos=True)

        def silence_after_first(listener):
            forward = listener.on_data

            def on_data(offset, data):
                if offset == 0:
                    faults = {"silence_open": True}
                    reactor.callInThread(
                        self.engine.post, "/standin/faults", faults
                    )
                forward(offset, data)

            return on_data

        found = self._run(request, silence_after_first)
        expected = tokens.response_text("m", json.loads(request.body))
        self.assertEqual(expected, streamed_text(found.data))
        self.assertEqual(1, self.engine.executions()[0]["times"])

    def test_only_a_crash_is_attributed(self) -> None:
        """A request refused by a stopped engine must not be a suspect."""
        self._listing()
        self.engine.set_faults(
            is_crash_marker_enabled=True, crash_down_ms=60_000
        )
        found = self._run(request_of("r1", crash=True))
        self.assertEqual(Code.BACKEND_CRASHED, found.error[0])
        self.assertTrue(found.error[2])
        found = self._run(request_of("r2"))
        self.assertEqual(Code.BACKEND_DOWN, found.error[0])
        self.assertFalse(found.error[2])

    def test_model_that_is_not_resident_is_not_run(self) -> None:
        """A request for an evicted model must be reported as not run."""
        self._order("o1", action="unload", name="m")
        found = self._run(request_of("r1"))
        self.assertEqual(Code.NO_REPLICA, found.error[0])

    def test_order_takes_effect_although_its_response_is_lost(self) -> None:
        """A lost response taken for a failure would free memory in use."""
        self.engine.set_faults(path="/engine/orders", lost_answers=1)
        self.assertEqual(Code.ORDER_OUTCOME_UNKNOWN, self._order("o1"))
        standin_process.wait_until(
            lambda: (
                {("m", "ready"), ("n", "ready")}
                == {(r.name, r.state) for r in self._listing().residents}
            )
        )
        self.assertEqual(3_000, self._listing().used_bytes)
        self.assertEqual(Code.OK, self._order("o2", 5, "fence"))
        self.assertEqual(Code.ORDER_STALE_FENCE, self._order("o3", 4))
        self.assertEqual(5, self._listing().fence)

    def test_imported_kv_cache_uses_memory(self) -> None:
        """An import that is not accounted for would overfill the engine."""
        prompt = "p" * 600
        self._run(request_of("r1", prompt=prompt))
        hashes = prefix_hash.prefix_hashes("m", prompt)
        exported = reactor_thread.call(
            lambda done: self.client.export_kv("m", hashes, done)
        )
        self.assertEqual(list(hashes), exported["prefixes"])
        code = reactor_thread.call(
            lambda done: self.client.import_kv("i1", exported, done)
        )
        self.assertEqual(Code.OK, code)
        used = 1_000 + exported["bytes"]
        self.assertEqual(used, self._listing().used_bytes)
        reactor_thread.call(lambda done: self.client.release_kv("i1", done))
        self.assertEqual(1_000, self._listing().used_bytes)


class PrefixHashTest(unittest.TestCase):
    """Guards against different prefix hashes in entry and engine."""

    def test_hashes_and_counts_agree(self) -> None:
        """Prefix affinity finds no match if the two sides differ."""
        messages = [{"role": "user", "content": "ä" * 700}]
        for body in ({"messages": messages}, {"prompt": ["a" * 300, "b"]}):
            prompt = prefix_hash.prompt_text(body)
            self.assertEqual(tokens.extract_prompt(body), prompt)
            self.assertEqual(
                tokens.count_prompt_tokens(prompt),
                prefix_hash.count_prompt_tokens(prompt),
            )
            self.assertEqual(
                tokens.prefix_hashes("m", prompt),
                list(prefix_hash.prefix_hashes("m", prompt)),
            )
