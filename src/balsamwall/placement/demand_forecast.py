"""Request rate and offered load of each model over three time scales."""

from __future__ import annotations

import math

# After a tenfold rise in demand, the burst average reaches 63% of the new rate
# in 10 s. The fast average needs 30 s, which is half of a one-minute burst.
BURST_TIME_CONSTANT_MS = 10_000
FAST_TIME_CONSTANT_MS = 30_000
SLOW_TIME_CONSTANT_MS = 600_000
# A rate counts as a burst when it exceeds the slow rate by this many standard
# deviations of a Poisson count. A lower limit would cause loads on noise.
BURST_DEVIATIONS = 3.0
# Before this age the slow averages do not cover a full window, and loads for
# steady names would follow the noise of the first requests.
FULL_WINDOW_MS = 600_000


class _RateAverage:
    """Exponentially weighted rate per second, corrected for start-up bias."""

    __slots__ = ("_started_ms", "_sum", "_time_constant_ms", "_updated_ms")

    def __init__(self, time_constant_ms: int, now_ms: int) -> None:
        self._time_constant_ms = time_constant_ms
        self._started_ms = now_ms
        self._updated_ms = now_ms
        self._sum = 0.0

    def add(self, amount: float, now_ms: int) -> None:
        """Add an amount that arrived at `now_ms`."""
        self._decay(now_ms)
        self._sum += amount

    def rate(self, now_ms: int) -> float:
        """Return the weighted mean amount per second."""
        self._decay(now_ms)
        age_ms = max(1_000, now_ms - self._started_ms)
        window_s = self._time_constant_ms / 1_000
        return self._sum / (
            window_s * -math.expm1(-age_ms / self._time_constant_ms)
        )

    def age_ms(self, now_ms: int) -> int:
        """Return the time in ms since the average was started."""
        return now_ms - self._started_ms

    def _decay(self, now_ms: int) -> None:
        elapsed_ms = now_ms - self._updated_ms
        if elapsed_ms > 0:
            self._sum *= math.exp(-elapsed_ms / self._time_constant_ms)
            self._updated_ms = now_ms


class _DemandAverages:
    """Request rates and offered loads of one model or adapter."""

    __slots__ = (
        "burst_count",
        "burst_load",
        "fast_count",
        "fast_load",
        "slow_count",
        "slow_urgent",
        "slow_load",
    )

    def __init__(self, now_ms: int) -> None:
        self.burst_count = _RateAverage(BURST_TIME_CONSTANT_MS, now_ms)
        self.burst_load = _RateAverage(BURST_TIME_CONSTANT_MS, now_ms)
        self.fast_count = _RateAverage(FAST_TIME_CONSTANT_MS, now_ms)
        self.slow_count = _RateAverage(SLOW_TIME_CONSTANT_MS, now_ms)
        self.fast_load = _RateAverage(FAST_TIME_CONSTANT_MS, now_ms)
        self.slow_load = _RateAverage(SLOW_TIME_CONSTANT_MS, now_ms)
        self.slow_urgent = _RateAverage(SLOW_TIME_CONSTANT_MS, now_ms)

    def is_burst(self, now_ms: int) -> bool:
        """Return whether a short-term rate exceeds the slow one."""
        return self._exceeds_noise(
            self.burst_count, BURST_TIME_CONSTANT_MS, now_ms
        ) or self._exceeds_noise(
            self.fast_count, FAST_TIME_CONSTANT_MS, now_ms
        )

    def expected_load(self, now_ms: int) -> float:
        """Return the slow load, or the highest load that shows a burst."""
        load = self.slow_load.rate(now_ms)
        if self._exceeds_noise(
            self.burst_count, BURST_TIME_CONSTANT_MS, now_ms
        ):
            load = max(load, self.burst_load.rate(now_ms))
        if self._exceeds_noise(self.fast_count, FAST_TIME_CONSTANT_MS, now_ms):
            load = max(load, self.fast_load.rate(now_ms))
        return load

    def expected_rate(self, now_ms: int) -> float:
        """Return the slow rate, or the highest rate that shows a burst."""
        rate = self.slow_count.rate(now_ms)
        for average, time_constant_ms in (
            (self.burst_count, BURST_TIME_CONSTANT_MS),
            (self.fast_count, FAST_TIME_CONSTANT_MS),
        ):
            if self._exceeds_noise(average, time_constant_ms, now_ms):
                rate = max(rate, average.rate(now_ms))
        return rate

    def _exceeds_noise(
        self, average: _RateAverage, time_constant_ms: int, now_ms: int
    ) -> bool:
        """Return whether a rate is significantly above the slow rate."""
        slow = self.slow_count.rate(now_ms)
        # Variance of the exponential average of a Poisson process, plus that
        # of the slow rate itself.
        variance = max(slow, 1_000 / time_constant_ms) / (
            2 * time_constant_ms / 1_000
        )
        variance += slow * 1_000 / max(1_000, self.slow_count.age_ms(now_ms))
        limit = slow + BURST_DEVIATIONS * math.sqrt(variance)
        return average.rate(now_ms) > limit


class DemandForecast:
    """Forecast of request rate and offered load by model or adapter.

    The offered load is the mean number of engines kept busy.
    """

    __slots__ = ("_averages", "_started_ms")

    def __init__(self) -> None:
        self._averages: dict[str, _DemandAverages] = {}
        self._started_ms: int | None = None

    def observe(
        self,
        name: str,
        is_urgent: bool,
        count: int,
        work_ms: float,
        now_ms: int,
    ) -> None:
        """Count arrived requests and the engine time in ms that they need."""
        if self._started_ms is None:
            self._started_ms = now_ms
        averages = self._averages.get(name)
        if averages is None:
            averages = self._averages[name] = _DemandAverages(now_ms)
        averages.burst_count.add(count, now_ms)
        averages.burst_load.add(work_ms / 1_000, now_ms)
        averages.fast_count.add(count, now_ms)
        averages.slow_count.add(count, now_ms)
        averages.fast_load.add(work_ms / 1_000, now_ms)
        averages.slow_load.add(work_ms / 1_000, now_ms)
        if is_urgent:
            averages.slow_urgent.add(count, now_ms)

    def has_full_window(self, now_ms: int) -> bool:
        """Return whether the slow averages cover a full window."""
        started_ms = self._started_ms
        return started_ms is not None and now_ms - started_ms >= FULL_WINDOW_MS

    def is_burst(self, name: str, now_ms: int) -> bool:
        """Return whether the rate of a name has risen significantly."""
        averages = self._averages.get(name)
        return averages is not None and averages.is_burst(now_ms)

    def offered_load(self, name: str, now_ms: int) -> float:
        """Return the expected load of a name in engines, 0 if not observed."""
        averages = self._averages.get(name)
        if averages is None:
            return 0.0
        return averages.expected_load(now_ms)

    def rate(self, name: str, now_ms: int) -> float:
        """Return the expected requests per second, 0 if not observed."""
        averages = self._averages.get(name)
        if averages is None:
            return 0.0
        return averages.expected_rate(now_ms)

    def urgent_share(self, name: str, now_ms: int) -> float:
        """Return the fraction of requests that are urgent, 0 to 1."""
        averages = self._averages.get(name)
        if averages is None:
            return 0.0
        total = averages.slow_count.rate(now_ms)
        urgent = averages.slow_urgent.rate(now_ms)
        return min(1.0, urgent / total) if total > 0 else 0.0
