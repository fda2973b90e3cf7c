"""Request demand by model, aggregated over all entries."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from balsamwall.coordination import arrival_rate
from balsamwall.gateway import residency_waits
from balsamwall.gateway import server_choice

if TYPE_CHECKING:
    from balsamwall.coordination import messages_fleet
    from balsamwall.timing import clock as clock_module

PREFILL_TOKENS_PER_S = 1_000 * server_choice.PREFILL_TOKENS_PER_MS
# Entries report several times a second; an older report is stale.
REPORT_MAX_AGE_MS = 1_500
# A request passed to record_wanted counts for this time. By then a report of
# its entry includes it.
WANTED_MAX_AGE_MS = 400


class Demand:
    """Track arrival rates and running, queued and waiting requests.

    A queued request waits for engine capacity, a waiting one for its model or
    adapter to be loaded. Except for queued(), the counts are those of the
    last call of update().
    """

    __slots__ = (
        "_adapters_in_use",
        "_bound_reports",
        "_clock",
        "_loads",
        "_wanted_ms",
        "_open_requests",
        "_pending_tokens",
        "_per_s",
        "_rates",
        "_reports",
        "_running",
        "_term_started_ms",
        "_updated_ms",
        "_last_arrival_ms",
        "_waiting",
        "_waiting_since_ms",
    )

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._reports: dict[str, tuple[int, messages_fleet.DemandReport]] = {}
        self._bound_reports: dict[
            str, tuple[int, messages_fleet.BoundDemand]
        ] = {}
        self._rates: dict[str, arrival_rate.ArrivalRate] = {}
        self._per_s: dict[str, float] = {}
        self._open_requests: dict[str, int] = {}
        self._loads: dict[str, int] = {}
        self._pending_tokens: dict[str, int] = {}
        self._running: dict[tuple[str, str], int] = {}
        self._adapters_in_use: set[tuple[str, str, str]] = set()
        self._waiting: dict[residency_waits.WantedModel, int] = {}
        self._wanted_ms: dict[residency_waits.WantedModel, int] = {}
        self._updated_ms = clock.now_ms()
        self._term_started_ms = self._updated_ms
        self._last_arrival_ms: dict[str, int] = {}
        self._waiting_since_ms: dict[residency_waits.WantedModel, int] = {}

    def restart(self) -> None:
        """Discard reports, rates and wanted models at the start of a term.

        Entries report only to the active coordinator. The times of the last
        arrivals are kept.
        """
        self._reports.clear()
        self._bound_reports.clear()
        self._rates.clear()
        self._per_s.clear()
        self._wanted_ms.clear()
        self._term_started_ms = self._updated_ms = self._clock.now_ms()

    def on_report(self, vm: str, report: messages_fleet.DemandReport) -> None:
        """Record the open requests and the arrivals of an entry."""
        now_ms = self._clock.now_ms()
        self._reports[vm] = (now_ms, report)
        for model, (count, tokens) in report.arrivals.items():
            rate = self._rates.get(model)
            if rate is None:
                rate = self._rates[model] = arrival_rate.ArrivalRate()
            rate.add(count, tokens)
            self._last_arrival_ms[model] = now_ms

    def on_bound_report(
        self, vm: str, report: messages_fleet.BoundDemand
    ) -> None:
        """Record the streams of an entry that wait at a version."""
        self._bound_reports[vm] = (self._clock.now_ms(), report)

    def record_wanted(self, wanted: residency_waits.WantedModel) -> None:
        """Count a waiting request that its entry has not reported yet."""
        self._wanted_ms[wanted] = self._clock.now_ms()

    def remove_entry(self, vm: str) -> None:
        """Discard the report of a disconnected entry."""
        self._reports.pop(vm, None)
        self._bound_reports.pop(vm, None)

    def update(self) -> None:
        """Decay the arrival rates and aggregate the reports."""
        now_ms = self._clock.now_ms()
        elapsed_ms = max(0, now_ms - self._updated_ms)
        self._updated_ms = now_ms
        counted_ms = now_ms - self._term_started_ms
        for model, rate in self._rates.items():
            rate.decay(elapsed_ms)
            self._per_s[model] = rate.per_s(counted_ms)
        self._sum_running()
        self._sum_waiting()
        for model, count in self.queued().items():
            self._open_requests[model] = (
                self._open_requests.get(model, 0) + count
            )
        for wanted, count in self._waiting.items():
            if wanted.software_version:
                continue
            open_count = self._open_requests.get(wanted.model, 0)
            self._open_requests[wanted.model] = open_count + count
        self._waiting_since_ms = {
            wanted: self._waiting_since_ms.get(wanted, now_ms)
            for wanted in self._waiting
        }

    def _sum_running(self) -> None:
        self._open_requests = {}
        self._loads = {}
        self._pending_tokens = {}
        self._running = {}
        self._adapters_in_use = set()
        for report in self._fresh_reports():
            for server_id, model, adapter, count in report.running:
                key = (server_id, model)
                self._open_requests[model] = (
                    self._open_requests.get(model, 0) + count
                )
                self._loads[server_id] = self._loads.get(server_id, 0) + count
                self._running[key] = self._running.get(key, 0) + count
                self._adapters_in_use.add((server_id, model, adapter))
            for server_id, tokens in report.pending_tokens.items():
                pending = self._pending_tokens.get(server_id, 0)
                self._pending_tokens[server_id] = pending + tokens

    def _sum_waiting(self) -> None:
        self._waiting = {}
        for report in self._fresh_reports():
            for service, model, adapter, count in report.waiting:
                wanted = residency_waits.WantedModel(service, model, adapter)
                self._waiting[wanted] = self._waiting.get(wanted, 0) + count
        oldest_ms = self._clock.now_ms() - WANTED_MAX_AGE_MS
        self._wanted_ms = {
            wanted: wanted_ms
            for wanted, wanted_ms in self._wanted_ms.items()
            if wanted_ms >= oldest_ms
        }
        for wanted in self._wanted_ms:
            self._waiting.setdefault(wanted, 1)
        self._add_bound(oldest_ms)

    def _add_bound(self, oldest_ms: int) -> None:
        """Count the streams that wait at a version beside all that wait."""
        for seen_ms, report in self._bound_reports.values():
            if seen_ms < oldest_ms:
                continue
            for service, model, adapter, version, count in report.rows:
                wanted = residency_waits.WantedModel(
                    service, model, adapter, version
                )
                self._waiting[wanted] = self._waiting.get(wanted, 0) + count

    @property
    def has_arrivals(self) -> bool:
        """Return whether any request has arrived during this term."""
        return bool(self._rates)

    def rate(self, model: str) -> float:
        """Return the arrival rate of a model in requests per second."""
        return self._per_s.get(model, 0.0)

    def prefill_utilisation(self, model: str) -> float:
        """Return the number of engines kept busy by prefill of a model."""
        rate = self._rates.get(model)
        if rate is None:
            return 0.0
        return self.rate(model) * rate.mean_tokens / PREFILL_TOKENS_PER_S

    def open_requests(self, model: str) -> int:
        """Return the number of running, queued and waiting requests."""
        return self._open_requests.get(model, 0)

    def top_rates(self, count: int) -> list[tuple[str, float]]:
        """Return the most requested models with their rates per second."""
        return heapq.nlargest(
            count, self._per_s.items(), key=lambda row: row[1]
        )

    def idle_ms(self, model: str) -> int:
        """Return the time in ms since the last reported arrival for a model.

        Without an arrival it is the current time of the clock.
        """
        return self._clock.now_ms() - self._last_arrival_ms.get(model, 0)

    def waited_ms(self, wanted: residency_waits.WantedModel) -> int:
        """Return how long requests have waited, in ms; 0 if none waits."""
        now_ms = self._clock.now_ms()
        return now_ms - self._waiting_since_ms.get(wanted, now_ms)

    def loads(self) -> dict[str, int]:
        """Return the running requests by server, as last updated."""
        return self._loads

    def pending_tokens(self) -> dict[str, int]:
        """Return the prompt tokens without a first token, by server."""
        return self._pending_tokens

    def running(self) -> dict[tuple[str, str], int]:
        """Return the running requests by server and model, as last updated."""
        return self._running

    def adapters_in_use(self) -> set[tuple[str, str, str]]:
        """Return the server, model and adapter of all running requests."""
        return self._adapters_in_use

    def waiting(self) -> dict[residency_waits.WantedModel, int]:
        """Return the number of waiting requests by model and adapter."""
        return self._waiting

    def queued(self) -> dict[str, int]:
        """Return the requests that wait for engine capacity, by model."""
        found: dict[str, int] = {}
        for report in self._fresh_reports():
            for model, count in report.queued.items():
                found[model] = found.get(model, 0) + count
        return found

    def _fresh_reports(self) -> list[messages_fleet.DemandReport]:
        oldest_ms = self._clock.now_ms() - REPORT_MAX_AGE_MS
        return [
            report
            for seen_ms, report in self._reports.values()
            if seen_ms >= oldest_ms
        ]
