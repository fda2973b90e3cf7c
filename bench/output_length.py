"""Experiment: reserve KV memory by predicted or maximum output length."""

from __future__ import annotations

import bisect
import collections
import dataclasses
import math
import random

from bench import fake_engine
from bench import workload

POOL_TOKENS = 6_000
DURATION_MS = 120_000
REQUESTS_PER_S = 4.0
MODELS = 4
WINDOW_RESPONSES = 200
QUANTILE = 0.9
MIN_RESPONSES = 10
STRATEGIES = ("worst-case", "running-quantile", "prompt-buckets")
MAX_OUTPUT_TOKENS = (256, 1_024)
SEEDS = (1, 2, 3)
BUCKET_TOKENS = 100


@dataclasses.dataclass(slots=True)
class SimulatedRequest:
    """Request of the experiment with its progress; times are in ms."""

    arrival_ms: float
    model: int
    prompt_tokens: int
    output_tokens: int
    reserved_tokens: int = 0
    prefill_tokens: int = 0
    generated_tokens: int = 0
    first_token_ms: float = -1.0
    last_token_ms: float = 0.0
    token_gaps_ms: list[float] = dataclasses.field(default_factory=list)

    @property
    def attained(self) -> bool:
        """Tell whether the whole response met its latency limits."""
        if self.generated_tokens < self.output_tokens:
            return False
        if self.last_token_ms - self.arrival_ms > workload.URGENT_DEADLINE_MS:
            return False
        if self.first_token_ms - self.arrival_ms > workload.FIRST_TOKEN_MS:
            return False
        ranked = sorted(self.token_gaps_ms)
        if not ranked:
            return True
        index = max(0, math.ceil(len(ranked) * 0.95) - 1)
        return ranked[index] <= workload.TOKEN_GAP_MS


@dataclasses.dataclass(slots=True)
class LengthResult:
    """Counts for one strategy and maximum output length."""

    strategy: str
    max_output: int
    attained: int = 0
    requests: int = 0
    preemptions: int = 0

    def line(self) -> str:
        """Return the output line."""
        share = self.attained / max(1, self.requests)
        return (
            f"experiment=output-length strategy={self.strategy}"
            f" max_output={self.max_output} pool_tokens={POOL_TOKENS}"
            f" requests={self.requests} share={share:.4f}"
            f" preemptions={self.preemptions}"
        )


class Predictor:
    """Quantile of recent output lengths per model and prompt length bucket."""

    __slots__ = ("_by_bucket", "_sorted", "_windows")

    def __init__(self, by_bucket: bool) -> None:
        self._by_bucket = by_bucket
        self._windows: dict[tuple[int, int], collections.deque[int]] = {}
        self._sorted: dict[tuple[int, int], list[int]] = {}

    def _keys(self, request: SimulatedRequest) -> list[tuple[int, int]]:
        """Return the window keys, the most specific first."""
        whole = (request.model, -1)
        if not self._by_bucket:
            return [whole]
        return [(request.model, request.prompt_tokens // BUCKET_TOKENS), whole]

    def record(self, request: SimulatedRequest) -> None:
        """Add the output length of a finished request to its windows."""
        for key in self._keys(request):
            window = self._windows.setdefault(key, collections.deque())
            ranked = self._sorted.setdefault(key, [])
            window.append(request.output_tokens)
            bisect.insort(ranked, request.output_tokens)
            if len(window) > WINDOW_RESPONSES:
                ranked.remove(window.popleft())

    def predict(self, request: SimulatedRequest, max_output: int) -> int:
        """Return the quantile, or max_output with too few responses."""
        for key in self._keys(request):
            ranked = self._sorted.get(key, [])
            if len(ranked) >= MIN_RESPONSES:
                return ranked[int(len(ranked) * QUANTILE)]
        return max_output


class Simulation:
    """Single engine whose batch is limited by KV memory."""

    def __init__(self, strategy: str, max_output: int, seed: int) -> None:
        self.result = LengthResult(strategy, max_output)
        self._max_output = max_output
        self._predictor: Predictor | None = None
        if strategy != "worst-case":
            self._predictor = Predictor(strategy == "prompt-buckets")
        self._requests = build_requests(max_output, seed)
        self._queue: collections.deque[SimulatedRequest] = collections.deque()
        self._batch: list[SimulatedRequest] = []
        self._free_tokens = POOL_TOKENS

    def run(self) -> LengthResult:
        """Run until every request is finished or dropped."""
        now_ms = 0.0
        position = 0
        requests = self._requests
        while position < len(requests) or self._queue or self._batch:
            while (
                position < len(requests)
                and requests[position].arrival_ms <= now_ms
            ):
                self._queue.append(requests[position])
                position += 1
            self._admit(now_ms)
            if not self._batch:
                if position == len(requests):
                    break
                now_ms = requests[position].arrival_ms
                continue
            now_ms = self._step(now_ms)
        self.result.requests = len(requests)
        self.result.attained = sum(request.attained for request in requests)
        return self.result

    def _admit(self, now_ms: float) -> None:
        while self._queue and len(self._batch) < fake_engine.MAX_BATCH:
            request = self._queue[0]
            is_new = request.first_token_ms < 0
            if (
                is_new
                and now_ms - request.arrival_ms > workload.FIRST_TOKEN_MS
            ):
                self._queue.popleft()  # the first token would be late
                continue
            length = self._max_output
            if self._predictor is not None:
                length = self._predictor.predict(request, length)
            reservation = request.prompt_tokens + max(
                length, request.generated_tokens + 1
            )
            if reservation > self._free_tokens:
                return
            self._queue.popleft()
            request.reserved_tokens = reservation
            request.prefill_tokens = (
                request.prompt_tokens + request.generated_tokens
            )
            self._free_tokens -= reservation
            self._batch.append(request)

    def _step(self, now_ms: float) -> float:
        budget = fake_engine.PREFILL_TOKENS_PER_STEP
        count = 0
        emitting = []
        for request in self._batch:
            if request.prefill_tokens and not budget:
                continue
            part = min(budget, request.prefill_tokens)
            budget -= part
            request.prefill_tokens -= part
            count += 1
            if not request.prefill_tokens:
                emitting.append(request)
        tokens = fake_engine.PREFILL_TOKENS_PER_STEP - budget
        now_ms += (
            fake_engine.STEP_FIXED_MS
            + fake_engine.STEP_PER_SEQUENCE_MS * count
            + fake_engine.PREFILL_MS_PER_TOKEN * tokens
        )
        for request in emitting:
            if request in self._batch:
                self._emit(request, now_ms)
        return now_ms

    def _emit(self, request: SimulatedRequest, now_ms: float) -> None:
        if (
            request.prompt_tokens + request.generated_tokens + 1
            > request.reserved_tokens
            and not self._extend_reservation(request)
        ):
            return
        if request.first_token_ms < 0:
            request.first_token_ms = now_ms
        else:
            request.token_gaps_ms.append(now_ms - request.last_token_ms)
        request.last_token_ms = now_ms
        request.generated_tokens += 1
        if request.generated_tokens >= request.output_tokens:
            self._release(request)
            if self._predictor is not None:
                self._predictor.record(request)

    def _extend_reservation(self, request: SimulatedRequest) -> bool:
        """Double the output reservation, preempting the newest requests.

        Returns False if the request itself was preempted.
        """
        extra_tokens = min(
            max(64, request.reserved_tokens - request.prompt_tokens),
            request.prompt_tokens + self._max_output - request.reserved_tokens,
        )
        while extra_tokens > self._free_tokens:
            youngest = self._batch[-1]
            self._release(youngest)
            self._queue.appendleft(youngest)
            self.result.preemptions += 1
            if youngest is request:
                return False
        self._free_tokens -= extra_tokens
        request.reserved_tokens += extra_tokens
        return True

    def _release(self, request: SimulatedRequest) -> None:
        self._batch.remove(request)
        self._free_tokens += request.reserved_tokens


def build_requests(max_output: int, seed: int) -> list[SimulatedRequest]:
    """Return requests whose output length depends on model and prompt."""
    rng = random.Random(f"length/{max_output}/{seed}")
    requests = []
    now_ms = 0.0
    while now_ms < DURATION_MS:
        now_ms += rng.expovariate(REQUESTS_PER_S) * 1_000
        model = rng.randrange(MODELS)
        prompt = rng.randrange(50, 800)
        # The median is 30 to 75 tokens by model, scaled by 0.75 to 1.25 with
        # the prompt length.
        median = (30 + 15 * model) * (0.75 + 0.5 * prompt / 800)
        output = int(rng.lognormvariate(math.log(median), 0.6))
        output = min(max_output, max(4, output))
        requests.append(SimulatedRequest(now_ms, model, prompt, output))
    return requests


def run_all() -> list[LengthResult]:
    """Return the totals over all seeds by strategy and maximum output."""
    results = []
    for max_output in MAX_OUTPUT_TOKENS:
        for strategy in STRATEGIES:
            total = LengthResult(strategy, max_output)
            for seed in SEEDS:
                part = Simulation(strategy, max_output, seed).run()
                total.attained += part.attained
                total.requests += part.requests
                total.preemptions += part.preemptions
            results.append(total)
    return results
