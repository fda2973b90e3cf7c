"""Lease store with outages and lost answers."""

from __future__ import annotations

import itertools

from returns.result import Failure
from returns.result import Success

from balsamwall.results import result_code

CODE = result_code.ResultCode


class FakeLeaseStore:
    """Keys under leases; a write may succeed although its answer is lost."""

    def __init__(self, clock, rng, fault_rate=0.0):
        self.clock = clock
        self.rng = rng
        self.fault_rate = fault_rate
        self.is_up = True
        self.ids = itertools.count(1)
        self.leases = {}
        self.keys = {}

    def _answer(self, callback, act):
        if not self.is_up:
            result = Failure(CODE.PLATFORM_UNAVAILABLE)
        else:
            result = act()
            if self.rng.random() < self.fault_rate:
                result = Failure(CODE.PLATFORM_OUTCOME_UNKNOWN)
        self.clock.call_later(self.rng.randint(1, 9), callback, result)

    def _alive(self, lease_id):
        end = self.leases.get(lease_id)
        return end is not None and end[1] > self.clock.now_ms()

    def lease(self, ttl_ms, callback):
        def act():
            lease_id = next(self.ids)
            self.leases[lease_id] = (ttl_ms, self.clock.now_ms() + ttl_ms)
            return Success(lease_id)

        self._answer(callback, act)

    def keep_alive(self, lease_id, callback):
        def act():
            if not self._alive(lease_id):
                return Failure(CODE.COMPARE_FAILED)
            ttl_ms = self.leases[lease_id][0]
            self.leases[lease_id] = (ttl_ms, self.clock.now_ms() + ttl_ms)
            return Success(ttl_ms)

        self._answer(callback, act)

    def revoke(self, lease_id, callback):
        def act():
            self.leases.pop(lease_id, None)
            return Success(0)

        self._answer(callback, act)

    def compare_and_swap(self, key, expected, value, callback, lease_id=0):
        def act():
            held = self.keys.get(key)
            if held is not None and self._alive(held[1]):
                return Failure(CODE.COMPARE_FAILED)
            if not self._alive(lease_id):
                return Failure(CODE.COMPARE_FAILED)
            self.keys[key] = (value, lease_id)
            return Success(1)

        self._answer(callback, act)
