"""Tests of the metrics of an entry."""

from __future__ import annotations

import unittest

from balsamwall.gateway import gateway_metrics


class GatewayMetricsTest(unittest.TestCase):
    """An alert can see what the log has lost."""

    def test_dropped_lines_are_exported(self):
        """Guards against a log that loses lines unseen."""
        metrics = gateway_metrics.GatewayMetrics()
        metrics.watch_log(lambda: 7)
        self.assertIn(b"balsamwall_log_dropped_lines 7.0", metrics.render())
