"""Prediction of the time to first token at a replica."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.routing import prefix_index

if TYPE_CHECKING:
    from balsamwall.protocol import messages_state
    from balsamwall.routing import replica as replica_module
    from balsamwall.routing import route_query
    from balsamwall.timing import clock as clock_module

# Cached prefixes are evicted within tens of seconds under load, so a digest
# counts half after this age.
CACHE_HALF_LIFE_MS = 10_000
GAP_DISCOUNT = 0.5
DEFAULT_STEP_US = 10_000
PREFILL_TOKENS_PER_STEP = 512
CORRECTION_WEIGHT = 0.2
# The queue is predicted from counts, so the correction only covers the error
# of the step time; a wider bound lets one late burst refuse many requests.
MIN_CORRECTION, MAX_CORRECTION = 0.5, 2.0
RUN_WEIGHT = 0.1


class LoadEstimator:
    """Estimate from the last report and the entry's own traffic."""

    __slots__ = ("_clock",)

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock

    def cached_tokens(
        self, known: replica_module.Replica, query: route_query.RouteQuery
    ) -> int:
        """Return the matched prefix, discounted by age and gaps."""
        if not query.prefix_hashes:
            return 0
        matched = prefix_index.matched_tokens(
            known.cache_prefixes, query.prefix_hashes
        )
        if not matched:
            return 0
        age_ms = self._clock.now_ms() - known.cache_seen_ms
        age_ms += known.cache_age_ms
        share = CACHE_HALF_LIFE_MS / (CACHE_HALF_LIFE_MS + max(0, age_ms))
        if known.cache_has_gap:
            share *= GAP_DISCOUNT
        expected = int(matched * share)
        if expected < prefix_index.PREFIX_BLOCK_TOKENS:
            # A digest this old must not draw all requests to one replica.
            return 0
        return min(expected, query.prompt_tokens)

    def predict_ms(
        self,
        known: replica_module.Replica,
        query: route_query.RouteQuery,
        cached_tokens: int,
    ) -> float:
        """Return the predicted time to first token in milliseconds."""
        report = known.report
        if report is None:
            return 0.0
        step_ms = (report.step_us or DEFAULT_STEP_US) / 1_000
        ahead_tokens = report.queued_tokens + known.own_prompt_tokens
        prefill = ahead_tokens + query.prompt_tokens - cached_tokens
        predicted = step_ms * (1 + prefill / PREFILL_TOKENS_PER_STEP)
        ends = self._ends_before_start(known, report, query.is_urgent)
        predicted += ends * known.mean_run_ms / max(1, report.running)
        return predicted * known.correction

    def _ends_before_start(
        self,
        known: replica_module.Replica,
        report: messages_state.AgentReport,
        is_urgent: bool,
    ) -> int:
        """Return how many running requests must end before a new one starts.

        The batch is full when the agent reports its limit, or a queue, which
        means that memory is in use. From then on each own dispatch since the
        report waits too, and each own end frees a place.
        """
        waiting = report.waiting_urgent
        sent = known.own_sent_urgent
        if not is_urgent:
            waiting += report.waiting_deferrable
            sent = known.own_sent
        if not waiting and not report.max_running:
            return 0
        places = known.own_done
        if not waiting:
            places += report.max_running - report.running
        return max(0, waiting + sent + 1 - places)

    def learn_first_token(
        self, known: replica_module.Replica, predicted_ms: float, ms: float
    ) -> None:
        """Correct later predictions by an observed time to first token."""
        if predicted_ms <= 0:
            return
        ratio = known.correction * ms / predicted_ms
        ratio = min(MAX_CORRECTION, max(MIN_CORRECTION, ratio))
        known.correction += CORRECTION_WEIGHT * (ratio - known.correction)

    def learn_run(self, known: replica_module.Replica, ms: float) -> None:
        """Take the duration of a finished request into the mean."""
        known.mean_run_ms += RUN_WEIGHT * (ms - known.mean_run_ms)
