"""Tests of the log writer and of the limited log volume."""

from __future__ import annotations

import os
import unittest

from balsamwall.logs import decision_log
from balsamwall.logs import line_writer
from balsamwall.timing import virtual_clock

LINE = b'{"message_type": "request_over"}\n'


class LineWriterTest(unittest.TestCase):
    """A stalled reader causes counted line loss but blocks nothing."""

    def setUp(self):
        self.reader, self.end = os.pipe()
        os.set_blocking(self.end, False)
        self.writer = line_writer.LineWriter(self.end)
        self.addCleanup(os.close, self.end)

    def fill(self):
        count = 0
        while not self.writer.dropped:
            self.writer.write(LINE)
            count += 1
        return count

    def test_stalled_reader_does_not_block(self):
        """Guards against requests that block on the reader of the log."""
        count = self.fill()
        kept = line_writer.MAX_BUFFERED_BYTES // len(LINE)
        self.assertGreaterEqual(count, kept)
        os.close(self.reader)

    def test_lines_stay_whole_when_the_reader_goes_on(self):
        """Guards against a line that is truncated when the pipe is full."""
        self.fill()
        received = b""
        while True:
            received += os.read(self.reader, 65_536)
            self.writer.flush()
            if received.count(b"\n") * len(LINE) == len(received):
                break
        self.assertEqual(set(received.splitlines(keepends=True)), {LINE})
        os.close(self.reader)

    def test_reader_that_is_gone_does_not_end_the_process(self):
        """Guards against a daemon that stops because its log reader did."""
        os.close(self.reader)
        self.writer.write(LINE)
        self.assertEqual(self.writer.dropped, 1)


class DecisionLogTest(unittest.TestCase):
    """The log volume per event is bounded."""

    def test_lines_beyond_the_rate_are_counted(self):
        """Guards against an overload that fills the disk with logs."""
        clock = virtual_clock.VirtualClock()
        log = decision_log.DecisionLog(clock)
        for _ in range(1_000):
            log.write("request_over", request="q1")
        dropped = log._dropped["request_over"]
        self.assertEqual(dropped, 1_000 - decision_log.BURST_LINES)
