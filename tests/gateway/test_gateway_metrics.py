"""Tests of the metrics of a gateway."""

from __future__ import annotations

import unittest

from balsamwall.gateway import gateway_metrics
from balsamwall.gateway import server_speed
from balsamwall.gateway import speed_metrics
from balsamwall.timing import virtual_clock


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

    def test_speeds_are_exported_where_work_times_are_reported(self):
        """Guards against an avoided server whose reason no metric shows."""
        clock = virtual_clock.VirtualClock(start_ms=1_000)
        metrics = gateway_metrics.GatewayMetrics()
        table = server_speed.SpeedTable()
        metrics.watch_speeds(speed_metrics.SpeedCollector(clock, table))
        table.add("app", "s1", 1_000).on_work_time(250, 1_000)
        table.add("other", "s2", 1_000)
        text = metrics.render()
        for name, value in (
            (b"slowness", b"1.0"),
            (b"work_time", b"2.5"),
            (b"forecast_ratio", b"1.0"),
        ):
            line = b'balsamwall_gateway_server_%s{server="s1"} %s'
            self.assertIn(line % (name, value), text)
        self.assertNotIn(b"s2", text)
        table.remove("app", "s1")
        self.assertNotIn(b's1"', metrics.render())
