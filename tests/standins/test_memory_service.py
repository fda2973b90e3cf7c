"""Tests of the in-process plain service."""

from __future__ import annotations

import json
import unittest

from balsamwall_standins import memory_service
from balsamwall_standins import service

from balsamwall.backend import backend_server
from balsamwall.results import result_code
from balsamwall.timing import virtual_clock
from tests.fixtures import recording_listener

Code = result_code.ResultCode


class MemoryServiceTest(unittest.TestCase):
    """Guard the execution counts that at-most-once tests rely on."""

    def setUp(self) -> None:
        self.clock = virtual_clock.VirtualClock()
        self.service = memory_service.MemoryService(self.clock)

    def _start(self, request_id):
        listener = recording_listener.RecordingListener()
        request = backend_server.BackendRequest(
            request_id=request_id,
            kind="service",
            target="holds",
            path="/holds",
            headers={},
            body=b"{}",
            is_urgent=True,
            is_streamed=False,
            prompt_tokens=0,
            max_output_tokens=0,
            idempotency_key="k1",
            timeout_ms=1_000,
        )
        self.service.start(request, listener)
        return listener

    def test_second_execution_of_a_key_is_counted(self) -> None:
        """Guard against a second execution of a key that is not counted."""
        first, second = self._start("s1"), self._start("s2")
        self.clock.advance(100)
        self.assertEqual(2, self.service.runs_by_key["k1"])
        expected = service.expected_response("/holds", b"{}")
        self.assertEqual(expected, json.loads(first.data))
        self.assertEqual(expected, json.loads(second.data))

    def test_lost_response_and_crash_leave_the_execution_counted(self) -> None:
        """Guard against executions without a response that are not counted."""
        self.service.responses_to_lose = 1
        lost = self._start("s1")
        self.clock.advance(100)
        self.assertEqual(Code.OUTCOME_UNKNOWN, lost.error[0])
        crashed = self._start("s2")
        self.clock.advance(5)
        self.service.crash()
        self.assertEqual(Code.BACKEND_CRASHED, crashed.error[0])
        refused = self._start("s3")
        self.clock.advance(5)
        self.assertEqual(Code.BACKEND_DOWN, refused.error[0])
        self.assertEqual({"s1": 1, "s2": 1}, self.service.runs_by_request)
