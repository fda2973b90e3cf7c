"""Demand per model at three time scales."""

from __future__ import annotations

import math

# The burst scale follows a tenfold demand to 63% within 10 s, while the fast
# scale needs 30 s, which is half of a burst of a minute.
BURST_MS = 10_000
FAST_MS = 30_000
SLOW_MS = 600_000
# A fast rate is a burst when it exceeds the slow one by this many standard
# deviations of a Poisson count; less would follow noise with loads.
BURST_DEVIATIONS = 3.0
# Before this age the slow rates of steady names do not rest on a full window,
# and a load for them would follow the noise of the first requests.
SETTLED_MS = 600_000


class _Average:
    """Exponentially weighted rate per second, without start-up bias."""

    __slots__ = ("_started_ms", "_sum", "_time_ms", "_updated_ms")

    def __init__(self, time_ms: int, now_ms: int) -> None:
        self._time_ms = time_ms
        self._started_ms = now_ms
        self._updated_ms = now_ms
        self._sum = 0.0

    def add(self, amount: float, now_ms: int) -> None:
        """Add an amount that arrived now."""
        self._decay(now_ms)
        self._sum += amount

    def rate(self, now_ms: int) -> float:
        """Return the amount per second."""
        self._decay(now_ms)
        age_ms = max(1_000, now_ms - self._started_ms)
        window_s = self._time_ms / 1_000
        return self._sum / (window_s * -math.expm1(-age_ms / self._time_ms))

    def age_ms(self, now_ms: int) -> int:
        """Return the time that the average covers."""
        return now_ms - self._started_ms

    def _decay(self, now_ms: int) -> None:
        passed_ms = now_ms - self._updated_ms
        if passed_ms > 0:
            self._sum *= math.exp(-passed_ms / self._time_ms)
            self._updated_ms = now_ms


class _NameDemand:
    """Averages of one model or adapter."""

    __slots__ = (
        "burst_count",
        "burst_work",
        "fast_count",
        "fast_work",
        "slow_count",
        "slow_urgent",
        "slow_work",
    )

    def __init__(self, now_ms: int) -> None:
        self.burst_count = _Average(BURST_MS, now_ms)
        self.burst_work = _Average(BURST_MS, now_ms)
        self.fast_count = _Average(FAST_MS, now_ms)
        self.slow_count = _Average(SLOW_MS, now_ms)
        self.fast_work = _Average(FAST_MS, now_ms)
        self.slow_work = _Average(SLOW_MS, now_ms)
        self.slow_urgent = _Average(SLOW_MS, now_ms)

    def is_burst(self, now_ms: int) -> bool:
        """Tell whether the rate has risen by more than noise."""
        return self._stands_out(
            self.burst_count, BURST_MS, now_ms
        ) or self._stands_out(self.fast_count, FAST_MS, now_ms)

    def expected_work(self, now_ms: int) -> float:
        """Return the highest load of the scales that show a burst."""
        work = self.slow_work.rate(now_ms)
        if self._stands_out(self.burst_count, BURST_MS, now_ms):
            work = max(work, self.burst_work.rate(now_ms))
        if self._stands_out(self.fast_count, FAST_MS, now_ms):
            work = max(work, self.fast_work.rate(now_ms))
        return work

    def expected_rate(self, now_ms: int) -> float:
        """Return the highest rate of the scales that show a burst."""
        rate = self.slow_count.rate(now_ms)
        for average, time_ms in (
            (self.burst_count, BURST_MS),
            (self.fast_count, FAST_MS),
        ):
            if self._stands_out(average, time_ms, now_ms):
                rate = max(rate, average.rate(now_ms))
        return rate

    def _stands_out(
        self, average: _Average, time_ms: int, now_ms: int
    ) -> bool:
        """Tell whether a rate differs from the slow one by more than noise."""
        slow = self.slow_count.rate(now_ms)
        # Variance of an exponential average of a Poisson process.
        variance = max(slow, 1_000 / time_ms) / (2 * time_ms / 1_000)
        variance += slow * 1_000 / max(1_000, self.slow_count.age_ms(now_ms))
        limit = slow + BURST_DEVIATIONS * math.sqrt(variance)
        return average.rate(now_ms) > limit


class DemandForecast:
    """Count of requests and of the engine time that they take."""

    __slots__ = ("_names", "_started_ms")

    def __init__(self) -> None:
        self._names: dict[str, _NameDemand] = {}
        self._started_ms: int | None = None

    def observe(
        self,
        name: str,
        is_urgent: bool,
        count: int,
        work_ms: float,
        now_ms: int,
    ) -> None:
        """Count requests and their share of one engine's time in ms."""
        if self._started_ms is None:
            self._started_ms = now_ms
        demand = self._names.get(name)
        if demand is None:
            demand = self._names[name] = _NameDemand(now_ms)
        demand.burst_count.add(count, now_ms)
        demand.burst_work.add(work_ms / 1_000, now_ms)
        demand.fast_count.add(count, now_ms)
        demand.slow_count.add(count, now_ms)
        demand.fast_work.add(work_ms / 1_000, now_ms)
        demand.slow_work.add(work_ms / 1_000, now_ms)
        if is_urgent:
            demand.slow_urgent.add(count, now_ms)

    def has_full_window(self, now_ms: int) -> bool:
        """Tell whether the rates of steady names can be relied on."""
        started_ms = self._started_ms
        return started_ms is not None and now_ms - started_ms >= SETTLED_MS

    def is_burst(self, name: str, now_ms: int) -> bool:
        """Tell whether the demand for a name has risen by more than noise."""
        demand = self._names.get(name)
        return demand is not None and demand.is_burst(now_ms)

    def offered_load(self, name: str, now_ms: int) -> float:
        """Return the expected load in engines kept busy by a name."""
        demand = self._names.get(name)
        if demand is None:
            return 0.0
        return demand.expected_work(now_ms)

    def rate(self, name: str, now_ms: int) -> float:
        """Return the expected requests per second of a name."""
        demand = self._names.get(name)
        if demand is None:
            return 0.0
        return demand.expected_rate(now_ms)

    def urgent_share(self, name: str, now_ms: int) -> float:
        """Return the part of the requests that are urgent, 0 to 1."""
        demand = self._names.get(name)
        if demand is None:
            return 0.0
        total = demand.slow_count.rate(now_ms)
        urgent = demand.slow_urgent.rate(now_ms)
        return min(1.0, urgent / total) if total > 0 else 0.0
