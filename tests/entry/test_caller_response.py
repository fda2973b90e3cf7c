"""Tests of answers on their way to a caller."""

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
        """Ignore output."""

    def on_finished(self, code: result_code.ResultCode) -> None:
        self.codes.append(code.name)


def _end(total: int, status: int = 200) -> caller_request.AnswerEnd:
    headers = {"content-type": "application/json", "server": "engine"}
    return caller_request.AnswerEnd(status, headers, total, 1)


def _failure(name: str = "ANSWER_INTERRUPTED") -> caller_request.AnswerFailure:
    return caller_request.AnswerFailure(result_code.ResultCode[name], "lost")


class CallerResponseTest(unittest.TestCase):
    """Guard against answers that look whole and are not."""

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

    def _whole(self) -> caller_response.BufferedResponse:
        return caller_response.BufferedResponse(
            self.sink, self.meter, self._cancel, 1_000, {"x-id": "1"}
        )

    def test_marker_waits_for_the_end(self) -> None:
        """The final marker must not be seen before the verified end."""
        answer = self._streamed()
        answer.on_chunk(EVENT + DONE)
        self.assertEqual(EVENT, self.sink.data)
        answer.on_end(_end(len(EVENT + DONE)))
        self.assertEqual(EVENT + DONE, self.sink.data)
        self.assertEqual("finished", self.sink.end)
        self.assertEqual(["OK"], self.meter.codes)

    def test_missing_bytes_break_the_stream(self) -> None:
        """An end with another length must not end the answer normally."""
        answer = self._streamed()
        answer.on_chunk(EVENT + DONE)
        answer.on_end(_end(len(EVENT + DONE) + 1))
        self.assertNotIn(DONE, self.sink.data)
        self.assertIn(b"event: error\n", self.sink.data)
        self.assertEqual("broken off", self.sink.end)

    def test_failure_inside_an_event(self) -> None:
        """A cut event must not swallow the error event."""
        answer = self._streamed()
        answer.on_chunk(EVENT + b'data: {"te')
        answer.on_failure(_failure())
        rest = self.sink.data.removeprefix(EVENT)
        self.assertTrue(rest.startswith(b"event: error\ndata: {"))

    def test_failure_before_output_keeps_its_status(self) -> None:
        """A refusal must be an HTTP error and not a stream."""
        self._streamed().on_failure(_failure("NO_REPLICA"))
        self.assertEqual(503, self.sink.status)
        self.assertEqual("1", self.sink.headers["retry-after"])
        self.assertEqual("finished", self.sink.end)
        self.assertIsNone(self.clock.next_due_ms)

    def test_keep_alive_while_waiting(self) -> None:
        """A caller must notice a connection that went silent."""
        answer = self._streamed()
        self.clock.advance(2 * caller_response.KEEP_ALIVE_INTERVAL_MS)
        self.assertEqual(b": keep-alive\n\n" * 2, self.sink.data)
        answer.on_failure(_failure())
        self.assertEqual("broken off", self.sink.end)

    def test_stalled_caller_is_cancelled(self) -> None:
        """A caller that stopped reading must not keep an engine busy."""
        self._streamed()
        self.sink.is_stalled = True
        self.clock.advance(caller_response.KEEP_ALIVE_INTERVAL_MS)
        self.assertEqual(1, self.cancelled)
        self.assertEqual("broken off", self.sink.end)

    def test_document_instead_of_events(self) -> None:
        """An engine's own refusal must keep its status and body."""
        answer = self._streamed()
        answer.on_chunk(b'{"error": 1}')
        self.clock.advance(caller_response.KEEP_ALIVE_INTERVAL_MS)
        answer.on_end(_end(12, 400))
        self.assertEqual(400, self.sink.status)
        self.assertEqual({"error": 1}, self.sink.document())
        self.assertNotIn("server", self.sink.headers)
        self.assertIsNone(self.clock.next_due_ms)

    def test_whole_answer_is_never_partial(self) -> None:
        """An unstreamed answer must be sent whole or not at all."""
        answer = self._whole()
        answer.on_chunk(b"half")
        answer.on_failure(_failure("OUTCOME_UNKNOWN"))
        error = self.sink.document()["error"]
        self.assertEqual((3001, "unknown"), (error["number"], error["ran"]))
        self.assertEqual("1", self.sink.headers["x-id"])

    def test_large_whole_answer(self) -> None:
        """An endless answer must not fill the memory of the entry."""
        answer = self._whole()
        answer.on_chunk(b"x" * 1_001)
        answer.on_chunk(b"x")
        self.assertEqual(1, self.cancelled)
        self.assertEqual(["ANSWER_NOT_KEPT"], self.meter.codes)

    def test_caller_gone(self) -> None:
        """Only a request in progress may be cancelled."""
        answer = self._whole()
        answer.on_end(_end(0))
        answer.on_caller_disconnected()
        self.assertEqual(0, self.cancelled)
        self._whole().on_caller_disconnected()
        self.assertEqual(1, self.cancelled)
