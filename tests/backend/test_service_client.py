"""Tests of the service client against a stand-in service over TCP."""

from __future__ import annotations

import json
import unittest

from balsamwall_standins import service
from twisted.internet import reactor

from balsamwall.backend import backend_server
from balsamwall.backend import service_client
from balsamwall.results import result_code
from tests.fixtures import reactor_thread
from tests.fixtures import recording_listener
from tests.fixtures import standin_process

Code = result_code.ResultCode


class ServiceClientTest(unittest.TestCase):
    """Guards against wrong outcomes of requests that must not repeat."""

    def setUp(self) -> None:
        self.service = standin_process.StandinProcess("service")
        self.addCleanup(self.service.stop)
        self.client = service_client.ServiceClient(
            reactor, reactor_thread.clock, self.service.url
        )

    def _run(self, body=b"{}", timeout_ms=10_000):
        request = backend_server.BackendRequest(
            request_id="s1",
            kind="service",
            target="invoices",
            path="/lookups",
            headers={"X-Custom": "1"},
            body=body,
            is_urgent=True,
            is_streamed=False,
            prompt_tokens=0,
            max_output_tokens=0,
            idempotency_key="k1",
            timeout_ms=timeout_ms,
        )
        return reactor_thread.call(
            lambda done: self.client.start(
                request, recording_listener.RecordingListener(done)
            )
        )

    def test_request_runs_once(self) -> None:
        """A request sent twice by the client would run twice."""
        found = self._run(b'{"meter": 4}')
        expected = service.expected_response("/lookups", b'{"meter": 4}')
        self.assertEqual(expected, json.loads(found.data))
        (execution,) = self.service.executions()
        self.assertEqual(
            ("s1", "k1", 1),
            (
                execution["request_id"],
                execution["idempotency_key"],
                execution["times"],
            ),
        )

    def test_stream_that_stops_inside_an_event_is_not_complete(self) -> None:
        """A crash may end the chunks in the same way as the last event."""
        listener = recording_listener.RecordingListener(lambda found: None)
        response = service_client._ServiceResponse(self.client, "s1", listener)
        response.on_head(200, {"content-type": "text/event-stream"})
        response.on_data(b"data: a\n\nda")
        response.on_close(True, True, "")
        self.assertEqual(Code.ANSWER_INTERRUPTED, listener.error[0])

    def test_lost_response_is_unknown_and_not_retried(self) -> None:
        """Taking a lost response for a failure would run the request twice."""
        self.service.set_faults(lost_answers=1, path="/lookups")
        found = self._run()
        self.assertEqual(Code.OUTCOME_UNKNOWN, found.error[0])
        self.assertFalse(found.error[2])
        self.assertEqual(1, self.service.executions()[0]["times"])

    def test_crash_and_refusal_differ(self) -> None:
        """Only a refused connection proves that the request did not run."""
        self.service.set_faults(
            is_crash_marker_enabled=True, crash_down_ms=60_000
        )
        found = self._run(b'{"crash": true}')
        self.assertEqual(Code.BACKEND_CRASHED, found.error[0])
        self.assertTrue(found.error[2])
        self.assertEqual(Code.BACKEND_DOWN, self._run().error[0])

    def test_silent_connection_ends_at_the_timeout(self) -> None:
        """A silent connection would hold its slot for ever."""
        self.service.set_faults(are_new_connections_silent=True)
        found = self._run(timeout_ms=300)
        self.assertEqual(Code.DEADLINE_EXCEEDED, found.error[0])
