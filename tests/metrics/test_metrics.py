"""Tests of metrics."""

from __future__ import annotations

import unittest

from balsamwall.metrics import answer_meter
from balsamwall.metrics import metrics as metrics_module
from balsamwall.results import result_code
from balsamwall.timing import virtual_clock


class MetricsTest(unittest.TestCase):
    """Guard against figures that mislead or fill the memory."""

    def test_times_of_one_answer(self) -> None:
        """Attainment is computed from these series."""
        clock = virtual_clock.VirtualClock()
        metrics = metrics_module.Metrics()
        meter = answer_meter.AnswerMeter(clock, metrics, "tampere", True)
        for wait_ms in (400, 60, 60):
            clock.advance(wait_ms)
            meter.on_output()
        meter.on_finished(result_code.ResultCode.OK)
        text = metrics.render().decode()
        labels = 'request_class="urgent",tenant="tampere"'
        for line in (
            f"balsamwall_first_token_seconds_sum{{{labels}}} 0.4",
            f"balsamwall_between_tokens_seconds_sum{{{labels}}} 0.12",
            f"balsamwall_whole_answer_seconds_sum{{{labels}}} 0.52",
            f'balsamwall_requests_total{{code="ok",{labels}}} 1.0',
        ):
            self.assertIn(line, text)

    def test_event_names_are_bounded(self) -> None:
        """Event names from outside must not grow the registry."""
        metrics = metrics_module.Metrics()
        for index in range(2 * metrics_module.MAX_EVENT_NAMES):
            metrics.count(f"event-{index}")
        lines = metrics.render().decode().splitlines()
        series = [row for row in lines if "events_total{" in row]
        self.assertEqual(metrics_module.MAX_EVENT_NAMES + 1, len(series))
