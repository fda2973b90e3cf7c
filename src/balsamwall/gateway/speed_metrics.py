"""Export the speeds of servers that report work times."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from prometheus_client import metrics_core

if TYPE_CHECKING:
    from collections.abc import Iterator

    from balsamwall.gateway import server_speed
    from balsamwall.timing import clock as clock_module


class SpeedCollector:
    """Read the speeds when the metrics are read.

    Servers that have left and services without work times have no value.
    """

    def __init__(
        self, clock: clock_module.Clock, speeds: server_speed.SpeedTable
    ) -> None:
        self._clock = clock
        self._speeds = speeds

    def collect(self) -> Iterator[Any]:
        """Yield the metrics with a value for each server."""
        learned = metrics_core.GaugeMetricFamily(
            "balsamwall_gateway_server_slowness",
            "Learned slowdown against the median of the service",
            labels=("server",),
        )
        work = metrics_core.GaugeMetricFamily(
            "balsamwall_gateway_server_work_time",
            "Reported time of work, 1 is usual or not reported recently",
            labels=("server",),
        )
        forecast = metrics_core.GaugeMetricFamily(
            "balsamwall_gateway_server_forecast_ratio",
            "Time to the first event relative to its forecast",
            labels=("server",),
        )
        now_ms = self._clock.now_ms()
        for server_id, speed in self._speeds.reporting_servers():
            learned.add_metric((server_id,), speed.relative(now_ms))
            work.add_metric((server_id,), speed.work_time_factor(now_ms))
            forecast.add_metric((server_id,), speed.forecast_ratio)
        yield learned
        yield work
        yield forecast
