"""Tests of reading one response over several connections."""

from __future__ import annotations

import unittest

from balsamwall.backend import backend_server
from balsamwall.backend import engine_response
from balsamwall.infrastructure import http_client
from balsamwall.results import result_code
from balsamwall.timing import virtual_clock
from tests.fixtures import recording_listener

Code = result_code.ResultCode
IDLE_TIMEOUT_MS = 2_000


class FakeTransport:
    """Transport whose connections are driven by the test."""

    def __init__(self) -> None:
        self.boot = "7"
        self.connections = []
        self.offsets = []
        self.deletes = []

    def post(self, request, receiver):
        self.connections.append(receiver)
        return lambda: None

    def read_stream(self, request_id, offset, receiver):
        self.connections.append(receiver)
        self.offsets.append(offset)
        return lambda: None

    def delete_stream(self, request_id, callback):
        self.deletes.append(callback)


class EngineResponseTest(unittest.TestCase):
    """Guards against lost or mixed data and wrongly certified outcomes."""

    def setUp(self) -> None:
        self.clock = virtual_clock.VirtualClock()
        self.transport = FakeTransport()
        self.listener = recording_listener.RecordingListener()
        self.response = engine_response.EngineResponse(
            self.clock,
            self.transport,
            "r1",
            self.listener,
            IDLE_TIMEOUT_MS,
            lambda response: None,
        )
        self.response.start(
            backend_server.BackendRequest(
                request_id="r1",
                kind="model",
                target="m",
                path="/v1/completions",
                headers={},
                body=b"{}",
                is_urgent=True,
                is_streamed=True,
                prompt_tokens=1,
                max_output_tokens=4,
                idempotency_key="",
                timeout_ms=30_000,
            )
        )

    def _head(self, connection, status=200, boot="7", **headers) -> None:
        self.transport.connections[connection].on_head(
            status, {"x-engine-boot": boot, **headers}
        )

    def test_stream_that_stops_inside_an_event_is_not_complete(self) -> None:
        """A crash may end the chunks in the same way as the last event."""
        self._head(0, **{"content-type": "text/event-stream"})
        self.transport.connections[0].on_data(b"data: a\n\nda")
        self.transport.connections[0].on_close(True, True, "")
        self.assertEqual(Code.ANSWER_INTERRUPTED, self.listener.error[0])

    def test_idle_connection_is_resumed_at_the_offset(self) -> None:
        """A stream that stalls for ever would block its caller."""
        self._head(0)
        self.transport.connections[0].on_data(b"abc")
        self.clock.advance(IDLE_TIMEOUT_MS)
        self.assertEqual([3], self.transport.offsets)
        self.transport.connections[0].on_data(b"late")
        self._head(1)
        self.transport.connections[1].on_data(b"def")
        self.transport.connections[1].on_close(True, True, "")
        self.assertEqual(b"abcdef", self.listener.data)
        self.assertEqual(200, self.listener.end[0])

    def test_truncated_body_is_not_complete(self) -> None:
        """A reset within the body must not be read as its end."""
        self._head(0)
        self.transport.connections[0].on_data(b"abc")
        self.transport.connections[0].on_close(False, True, "reset")
        self.assertFalse(self.listener.is_finished)
        self.clock.advance(engine_response.RESUME_DELAY_MIN_MS)
        self.assertEqual([3], self.transport.offsets)

    def test_refused_connection_is_no_crash(self) -> None:
        """A request that was not sent must not be blamed for a crash."""
        self.transport.connections[0].on_close(
            False, False, http_client.CONNECTION_REFUSED
        )
        self.assertEqual(Code.BACKEND_DOWN, self.listener.error[0])
        self.assertFalse(self.listener.error[2])

    def test_refused_resume_is_a_crash(self) -> None:
        """An undetected crash would be attributed to no request."""
        self._head(0)
        self.transport.connections[0].on_close(False, True, "reset")
        self.clock.advance(engine_response.RESUME_DELAY_MIN_MS)
        self.transport.connections[1].on_close(
            False, False, http_client.CONNECTION_REFUSED
        )
        self.assertEqual(Code.BACKEND_CRASHED, self.listener.error[0])
        self.assertTrue(self.listener.error[2])

    def test_slow_connect_of_a_resume_is_no_crash(self) -> None:
        """Taking a busy engine for a crashed one would blame its requests."""
        self._head(0)
        self.transport.connections[0].on_data(b"abc")
        self.transport.connections[0].on_close(False, True, "reset")
        self.clock.advance(engine_response.RESUME_DELAY_MIN_MS)
        self.transport.connections[1].on_close(False, False, "timeout")
        self.assertFalse(self.listener.is_finished)
        self.clock.advance(2 * engine_response.RESUME_DELAY_MIN_MS)
        self.assertEqual([3, 3], self.transport.offsets)

    def test_restarted_engine_is_a_crash(self) -> None:
        """A crash must be detected even if the engine restarts at once."""
        self._head(0)
        self.transport.connections[0].on_close(False, True, "reset")
        self.clock.advance(engine_response.RESUME_DELAY_MIN_MS)
        self._head(1, 404, "8")
        self.transport.connections[1].on_close(True, True, "")
        self.assertTrue(self.listener.error[2])

    def _lose_request(self) -> None:
        self.clock.advance(IDLE_TIMEOUT_MS)
        self._head(1, 404)
        self.transport.connections[1].on_close(True, True, "")

    def test_unknown_request_is_cancelled(self) -> None:
        """A request in transit could still run after a retry elsewhere."""
        self._lose_request()
        self.assertFalse(self.listener.is_finished)
        self.transport.deletes[0](False, "7")
        self.assertEqual(Code.CANCELLED_NOT_RUN, self.listener.error[0])

    def test_restart_before_the_cancel_is_a_crash(self) -> None:
        """A restarted engine does not know what ran before its start."""
        self._lose_request()
        self.transport.deletes[0](False, "8")
        self.assertEqual(Code.BACKEND_CRASHED, self.listener.error[0])

    def test_cancel_is_reported_once_confirmed(self) -> None:
        """Memory of a request that still runs must not be reused."""
        self._head(0)
        self.response.cancel()
        self.transport.deletes[0](None, "")
        self.assertFalse(self.listener.is_finished)
        self.clock.advance(engine_response.CANCEL_RETRY_MS)
        self.transport.deletes[1](True, "7")
        self.assertEqual(Code.CANCELLED_AFTER_START, self.listener.error[0])

    def test_deadline_cancels_at_the_engine(self) -> None:
        """A request past its deadline would keep its slot in the batch."""
        self._head(0)
        self.clock.advance(30_000)
        self.transport.deletes[0](True, "7")
        self.assertEqual(Code.DEADLINE_EXCEEDED, self.listener.error[0])

    def test_bytes_without_an_event_end_at_the_deadline(self) -> None:
        """A stream that stalls with a byte now and then would never end."""
        self._head(0, **{"content-type": "text/event-stream"})
        for _ in range(30):
            self.transport.connections[0].on_data(b"x")
            self.clock.advance(1_000)
        self.transport.deletes[0](True, "7")
        self.assertEqual(Code.DEADLINE_EXCEEDED, self.listener.error[0])
