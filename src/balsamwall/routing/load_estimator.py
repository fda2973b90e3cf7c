"""Predict the time to first token at a replica."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.routing import prefix_index

if TYPE_CHECKING:
    from balsamwall.protocol import messages_state
    from balsamwall.routing import replica as replica_module
    from balsamwall.routing import route_query
    from balsamwall.timing import clock as clock_module

# Cached prefixes are evicted within tens of seconds under load, so a digest
# of this age counts half.
CACHE_HALF_LIFE_MS = 10_000
# Factor for the cached tokens if the digest has a gap.
GAP_DISCOUNT = 0.5
# Duration of an engine step if the agent reports none.
DEFAULT_STEP_US = 10_000
PREFILL_TOKENS_PER_STEP = 512
# Weight of the latest measurement in the correction factor.
CORRECTION_SMOOTHING = 0.2
# The queue is predicted from counts, so the correction only covers the error
# of the step time; a wider bound lets one late burst refuse many requests.
MIN_CORRECTION, MAX_CORRECTION = 0.5, 2.0
# Weight of the latest run in the moving average of run times.
MEAN_RUN_SMOOTHING = 0.1


class LoadEstimator:
    """Predict from the last report and the entry's traffic since then."""

    __slots__ = ("_clock",)

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock

    def cached_tokens(
        self, replica: replica_module.Replica, query: route_query.RouteQuery
    ) -> int:
        """Return the expected cached tokens, discounted by age and gaps."""
        if not query.prefix_hashes:
            return 0
        matched = prefix_index.matched_tokens(
            replica.cache_prefixes, query.prefix_hashes
        )
        if not matched:
            return 0
        age_ms = self._clock.now_ms() - replica.cache_received_ms
        age_ms += replica.cache_age_ms
        share = CACHE_HALF_LIFE_MS / (CACHE_HALF_LIFE_MS + max(0, age_ms))
        if replica.cache_has_gap:
            share *= GAP_DISCOUNT
        expected = int(matched * share)
        if expected < prefix_index.PREFIX_BLOCK_TOKENS:
            # A digest this old must not direct all requests to one replica.
            return 0
        return min(expected, query.prompt_tokens)

    def predict_ms(
        self,
        replica: replica_module.Replica,
        query: route_query.RouteQuery,
        cached_tokens: int,
    ) -> float:
        """Return the predicted time to first token in milliseconds.

        It is 0 if the agent has not reported yet.
        """
        report = replica.report
        if report is None:
            return 0.0
        step_ms = (report.step_us or DEFAULT_STEP_US) / 1_000
        ahead_tokens = (
            report.queued_tokens + replica.prompt_tokens_since_report
        )
        prefill = ahead_tokens + query.prompt_tokens - cached_tokens
        predicted = step_ms * (1 + prefill / PREFILL_TOKENS_PER_STEP)
        completions = self._completions_before_start(
            replica, report, query.is_urgent
        )
        predicted += completions * replica.mean_run_ms / max(1, report.running)
        return predicted * replica.correction

    def _completions_before_start(
        self,
        replica: replica_module.Replica,
        report: messages_state.AgentReport,
        is_urgent: bool,
    ) -> int:
        """Return how many running requests must end before a new one starts.

        The batch counts as full when the agent reports its limit, or a
        queue, which means that its memory is used up. Then every request
        that this entry sent since the report waits too, and every one that
        finished since then frees a slot.
        """
        waiting = report.waiting_urgent
        sent = replica.urgent_sent_since_report
        if not is_urgent:
            waiting += report.waiting_deferrable
            sent = replica.sent_since_report
        if not waiting and not report.max_running:
            return 0
        free_slots = replica.finished_since_report
        if not waiting:
            free_slots += report.max_running - report.running
        return max(0, waiting + sent + 1 - free_slots)

    def update_correction(
        self, replica: replica_module.Replica, predicted_ms: float, ms: float
    ) -> None:
        """Update the correction factor from a measured time to first token."""
        if predicted_ms <= 0:
            return
        ratio = replica.correction * ms / predicted_ms
        ratio = min(MAX_CORRECTION, max(MIN_CORRECTION, ratio))
        replica.correction += CORRECTION_SMOOTHING * (
            ratio - replica.correction
        )

    def update_mean_run(
        self, replica: replica_module.Replica, ms: float
    ) -> None:
        """Update the moving average of the run time."""
        replica.mean_run_ms += MEAN_RUN_SMOOTHING * (ms - replica.mean_run_ms)
