"""Tests of the admission of keys by a key home."""

from __future__ import annotations

import random
import unittest

from balsamwall.idempotency import home_map
from balsamwall.idempotency import key_gate
from balsamwall.idempotency import key_home
from balsamwall.idempotency import record_table
from balsamwall.idempotency import uuid7
from balsamwall.results import result_code
from balsamwall.timing import virtual_clock

_Admission = key_gate.Admission
_ANSWER = key_gate.RecordedAnswer(200, {}, b"held")


class KeyHomeTest(unittest.TestCase):
    """Guard against double runs, mixed-up answers and false refusals."""

    def setUp(self) -> None:
        self._clock = virtual_clock.VirtualClock()
        self._random = random.Random(7)
        self._home = self._open(0, record_table.RecordTable())

    def _open(self, since_ms: int, table) -> key_home.KeyHome:
        home = key_home.KeyHome(self._clock, "vm-1", "holds", table)
        empty = home_map.HomeMap("holds")
        home.open(empty.with_member("vm-1", 1, since_ms))
        return home

    def _admit(self, key: str, body: bytes = b"b") -> key_gate.KeyAdmission:
        return self._home.admit("holds", key, body)

    def test_resend_while_running_attaches(self) -> None:
        """A resend during the run must not execute a second time."""
        self.assertEqual(_Admission.RUN, self._admit("k").admission)
        self.assertEqual(_Admission.ATTACH, self._admit("k").admission)

    def test_resend_after_the_end_gets_the_recorded_answer(self) -> None:
        """A resend after a lost answer must not place a second hold."""
        self._admit("k")
        self._home.complete("holds", "k", _ANSWER)
        self.assertEqual(_ANSWER, self._admit("k").answer)

    def test_other_body_is_a_conflict(self) -> None:
        """A reused key must not return the answer to another request."""
        self._admit("k")
        code = self._admit("k", b"other").code
        self.assertEqual(result_code.ResultCode.KEY_CONFLICT, code)

    def test_unknown_outcome_never_runs_again(self) -> None:
        """After a crash during the run the hold may have been placed."""
        self._admit("k")
        self._home.fail("holds", "k", result_code.ExecutionState.UNKNOWN)
        code = self._admit("k").code
        self.assertEqual(result_code.ResultCode.OUTCOME_UNKNOWN, code)

    def test_dropped_answer_keeps_the_identity(self) -> None:
        """Memory pressure must not turn a resend into a second run."""
        table = record_table.RecordTable(max_answer_bytes=2)
        self._home = self._open(0, table)
        self._admit("k")
        self._home.complete("holds", "k", _ANSWER)
        code = self._admit("k").code
        self.assertEqual(result_code.ResultCode.ANSWER_NOT_KEPT, code)

    def test_full_table_refuses_new_keys(self) -> None:
        """An identity dropped early would allow a second run."""
        self._home = self._open(0, record_table.RecordTable(max_records=1))
        self._admit("k")
        self.assertEqual(
            result_code.ResultCode.QUEUE_FULL, self._admit("l").code
        )

    def test_keys_created_before_a_restart_are_not_run(self) -> None:
        """The earlier incarnation may have run them and lost the records."""
        old_key = uuid7.generate(self._clock.wall_ms(), self._random)
        self._clock.advance(10_000)
        since_ms = self._clock.wall_ms()
        self._home = self._open(since_ms, record_table.RecordTable())
        incomplete = result_code.ResultCode.KEY_RECORD_INCOMPLETE
        self.assertEqual(incomplete, self._admit(old_key).code)
        self.assertEqual(incomplete, self._admit("opaque").code)
        self._clock.advance(3 * key_home.CLOCK_SKEW_MS + 1)
        new_key = uuid7.generate(self._clock.wall_ms(), self._random)
        self.assertEqual(_Admission.RUN, self._admit(new_key).admission)

    def test_expired_and_future_keys_are_refused(self) -> None:
        """A key outside the retention window could run twice."""
        wall_ms = self._clock.wall_ms()
        old_ms = wall_ms - record_table.RECORD_RETENTION_MS - 1
        expired = uuid7.generate(old_ms, self._random)
        future = uuid7.generate(wall_ms + 501, self._random)
        self.assertEqual(
            result_code.ResultCode.KEY_EXPIRED, self._admit(expired).code
        )
        self.assertEqual(
            result_code.ResultCode.INVALID_IDEMPOTENCY_KEY,
            self._admit(future).code,
        )
