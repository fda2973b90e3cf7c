"""Tests of the metrics of a gateway."""

from __future__ import annotations

import unittest

from balsamwall.gateway import gateway_metrics


class GatewayMetricsTest(unittest.TestCase):
    """Dropped log lines are exported as a metric."""

    def test_dropped_lines_are_exported(self):
        """Guards against dropped log lines that no alert can detect."""
        metrics = gateway_metrics.GatewayMetrics()
        metrics.watch_log(lambda: 7)
        self.assertIn(b"balsamwall_log_dropped_lines 7.0", metrics.render())

    def test_server_limit_is_exported_while_it_lasts(self):
        """Guards against a limit that no alert shows, or that stays."""
        metrics = gateway_metrics.GatewayMetrics()
        metrics.set_server_limit("s1", 1.6)
        line = b'balsamwall_gateway_server_limit{server="s1"} 1.6'
        self.assertIn(line, metrics.render())
        metrics.set_server_limit("s1", None)
        self.assertNotIn(line, metrics.render())
