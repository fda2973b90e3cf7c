"""Sample configuration and a fake key-value service in virtual time."""

from __future__ import annotations

import dataclasses
import random

from returns.result import Failure
from returns.result import Success

from balsamwall.configuration import configuration_parser
from balsamwall.results import result_code

CODE = result_code.ResultCode
HASH = "a" * 64
BASIC = f"""
[tenant]
name = kovacevic
[fleet]
model_vms = 4
vm_memory = 80 GiB
spare_vms = 1
[model clause-{{1..4}}]
version = 1
weights = 14 GiB
kv_per_token = 128 KiB
context = 8192
[adapter deal-{{1..4}}]
base = clause-*
version = 1
weights = 200 MiB
[service settlement]
[template desk]
models = ${{models:clause-*}}
adapters = deal-*
services = settlement
default_class = urgent
requests_per_second = ${{rate:5}}
api_key_hashes = {HASH}
[workspace zagreb]
template = desk
"""


def parse(text=BASIC):
    return configuration_parser.parse({"operators.ini": text})


@dataclasses.dataclass(slots=True, frozen=True)
class Entry:
    value: bytes
    revision: int


class FakeWatch:
    def __init__(self, service, key, callback):
        self.service, self.key, self.callback = service, key, callback
        service.watches.append(self)

    def cancel(self):
        if self in self.service.watches:
            self.service.watches.remove(self)


class FakeKeyValue:
    """Key-value service with outages, lost responses and delays."""

    def __init__(self, clock, seed=1, delay_ms=5):
        self.clock, self.delay_ms = clock, delay_ms
        self.random = random.Random(seed)
        self.entries, self.watches = {}, []
        self.is_down = False
        self.lost_responses = 0  # number of responses to swaps to drop next
        self.swap_delay_ms = 0  # extra delay of the next swap
        self.revision = 0
        self.calls = 0

    def get(self, key, callback):
        self.calls += 1
        self._later(
            lambda: self._respond_to_get(callback, self.entries.get(key))
        )

    def compare_and_swap(self, key, expected_revision, value, callback):
        self.calls += 1
        extra, self.swap_delay_ms = self.swap_delay_ms, 0

        def run():
            if self.is_down:
                return
            found = self.entries.get(key)
            result = Failure(CODE.COMPARE_FAILED)
            if (found.revision if found else 0) == expected_revision:
                self.revision += 1
                self.entries[key] = Entry(value, self.revision)
                result = Success(self.revision)
                for watch in list(self.watches):
                    if watch.key == key:
                        self._later(self._notify, watch)
            if self.lost_responses:
                self.lost_responses -= 1
                return
            self._later(callback, result)

        self._later(run, extra_ms=extra)

    def watch(self, key, on_change):
        self.calls += 1
        watch = FakeWatch(self, key, on_change)
        if key in self.entries:
            self._later(self._notify, watch)
        return watch

    def end_outage(self):
        self.is_down = False
        for watch in self.watches:
            self._later(self._notify, watch)

    def _notify(self, watch):
        if not self.is_down and watch in self.watches:
            watch.callback(self.entries[watch.key])

    def _respond_to_get(self, callback, value):
        if self.is_down:
            callback(Failure(CODE.PLATFORM_UNAVAILABLE))
        else:
            callback(Success(value))

    def _later(self, function, *args, extra_ms=0):
        delay = self.random.randint(1, self.delay_ms) + extra_ms
        self.clock.call_later(delay, function, *args)
