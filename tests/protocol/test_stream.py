"""Tests of streams over real sockets."""

from __future__ import annotations

import json
import subprocess
import sys
import unittest


class StreamTest(unittest.TestCase):
    """Guard against faults in the use of real sockets by sessions."""

    def test_exchange_break_and_overflow(self) -> None:
        """Guard against streams that stay closed.

        A connection is aborted, then a write buffer overflows; the peer must
        reconnect after each.
        """
        result = subprocess.run(
            [sys.executable, "-m", "tests.fixtures.stream_pair"],
            stdout=subprocess.PIPE,
            timeout=120,
            check=True,
        )
        outcome = json.loads(result.stdout)
        self.assertEqual(
            ["up agent-1", "down agent-1"] * 2 + ["up agent-1"],
            outcome["entry"],
        )
        entry_counts, agent_counts = outcome["counts"]
        self.assertEqual({"peer_buffer_full": 1}, entry_counts)
        self.assertEqual({"protocol_frame_too_large": 1}, agent_counts)
