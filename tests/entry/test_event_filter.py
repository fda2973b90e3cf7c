"""Tests of the server-sent event filter."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies

from balsamwall.entry import event_filter

STREAM = (
    b'data: {"text": "a data: [DONE] b"}\n\n'
    b": comment\r\n\r\n"
    b'data: {"text": "two"}\n\n'
    b"data: [DONE]\n\n"
)


class EventFilterTest(unittest.TestCase):
    """Guards against a final marker sent before the end is verified."""

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.given(strategies.sets(strategies.integers(1, len(STREAM) - 1)))
    def test_any_split(self, cuts: set[int]) -> None:
        """The marker must be held and no byte lost, however data is split."""
        events = event_filter.EventFilter()
        bounds = [0, *sorted(cuts), len(STREAM)]
        out = b""
        for start, end in zip(bounds, bounds[1:], strict=False):
            out += events.push(STREAM[start:end])
            self.assertNotIn(b"\ndata: [DONE]", out)
            self.assertTrue(not out or out.endswith(b"\n"))
        self.assertEqual(STREAM[: -len(b"data: [DONE]\n\n")], out)
        self.assertEqual(STREAM, out + events.finish())
