"""Tests of the virtual clock."""

from __future__ import annotations

import unittest

from balsamwall.timing import virtual_clock


class VirtualClockTest(unittest.TestCase):
    """Deterministic order of calls."""

    def test_equal_times_run_in_call_order(self) -> None:
        """Guards against an order of simultaneous calls that varies."""
        clock = virtual_clock.VirtualClock()
        seen: list[str] = []
        for name in ("a", "b", "c"):
            clock.call_later(5, seen.append, name)
        clock.advance(5)
        self.assertEqual(["a", "b", "c"], seen)

    def test_cancelled_call_does_not_run(self) -> None:
        """Guards against a timer that fires after its cancellation."""
        clock = virtual_clock.VirtualClock()
        seen: list[str] = []
        clock.call_later(5, seen.append, "late").cancel()
        clock.advance(10)
        self.assertEqual([], seen)
