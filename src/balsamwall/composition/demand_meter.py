"""Demand per model, reported by agents to entries for placement."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.placement import demand_forecast
from balsamwall.protocol import messages_request
from balsamwall.protocol import messages_state

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from balsamwall.protocol import message
    from balsamwall.protocol import outbox as outbox_module
    from balsamwall.timing import clock as clock_module

DEMAND_INTERVAL_MS = 5_000
# A report holds the names with the most engine time, up to this number.
MAX_REPORT_ROWS = 512
# Requests that a well-utilized engine decodes at a time; one request takes
# this fraction of a decoding step.
NOMINAL_BATCH_SIZE = 16
PREFILL_US_PER_TOKEN = 60
STEP_US_PER_TOKEN = 20_000


def estimate_engine_ms(prompt_tokens: int, output_tokens: int) -> int:
    """Return the estimated engine time of a request in milliseconds."""
    decode_us = output_tokens * STEP_US_PER_TOKEN // NOMINAL_BATCH_SIZE
    return (prompt_tokens * PREFILL_US_PER_TOKEN + decode_us) // 1_000


class DemandMeter:
    """Counts of one agent, sent to the entries every DEMAND_INTERVAL_MS."""

    __slots__ = (
        "_clock",
        "_counts",
        "_forecast",
        "_mean_tokens",
        "_outbox",
        "_receivers",
        "_sequence",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        outbox: outbox_module.Outbox,
        receivers: Callable[[], Iterable[str]],
    ) -> None:
        self._clock = clock
        self._outbox = outbox
        self._receivers = receivers
        self._sequence = 0
        self._counts: dict[str, list[int]] = {}
        self._mean_tokens: dict[str, float] = {}
        self._forecast = demand_forecast.DemandForecast()

    def start(self) -> None:
        """Start the periodic reports, the first one interval from now."""
        self._clock.call_later(DEMAND_INTERVAL_MS, self._send_report)

    def rate(self, name: str) -> float:
        """Return the forecast requests per second for a name at this agent."""
        return self._forecast.rate(name, self._clock.now_ms())

    def on_message(self, peer: str, item: message.Message) -> None:
        """Count the dispatch of a request to a model."""
        if not isinstance(item, messages_request.Dispatch):
            return
        if item.kind != "model":
            return
        mean = self._mean_tokens.get(item.target, item.max_output_tokens / 4)
        tokens = min(item.max_output_tokens, int(mean))
        cost_ms = estimate_engine_ms(item.prompt_tokens, tokens)
        row = self._counts.setdefault(item.target, [0, 0, 0])
        row[0] += 1
        row[1] += item.is_urgent
        row[2] += cost_ms
        self._forecast.observe(
            item.target, item.is_urgent, 1, cost_ms, self._clock.now_ms()
        )

    def on_finished(self, name: str, output_tokens: int) -> None:
        """Update the moving average of the output length of a name."""
        mean = self._mean_tokens.get(name)
        if mean is None:
            self._mean_tokens[name] = float(output_tokens)
        else:
            self._mean_tokens[name] = mean + (output_tokens - mean) / 32

    def _send_report(self) -> None:
        self._clock.call_later(DEMAND_INTERVAL_MS, self._send_report)
        if not self._counts:
            return
        self._sequence += 1
        rows = sorted(
            self._counts.items(), key=lambda pair: (-pair[1][2], pair[0])
        )[:MAX_REPORT_ROWS]
        self._counts = {}
        item = messages_state.DemandReport(
            self._sequence,
            [name for name, _ in rows],
            [row[0] for _, row in rows],
            [row[1] for _, row in rows],
            [row[2] for _, row in rows],
        )
        for peer in self._receivers():
            self._outbox.send(peer, item)


class DemandCollector:
    """Forecast of one entry from the counts of all agents."""

    __slots__ = ("_clock", "forecast")

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self.forecast = demand_forecast.DemandForecast()

    def on_message(self, peer: str, item: message.Message) -> None:
        """Add the counts of one agent to the forecast."""
        if not isinstance(item, messages_state.DemandReport):
            return
        now_ms = self._clock.now_ms()
        rows = zip(
            item.names, item.counts, item.urgent, item.work_ms, strict=False
        )
        for name, count, urgent, cost_ms in rows:
            mean_ms = cost_ms / max(1, count)
            self._observe(name, True, urgent, mean_ms, now_ms)
            self._observe(name, False, count - urgent, mean_ms, now_ms)

    def on_refused(
        self, name: str, is_urgent: bool, cost_ms: int, entries: int
    ) -> None:
        """Count a request refused here before it reached an agent.

        Entries do not exchange refusals. Because the load balancer spreads
        callers evenly, one refusal here counts as one at each entry.
        """
        self._observe(
            name, is_urgent, max(1, entries), cost_ms, self._clock.now_ms()
        )

    def _observe(
        self,
        name: str,
        is_urgent: bool,
        count: int,
        mean_ms: float,
        now_ms: int,
    ) -> None:
        if count > 0:
            self.forecast.observe(
                name, is_urgent, count, mean_ms * count, now_ms
            )
