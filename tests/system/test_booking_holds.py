"""Test of booking holds during process and network failures."""

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
class SendAttempt:
    """Attempt to send a hold and its response, if any."""

    key: str
    number: int
    response: running_sample.Response | None
    is_concurrent: bool


class BookingHoldTest(unittest.TestCase):
    """Guard against lost, duplicate and wrongly rejected holds."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.sample = running_sample.shared()

    def test_holds_under_failures(self) -> None:
        """Guard against a second execution of a key and false responses.

        Agents are killed, paused and silenced and the key-value service is
        stopped while holds are booked and partly sent twice.
        """
        self.sent: list[SendAttempt] = []
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
        self._check_responses(times, requests)
        numbers: dict[str, int] = {}
        for _, outcome in found:
            numbers[outcome] = numbers.get(outcome, 0) + 1
        print(f"measured: outcomes of {HOLDS} holds: {numbers}", flush=True)
        self.assertEqual([], self.sample.tracebacks())
        self.sample.wait_until_new_keys_are_accepted()

    def _check_responses(
        self, times: dict[str, int], requests: dict[str, set[str]]
    ) -> None:
        for item in self.sent:
            response = item.response
            if response is None:
                continue
            with self.subTest(item.key):
                if response.status == 200:
                    self.assertEqual(1, times.get(item.key, 0))
                    continue
                error = response.error
                if error["ran"] != "not_run":
                    continue
                request_id = response.headers.get("x-balsamwall-request-id")
                ran = requests.get(item.key, set())
                self.assertNotIn(request_id, ran, error)
                if error["scope"] == "key" and not item.is_concurrent:
                    # Only a later attempt may have run this key.
                    later = {
                        other.response.headers.get("x-balsamwall-request-id")
                        for other in self.sent
                        if other.key == item.key
                        and other.number > item.number
                        and other.response is not None
                    }
                    lost = any(
                        other.key == item.key
                        and other.number > item.number
                        and other.response is None
                        for other in self.sent
                    )
                    self.assertTrue(lost or ran <= later, error)

    def _book(self, index: int) -> tuple[str, str]:
        """Send a hold until its response is final."""
        self._start_one(index)
        key = idempotency_key.new_key()
        body = {"hall": f"hall-{index}", "day": "2026-12-24"}
        data = json.dumps(body).encode()
        expected = service.expected_response("/book", data)
        is_doubled = random.Random(index).random() < RESEND_SHARE
        if is_doubled:
            second = threading.Thread(
                target=self._send, args=(body, key, 0, index + 1, True)
            )
            second.start()
        outcome = ""
        for number in range(1, MAX_SENDS):
            response = self._send(
                body, key, number, index + number, is_doubled
            )
            if response is None:
                time.sleep(0.2)
                continue
            if response.status == 200:
                self.assertEqual(expected, json.loads(response.body))
                outcome = "200"
                break
            outcome = response.error["code"]
            if response.error["repeat"] == "never":
                break
            time.sleep(float(response.headers.get("retry-after", 0.3)))
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
    ) -> running_sample.Response | None:
        response = None
        with contextlib.suppress(OSError):
            response = self.sample.book(body, key, entry % 2, timeout_s=20)
        self.sent.append(SendAttempt(key, number, response, is_concurrent))
        return response

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
        # Each fault overlaps with holds: later holds wait until the fault
        # that started during the previous ones has finished.
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
