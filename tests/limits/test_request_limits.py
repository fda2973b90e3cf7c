"""Tests of the request limits of an entry."""

from __future__ import annotations

import types
import unittest

from balsamwall.limits import request_limits
from balsamwall.limits import retry_budget
from balsamwall.results import result_code
from balsamwall.timing import virtual_clock

Code = result_code.ResultCode


class RequestLimitsTest(unittest.TestCase):
    """Isolation of workspaces and request classes under load."""

    def setUp(self):
        self.clock = virtual_clock.VirtualClock()
        self.limits = request_limits.RequestLimits(self.clock)
        spec = types.SimpleNamespace(
            requests_per_second=10.0, burst=5, max_concurrent=2
        )
        self.limits.apply(
            types.SimpleNamespace(tenant="t", workspaces={"w": spec})
        )

    def admit(self, name, is_urgent=True):
        return self.limits.admit("t", "w", name, is_urgent)

    def test_rate(self):
        """Guards against a refusal without a usable retry time."""
        codes = [self.admit(f"r{i}").code for i in range(6)]
        self.assertEqual([Code.OK] * 5 + [Code.RATE_LIMITED], codes)
        wait_ms = self.admit("r7").retry_after_ms
        self.clock.advance(wait_ms)
        self.assertIs(Code.OK, self.admit("r8").code)

    def test_deferrable_load_leaves_urgent_places(self):
        """Guards against deferrable requests that use up urgent slots."""
        for i in range(5):
            self.admit(f"d{i}", False)
        self.assertFalse(self.admit("u").is_queued)

    def test_finish_starts_the_next(self):
        """Guards against a released slot that starts no queued request."""
        waits = [self.admit(f"r{i}").is_queued for i in range(4)]
        self.assertEqual([False, False, True, True], waits)
        self.limits.remove_from_queue("t", "w", "r2")
        self.assertEqual(["r3"], self.limits.release_slot("t", "w", True))

    def test_retry_budget(self):
        """Guards against retries that add to an overload."""
        budget = retry_budget.RetryBudget(self.clock)
        for _ in range(100):
            budget.on_request()
        taken = sum(budget.take() for _ in range(100))
        self.assertLessEqual(taken, 13)
        self.clock.advance(1_000)
        self.assertEqual(3, sum(budget.take() for _ in range(100)))
