"""Tests of buffered and streamed responses to callers."""

from __future__ import annotations

import unittest

from balsamwall.dispatch import caller_request
from balsamwall.entry import caller_response
from balsamwall.results import result_code
from balsamwall.timing import virtual_clock
from tests.fixtures import fake_sink

EVENT = b'data: {"text": "a"}\n\n'
DONE = b"data: [DONE]\n\n"


class _Meter:
    def __init__(self) -> None:
        self.codes: list[str] = []

    def on_output(self) -> None:
        """Ignore the time of a chunk."""

    def on_finished(self, code: result_code.ResultCode) -> None:
        self.codes.append(code.name)


def _end(total: int, status: int = 200) -> caller_request.AnswerEnd:
    headers = {"content-type": "application/json", "server": "engine"}
    return caller_request.AnswerEnd(status, headers, total, 1)


def _failure(name: str = "ANSWER_INTERRUPTED") -> caller_request.AnswerFailure:
    return caller_request.AnswerFailure(result_code.ResultCode[name], "lost")


class CallerResponseTest(unittest.TestCase):
    """Guards against incomplete responses that look complete."""

    def setUp(self) -> None:
        self.clock = virtual_clock.VirtualClock()
        self.sink = fake_sink.FakeSink()
        self.meter = _Meter()
        self.cancelled = 0

    def _cancel(self) -> None:
        self.cancelled += 1

    def _streamed(self) -> caller_response.StreamedResponse:
        return caller_response.StreamedResponse(
            self.clock, self.sink, self.meter, self._cancel, 1_000, {}
        )

    def _buffered(self) -> caller_response.BufferedResponse:
        return caller_response.BufferedResponse(
            self.sink, self.meter, self._cancel, 1_000, {"x-id": "1"}
        )

    def test_marker_is_held_until_the_end(self) -> None:
        """The final marker must not be sent before the end is verified."""
        response = self._streamed()
        response.on_chunk(EVENT + DONE)
        self.assertEqual(EVENT, self.sink.data)
        response.on_end(_end(len(EVENT + DONE)))
        self.assertEqual(EVENT + DONE, self.sink.data)
        self.assertEqual("finished", self.sink.end)
        self.assertEqual(["OK"], self.meter.codes)

    def test_missing_bytes_interrupt_the_stream(self) -> None:
        """A wrong total length must not complete the response normally."""
        response = self._streamed()
        response.on_chunk(EVENT + DONE)
        response.on_end(_end(len(EVENT + DONE) + 1))
        self.assertNotIn(DONE, self.sink.data)
        self.assertIn(b"event: error\n", self.sink.data)
        self.assertEqual("broken off", self.sink.end)

    def test_failure_inside_an_event(self) -> None:
        """An incomplete event must not absorb the error event."""
        response = self._streamed()
        response.on_chunk(EVENT + b'data: {"te')
        response.on_failure(_failure())
        rest = self.sink.data.removeprefix(EVENT)
        self.assertTrue(rest.startswith(b"event: error\ndata: {"))

    def test_failure_before_output_keeps_its_status(self) -> None:
        """A failure before any output must be an HTTP error, not a stream."""
        self._streamed().on_failure(_failure("NO_REPLICA"))
        self.assertEqual(503, self.sink.status)
        self.assertEqual("1", self.sink.headers["retry-after"])
        self.assertEqual("finished", self.sink.end)
        self.assertIsNone(self.clock.next_due_ms)

    def test_keep_alive_while_waiting(self) -> None:
        """Keep-alives let a caller detect a dead connection."""
        response = self._streamed()
        self.clock.advance(2 * caller_response.KEEP_ALIVE_INTERVAL_MS)
        self.assertEqual(b": keep-alive\n\n" * 2, self.sink.data)
        response.on_failure(_failure())
        self.assertEqual("broken off", self.sink.end)

    def test_stalled_caller_is_cancelled(self) -> None:
        """A caller that has stopped reading must not keep an engine busy."""
        self._streamed()
        self.sink.is_stalled = True
        self.clock.advance(caller_response.KEEP_ALIVE_INTERVAL_MS)
        self.assertEqual(1, self.cancelled)
        self.assertEqual("broken off", self.sink.end)

    def test_json_document_instead_of_events(self) -> None:
        """An error document of an engine must keep its status and body."""
        response = self._streamed()
        response.on_chunk(b'{"error": 1}')
        self.clock.advance(caller_response.KEEP_ALIVE_INTERVAL_MS)
        response.on_end(_end(12, 400))
        self.assertEqual(400, self.sink.status)
        self.assertEqual({"error": 1}, self.sink.document())
        self.assertNotIn("server", self.sink.headers)
        self.assertIsNone(self.clock.next_due_ms)

    def test_buffered_response_is_never_partial(self) -> None:
        """A buffered response must be sent completely or not at all."""
        response = self._buffered()
        response.on_chunk(b"half")
        response.on_failure(_failure("OUTCOME_UNKNOWN"))
        error = self.sink.document()["error"]
        self.assertEqual((3001, "unknown"), (error["number"], error["ran"]))
        self.assertEqual("1", self.sink.headers["x-id"])

    def test_large_buffered_response(self) -> None:
        """An unbounded response must not exhaust the memory of the entry."""
        response = self._buffered()
        response.on_chunk(b"x" * 1_001)
        response.on_chunk(b"x")
        self.assertEqual(1, self.cancelled)
        self.assertEqual(["ANSWER_NOT_KEPT"], self.meter.codes)

    def test_caller_disconnects(self) -> None:
        """Only a request in progress may be cancelled."""
        response = self._buffered()
        response.on_end(_end(0))
        response.on_caller_disconnected()
        self.assertEqual(0, self.cancelled)
        self._buffered().on_caller_disconnected()
        self.assertEqual(1, self.cancelled)
