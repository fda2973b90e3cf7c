"""Learn how fast the processes of backend servers work."""

from __future__ import annotations

import dataclasses
import statistics
from typing import TYPE_CHECKING

from balsamwall.gateway import speed_estimate

if TYPE_CHECKING:
    from collections.abc import Iterator

# Usual prefill rate of an engine. It prefills queued prompts between decode
# steps, so a backlog of prompts delays the first token of a request and the
# events of all other streams.
PREFILL_TOKENS_PER_MS = 35.0
# Usual time between two events of a stream; an event holds the tokens of 8
# decode steps. Each further running request adds time to the longest of 8 gaps
# by its decode steps, and by the prompts that are prefilled in between.
EVENT_INTERVAL_MS = 20.0
DECODE_MS_PER_REQUEST = 1.0
PREFILL_MS_PER_REQUEST = 2.4
# One chunk of about 1,024 tokens is prefilled between two decode steps.
MAX_TOKENS_PER_EVENT = 8 * 1_024
# A first event after fewer tokens shows the network more than the prefill.
MIN_PREFILL_TOKENS = 500
# Lower bound of the sustainable requests, so that the speed of a slow server
# is still observed.
MIN_SUSTAINABLE = 2
# Age at which a reported work time no longer counts. Its weight falls linearly
# until then.
WORK_TIME_MAX_AGE_MS = 1_000
USUAL_WORK_TIME_PERCENT = 100
# Weight of an observation without a recently reported work time. It is low
# because the server may be in a slow period.
UNKNOWN_WORK_TIME_WEIGHT = 0.25
MAX_MODELS = 64  # of one process; the least recently used is dropped
# What the coordinator shares is dropped at this age, so that a process that
# was paused does not use old factors. It shares once a second.
SHARED_MAX_AGE_MS = 5_000
# Factors whose observations have less weight than this are not shared.
MIN_SHARED_WEIGHT = 1.0
MEDIAN_MAX_AGE_MS = 250


def usual_gap_ms(load: float) -> float:
    """Return the longest of 8 gaps of a stream at a server of usual speed."""
    return (
        EVENT_INTERVAL_MS
        + (DECODE_MS_PER_REQUEST + PREFILL_MS_PER_REQUEST) * load
    )


def usual_pause_ms(load: float, tokens: int = 0) -> float:
    """Return the longest pause of streams at a server of usual speed.

    `tokens` are those of prompts that are known to be queued there.
    """
    prompts_ms = min(tokens, MAX_TOKENS_PER_EVENT) / PREFILL_TOKENS_PER_MS
    prompts_ms = max(PREFILL_MS_PER_REQUEST * load, prompts_ms)
    return EVENT_INTERVAL_MS + DECODE_MS_PER_REQUEST * load + prompts_ms


class _ModelSpeed:
    """Estimates for one model at one process."""

    __slots__ = ("pause", "prefill")

    def __init__(self, now_ms: int) -> None:
        self.prefill = speed_estimate.FactorEstimate(now_ms)
        self.pause = speed_estimate.FactorEstimate(now_ms)

    @property
    def updated_ms(self) -> int:
        """Return the time of the last observation."""
        return max(self.prefill.updated_ms, self.pause.updated_ms)


@dataclasses.dataclass(slots=True, frozen=True)
class ReportedWorkTime:
    """Work time as a server has reported it some time ago."""

    percent: int  # 100 is usual
    age_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class LearnedSpeed:
    """Hold the factors for one model at one process."""

    prefill: speed_estimate.WeightedFactor
    pause: speed_estimate.WeightedFactor

    def of(self, *, is_pause: bool) -> speed_estimate.WeightedFactor:
        """Return the factor of pauses or that of prefill."""
        return self.pause if is_pause else self.prefill


class ServerSpeed:
    """Learn the factors of one server process against the usual times.

    Load pattern: the servers of a service differ in speed, and each has slow
    periods. Pauses depend on all requests at a server and are observed at
    each event, prefill is only observed at the begin of a stream, so both
    improve one relative speed that is the prior of each model.
    """

    __slots__ = (
        "_forecast",
        "_models",
        "_relative",
        "_service",
        "_shared",
        "_shared_ms",
        "_shared_relative",
        "_work_time_at_ms",
        "_work_time_percent",
    )

    def __init__(self, service: ServiceSpeeds, now_ms: int) -> None:
        self._service = service
        self._models: dict[str, _ModelSpeed] = {}
        self._relative = speed_estimate.FactorEstimate(now_ms)
        self._forecast = speed_estimate.FactorEstimate(now_ms)
        self._work_time_percent = USUAL_WORK_TIME_PERCENT
        self._work_time_at_ms: int | None = None
        # As learned by all entries.
        self._shared: dict[str, LearnedSpeed] = {}
        self._shared_ms = now_ms
        self._shared_relative = speed_estimate.NOTHING_OBSERVED

    @property
    def reports_work_times(self) -> bool:
        """Return whether the servers of the service report work times."""
        return self._service.reports_work_times

    def on_work_time(self, percent: int, now_ms: int) -> None:
        """Set the work time that the server reported at a time.

        A report that is older than the last one is ignored.
        """
        self._service.reports_work_times = True
        if self._work_time_at_ms is None or now_ms >= self._work_time_at_ms:
            self._work_time_percent = max(1, percent)
            self._work_time_at_ms = now_ms

    def on_first_event(
        self, model: str, tokens: int, load: float, after_ms: int, now_ms: int
    ) -> None:
        """Learn from the time from a send to the first event.

        `tokens` are the uncached prompt tokens, including those that were
        sent before and had no first event.
        """
        if tokens < MIN_PREFILL_TOKENS or not self.reports_work_times:
            return
        usual_ms = tokens / PREFILL_TOKENS_PER_MS
        usual_ms += EVENT_INTERVAL_MS + DECODE_MS_PER_REQUEST * load
        ratio = after_ms / (usual_ms * self.factor(model, now_ms))
        self._forecast.add(ratio, 1.0, 1.0, now_ms)
        prior = self._prior(model, now_ms, is_pause=False)
        speed = self._model(model, now_ms)
        self._learn(speed.prefill, after_ms / usual_ms, prior, now_ms)

    def on_gap(
        self, model: str, longest_ms: int, load: float, now_ms: int
    ) -> None:
        """Learn from the longest of some gaps between events of a stream."""
        if not self.reports_work_times:
            return
        prior = self._prior(model, now_ms, is_pause=True)
        speed = self._model(model, now_ms)
        factor = longest_ms / usual_gap_ms(load)
        self._learn(speed.pause, factor, prior, now_ms)

    def _learn(
        self,
        estimate: speed_estimate.FactorEstimate,
        factor: float,
        prior: float,
        now_ms: int,
    ) -> None:
        freshness = self._freshness(now_ms)
        weight = UNKNOWN_WORK_TIME_WEIGHT
        weight += (1.0 - UNKNOWN_WORK_TIME_WEIGHT) * freshness
        factor /= self.work_time_factor(now_ms)
        relative = self.relative(now_ms)
        estimate.add(factor, prior, weight, now_ms)
        usual = prior / relative
        self._relative.add(factor / usual, 1.0, weight, now_ms)

    def _model(self, model: str, now_ms: int) -> _ModelSpeed:
        speed = self._models.get(model)
        if speed is None:
            if len(self._models) >= MAX_MODELS:
                oldest = min(
                    self._models,
                    key=lambda name: self._models[name].updated_ms,
                )
                del self._models[oldest]
            speed = self._models[model] = _ModelSpeed(now_ms)
        return speed

    def _prior(self, model: str, now_ms: int, *, is_pause: bool) -> float:
        median = self._service.median(model, now_ms, is_pause=is_pause)
        return median * self.relative(now_ms)

    def _freshness(self, now_ms: int) -> float:
        if self._work_time_at_ms is None:
            return 0.0
        age_ms = max(0, now_ms - self._work_time_at_ms)
        return max(0.0, 1.0 - age_ms / WORK_TIME_MAX_AGE_MS)

    @property
    def forecast_ratio(self) -> float:
        """Return the times to first events relative to their forecasts."""
        return self._forecast.current(self._forecast.updated_ms).factor

    def work_time_factor(self, now_ms: int) -> float:
        """Return the reported work time as a factor, weighted by age."""
        excess = self._work_time_percent / USUAL_WORK_TIME_PERCENT - 1.0
        return 1.0 + excess * self._freshness(now_ms)

    def relative(self, now_ms: int) -> float:
        """Return the factor against the median of the service."""
        found = [
            speed_estimate.WeightedFactor(1.0, speed_estimate.PRIOR_WEIGHT)
        ]
        found.append(self._relative.current(now_ms))
        if self._is_shared_fresh(now_ms):
            found.append(self._shared_relative)
        return speed_estimate.combine(found).factor

    def learned(self, model: str, now_ms: int, *, is_pause: bool) -> float:
        """Return the learned factor, without the current work time."""
        prior = self._prior(model, now_ms, is_pause=is_pause)
        found = self._observations(model, now_ms, is_pause=is_pause)
        found.append(
            speed_estimate.WeightedFactor(prior, speed_estimate.PRIOR_WEIGHT)
        )
        return speed_estimate.combine(found).factor

    def _observations(
        self, model: str, now_ms: int, *, is_pause: bool
    ) -> list[speed_estimate.WeightedFactor]:
        """Return what this entry and what all entries have learned."""
        found = []
        speed = self._models.get(model)
        if speed is not None:
            estimate = speed.pause if is_pause else speed.prefill
            found.append(estimate.current(now_ms))
        shared = self._shared.get(model)
        if shared is not None and self._is_shared_fresh(now_ms):
            found.append(shared.of(is_pause=is_pause))
        return found

    def _is_shared_fresh(self, now_ms: int) -> bool:
        return now_ms - self._shared_ms <= SHARED_MAX_AGE_MS

    def set_shared(self, speeds: dict[str, LearnedSpeed], now_ms: int) -> None:
        """Set the factors by model that all entries have learned."""
        self._shared = speeds
        self._shared_ms = now_ms
        relative = []
        for model, speed in speeds.items():
            for is_pause in (False, True):
                weighted = speed.of(is_pause=is_pause)
                median = self._service.median(model, now_ms, is_pause=is_pause)
                relative.append(
                    speed_estimate.WeightedFactor(
                        weighted.factor / median, weighted.weight
                    )
                )
        self._shared_relative = speed_estimate.combine(relative)

    def to_share(self, now_ms: int) -> dict[str, LearnedSpeed]:
        """Return what this entry alone has learned, by model."""
        found = {}
        for model, speed in self._models.items():
            learned = LearnedSpeed(
                speed.prefill.current(now_ms), speed.pause.current(now_ms)
            )
            weight = learned.prefill.weight + learned.pause.weight
            if weight >= MIN_SHARED_WEIGHT:
                found[model] = learned
        return found

    def reported_work_time(self, now_ms: int) -> ReportedWorkTime | None:
        """Return the last reported work time, if it is recent."""
        if self._work_time_at_ms is None or not self._freshness(now_ms):
            return None
        return ReportedWorkTime(
            self._work_time_percent, max(0, now_ms - self._work_time_at_ms)
        )

    def observed(
        self, model: str, now_ms: int, *, is_pause: bool
    ) -> float | None:
        """Return the factor from observations alone, None with too few."""
        weighted = speed_estimate.combine(
            self._observations(model, now_ms, is_pause=is_pause)
        )
        return (
            weighted.factor
            if weighted.weight >= speed_estimate.PRIOR_WEIGHT
            else None
        )

    def factor(self, model: str, now_ms: int) -> float:
        """Return the factor of prefill times, 1.0 is usual."""
        if not self.reports_work_times:
            return 1.0
        return self.learned(
            model, now_ms, is_pause=False
        ) * self.work_time_factor(now_ms)

    def pause_ms(
        self, model: str, load: float, tokens: int, now_ms: int
    ) -> float:
        """Return the expected longest pause of streams at a load."""
        factor = self.learned(
            model, now_ms, is_pause=True
        ) * self.work_time_factor(now_ms)
        return factor * usual_pause_ms(load, tokens)

    def sustainable_requests(
        self,
        model: str,
        slots: int,
        gap_target_ms: int,
        now_ms: int,
        is_lasting: bool = False,
    ) -> int:
        """Return how many requests keep pauses within a target.

        Without a target or reported work times, it is the number of slots. If
        `is_lasting` is set, the current work time is left out.
        """
        if not self.reports_work_times or not gap_target_ms:
            return slots
        factor = self.learned(model, now_ms, is_pause=True)
        if not is_lasting:
            factor *= self.work_time_factor(now_ms)
        count = gap_target_ms / factor - usual_pause_ms(0)
        count /= DECODE_MS_PER_REQUEST + PREFILL_MS_PER_REQUEST
        return min(slots, max(MIN_SUSTAINABLE, int(count)))


class ServiceSpeeds:
    """Hold the speeds of the server processes of one service."""

    __slots__ = ("_medians", "reports_work_times", "servers")

    def __init__(self) -> None:
        # Whether a server has reported a work time.
        self.reports_work_times = False
        self.servers: dict[str, ServerSpeed] = {}
        self._medians: dict[tuple[str, bool], tuple[int, float]] = {}

    def median(self, model: str, now_ms: int, *, is_pause: bool) -> float:
        """Return the median of the learned factors, 1.0 without any."""
        known = self._medians.get((model, is_pause))
        if known is not None and 0 <= now_ms - known[0] < MEDIAN_MAX_AGE_MS:
            return known[1]
        factors = [
            factor
            for speed in self.servers.values()
            if (factor := speed.observed(model, now_ms, is_pause=is_pause))
            is not None
        ]
        median = statistics.median(factors) if factors else 1.0
        if len(self._medians) >= 2 * MAX_MODELS:
            self._medians.clear()
        self._medians[model, is_pause] = now_ms, median
        return median


class SpeedTable:
    """Keep the speeds of the known server processes, by service."""

    __slots__ = ("_services",)

    def __init__(self) -> None:
        self._services: dict[str, ServiceSpeeds] = {}

    def add(self, service: str, server_id: str, now_ms: int) -> ServerSpeed:
        """Return the speed of a new process, at the median of its service."""
        speeds = self._services.setdefault(service, ServiceSpeeds())
        speed = speeds.servers[server_id] = ServerSpeed(speeds, now_ms)
        return speed

    def remove(self, service: str, server_id: str) -> None:
        """Forget the process of a server that has left."""
        speeds = self._services.get(service)
        if speeds is not None:
            speeds.servers.pop(server_id, None)

    def reporting_servers(self) -> Iterator[tuple[str, ServerSpeed]]:
        """Yield the servers whose service reports work times."""
        for speeds in self._services.values():
            if speeds.reports_work_times:
                yield from speeds.servers.items()

    def get(self, server_id: str) -> ServerSpeed | None:
        """Return the speed of a server, None unless its service reports."""
        for speeds in self._services.values():
            if speeds.reports_work_times and server_id in speeds.servers:
                return speeds.servers[server_id]
        return None
