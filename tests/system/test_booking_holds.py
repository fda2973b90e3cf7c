"""Test of booking holds while processes and connections fail."""

from __future__ import annotations

import concurrent.futures
import contextlib
import dataclasses
import json
import random
import signal
import threading
import time
from typing import TYPE_CHECKING
import unittest

from balsamwall_standins import service

from balsamwall.console import idempotency_key
from tests.system import running_sample

if TYPE_CHECKING:
    from collections.abc import Callable

HOLDS = 1_000
SENDERS = 24
RESEND_SHARE = 0.1
MAX_SENDS = 60
FAULT_LIMIT_S = 60.0


@dataclasses.dataclass(slots=True)
class Sent:
    """One sending of a hold and its answer, if any."""

    key: str
    number: int
    answer: running_sample.Answer | None
    is_concurrent: bool


class BookingHoldTest(unittest.TestCase):
    """Guard against lost, doubled and wrongly refused booking holds."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.sample = running_sample.shared()

    def test_holds_under_failures(self) -> None:
        """Each key must run at most once and each answer must be true."""
        self.sent: list[Sent] = []
        self.steps = [
            (step, vm)
            for step in (
                self._kill_and_restart,
                self._pause,
                self._silence,
                self._stop_key_value,
            )
            for vm in running_sample.HOLD_VMS
        ]
        self.started = 0
        self.steps_done = 0
        self.progress = threading.Condition()
        faults = threading.Thread(target=self._inject_faults)
        faults.start()
        with concurrent.futures.ThreadPoolExecutor(SENDERS) as pool:
            found = list(pool.map(self._book, range(HOLDS)))
        faults.join()
        times: dict[str, int] = {}
        requests: dict[str, set[str]] = {}
        for run in self.sample.hold_runs():
            times[run.key] = times.get(run.key, 0) + run.times
            requests.setdefault(run.key, set()).add(run.request_id)
        keys = {key for key, _ in found}
        doubled = [key for key in keys if times.get(key, 0) > 1]
        self.assertEqual([], doubled)
        self._check_answers(times, requests)
        numbers: dict[str, int] = {}
        for _, outcome in found:
            numbers[outcome] = numbers.get(outcome, 0) + 1
        print(f"measured: outcomes of {HOLDS} holds: {numbers}", flush=True)
        self.assertEqual([], self.sample.tracebacks())
        self.sample.wait_until_holds_are_taken()

    def _check_answers(
        self, times: dict[str, int], requests: dict[str, set[str]]
    ) -> None:
        for item in self.sent:
            answer = item.answer
            if answer is None:
                continue
            with self.subTest(item.key):
                if answer.status == 200:
                    self.assertEqual(1, times.get(item.key, 0))
                    continue
                error = answer.error
                if error["ran"] != "not_run":
                    continue
                request_id = answer.headers.get("x-balsamwall-request-id")
                ran = requests.get(item.key, set())
                self.assertNotIn(request_id, ran, error)
                if error["scope"] == "key" and not item.is_concurrent:
                    # Only a later sending may have run this key.
                    later = {
                        other.answer.headers.get("x-balsamwall-request-id")
                        for other in self.sent
                        if other.key == item.key
                        and other.number > item.number
                        and other.answer is not None
                    }
                    lost = any(
                        other.key == item.key
                        and other.number > item.number
                        and other.answer is None
                        for other in self.sent
                    )
                    self.assertTrue(lost or ran <= later, error)

    def _book(self, index: int) -> tuple[str, str]:
        """Send one hold until it has an answer that is final."""
        self._start_one(index)
        key = idempotency_key.new_key()
        body = {"hall": f"hall-{index}", "day": "2026-12-24"}
        data = json.dumps(body).encode()
        expected = service.expected_answer("/book", data)
        is_doubled = random.Random(index).random() < RESEND_SHARE
        if is_doubled:
            second = threading.Thread(
                target=self._send, args=(body, key, 0, index + 1, True)
            )
            second.start()
        outcome = ""
        for number in range(1, MAX_SENDS):
            answer = self._send(body, key, number, index + number, is_doubled)
            if answer is None:
                time.sleep(0.2)
                continue
            if answer.status == 200:
                self.assertEqual(expected, json.loads(answer.body))
                outcome = "200"
                break
            outcome = answer.error["code"]
            if answer.error["repeat"] == "never":
                break
            time.sleep(float(answer.headers.get("retry-after", 0.3)))
        if is_doubled:
            second.join()
        return key, outcome

    def _send(
        self,
        body: object,
        key: str,
        number: int,
        entry: int,
        is_concurrent: bool,
    ) -> running_sample.Answer | None:
        answer = None
        with contextlib.suppress(OSError):
            answer = self.sample.book(body, key, entry % 2, timeout_s=20)
        self.sent.append(Sent(key, number, answer, is_concurrent))
        return answer

    def _inject_faults(self) -> None:
        for index, (step, vm) in enumerate(self.steps):
            self._wait(lambda: self.started > self._due(index))  # noqa: B023
            step(vm)
            with self.progress:
                self.steps_done += 1
                self.progress.notify_all()

    def _due(self, step: int) -> int:
        return step * HOLDS // len(self.steps)

    def _wait(self, condition: Callable[[], bool]) -> None:
        with self.progress:
            is_true = self.progress.wait_for(condition, FAULT_LIMIT_S)
        self.assertTrue(is_true)

    def _start_one(self, index: int) -> None:
        # Every fault meets holds: the next holds wait for the fault that
        # began with the ones before them.
        self._wait(lambda: index <= self._due(self.steps_done + 1))
        with self.progress:
            self.started += 1
            self.progress.notify_all()

    def _kill_and_restart(self, vm: str) -> None:
        self.sample.kill(vm)
        time.sleep(0.3)
        self.sample.start_agent(self.sample.row(vm))

    def _pause(self, vm: str) -> None:
        process = self.sample.programs[vm].process
        process.send_signal(signal.SIGSTOP)
        time.sleep(3.5)
        process.send_signal(signal.SIGCONT)

    def _silence(self, vm: str) -> None:
        if vm == running_sample.RELAYED_VM:
            self.sample.relay.silence_open()
            time.sleep(4.0)

    def _stop_key_value(self, vm: str) -> None:
        self.sample.standin("key-value", "/standin/faults", {"down_ms": 2_000})
        time.sleep(0.5)
        if vm == running_sample.HOLD_VMS[1]:
            self._kill_and_restart(vm)
