"""Outcome of each request and summary of each run."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from bench import workload

if TYPE_CHECKING:
    from balsamwall.dispatch import caller_request
    from balsamwall.timing import virtual_clock

BUCKET_MS = 10_000
# Until then the demand forecast is based on too few requests.
WARM_UP_MS = 60_000


class Outcome:
    """Caller that checks a response against the latency targets."""

    __slots__ = (
        "_clock",
        "_first_ms",
        "_gaps",
        "_last_ms",
        "_origin_ms",
        "_request",
        "attained",
        "reason",
    )

    def __init__(
        self,
        clock: virtual_clock.VirtualClock,
        request: workload.Request,
        origin_ms: int,
    ) -> None:
        self._clock = clock
        self._request = request
        self._origin_ms = origin_ms
        self._first_ms = -1
        self._last_ms = 0
        self._gaps: list[int] = []
        self.attained = False
        self.reason = "open"

    def on_chunk(self, data: bytes) -> None:
        """Record the arrival time of a token."""
        now_ms = self._clock.now_ms() - self._origin_ms
        if self._first_ms < 0:
            self._first_ms = now_ms
        else:
            self._gaps.append(now_ms - self._last_ms)
        self._last_ms = now_ms

    def on_end(self, end: caller_request.AnswerEnd | None = None) -> None:
        """Classify a complete response."""
        request = self._request
        now_ms = self._clock.now_ms() - self._origin_ms
        self.reason = "on time"
        if now_ms > request.deadline_ms:
            self.reason = "late"
        elif request.is_urgent:
            if self._first_ms - request.arrival_ms > workload.FIRST_TOKEN_MS:
                self.reason = "first token late"
            elif self._p95_gap_ms() > workload.TOKEN_GAP_MS:
                self.reason = "slow tokens"
        self.attained = self.reason == "on time"

    def on_failure(self, failure: caller_request.AnswerFailure) -> None:
        """Record the result code of a failed request."""
        self.reason = failure.code.name.lower()

    def fail(self, reason: str) -> None:
        """Record a failure under a policy without result codes."""
        self.reason = reason

    def _p95_gap_ms(self) -> int:
        if not self._gaps:
            return 0
        ranked = sorted(self._gaps)
        return ranked[max(0, -(-len(ranked) * 95 // 100) - 1)]


@dataclasses.dataclass(slots=True)
class RunResult:
    """Figures of one run of a policy."""

    deployment: str
    trace: str
    policy: str
    seed: int
    accelerators: int
    requests: int = 0
    attained: int = 0
    moves: int = 0
    late_moves: int = 0
    attained_by_bucket: list[int] = dataclasses.field(default_factory=list)
    requests_by_bucket: list[int] = dataclasses.field(default_factory=list)
    move_times_ms: list[int] = dataclasses.field(default_factory=list)
    reasons: dict[str, int] = dataclasses.field(default_factory=dict)

    @property
    def share(self) -> float:
        """Return the attained share of the requests."""
        return self.attained / max(1, self.requests)

    def line(self) -> str:
        """Return the output line."""
        per_accelerator = self.attained / self.accelerators
        missed = ",".join(
            f"{reason.replace(' ', '_')}:{count}"
            for reason, count in sorted(self.reasons.items())
            if reason != "on time"
        )
        return (
            f"deployment={self.deployment} trace={self.trace}"
            f" policy={self.policy} seed={self.seed}"
            f" attainment_per_accelerator={per_accelerator:.2f}"
            f" moves={self.moves} share={self.share:.4f}"
            f" requests={self.requests} missed={missed or 'none'}"
        )


def summarise(
    work: workload.Workload,
    policy: str,
    outcomes: list[Outcome],
    move_times_ms: list[int],
) -> RunResult:
    """Count the outcomes and weight loads of a run."""
    result = RunResult(
        work.deployment.name,
        work.trace,
        policy,
        work.seed,
        work.deployment.workers,
    )
    buckets = workload.TRACE_MS // BUCKET_MS
    result.attained_by_bucket = [0] * buckets
    result.requests_by_bucket = [0] * buckets
    for request, outcome in zip(work.requests, outcomes, strict=True):
        bucket = request.arrival_ms // BUCKET_MS
        result.requests += 1
        result.requests_by_bucket[bucket] += 1
        result.attained += outcome.attained
        result.attained_by_bucket[bucket] += outcome.attained
        count = result.reasons.get(outcome.reason, 0)
        result.reasons[outcome.reason] = count + 1
    # Loads before the trace, and those that only serve the backlog after it,
    # are not counted for any policy.
    result.move_times_ms = [
        at_ms for at_ms in move_times_ms if 0 <= at_ms < workload.TRACE_MS
    ]
    result.moves = len(result.move_times_ms)
    result.late_moves = sum(
        1 for at_ms in result.move_times_ms if at_ms >= WARM_UP_MS
    )
    return result
