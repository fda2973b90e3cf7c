"""Experiment: KV memory charged by predicted or by largest length."""

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
    """Request of the experiment."""

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
        """Tell whether the whole answer came in time."""
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
    """Figures of one strategy."""

    strategy: str
    max_output: int
    attained: int = 0
    requests: int = 0
    preemptions: int = 0

    def line(self) -> str:
        """Return the line that is printed."""
        share = self.attained / max(1, self.requests)
        return (
            f"experiment=output-length strategy={self.strategy}"
            f" max_output={self.max_output} pool_tokens={POOL_TOKENS}"
            f" requests={self.requests} share={share:.4f}"
            f" preemptions={self.preemptions}"
        )


class Predictor:
    """Quantile of the last outputs, per model or per model and bucket."""

    __slots__ = ("_by_bucket", "_sorted", "_windows")

    def __init__(self, by_bucket: bool) -> None:
        self._by_bucket = by_bucket
        self._windows: dict[tuple[int, int], collections.deque[int]] = {}
        self._sorted: dict[tuple[int, int], list[int]] = {}

    def _keys(self, item: SimulatedRequest) -> list[tuple[int, int]]:
        """Return the keys of an item, the most specific one first."""
        whole = (item.model, -1)
        if not self._by_bucket:
            return [whole]
        return [(item.model, item.prompt_tokens // BUCKET_TOKENS), whole]

    def record(self, item: SimulatedRequest) -> None:
        """Take a finished answer into the windows."""
        for key in self._keys(item):
            window = self._windows.setdefault(key, collections.deque())
            ranked = self._sorted.setdefault(key, [])
            window.append(item.output_tokens)
            bisect.insort(ranked, item.output_tokens)
            if len(window) > WINDOW_RESPONSES:
                ranked.remove(window.popleft())

    def predict(self, item: SimulatedRequest, max_output: int) -> int:
        """Return the quantile, the largest length before ten answers."""
        for key in self._keys(item):
            ranked = self._sorted.get(key, [])
            if len(ranked) >= MIN_RESPONSES:
                return ranked[int(len(ranked) * QUANTILE)]
        return max_output


class Simulation:
    """One engine whose batch is limited by KV memory."""

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
        """Run until every request has ended."""
        now_ms = 0.0
        position = 0
        items = self._requests
        while position < len(items) or self._queue or self._batch:
            while (
                position < len(items) and items[position].arrival_ms <= now_ms
            ):
                self._queue.append(items[position])
                position += 1
            self._admit(now_ms)
            if not self._batch:
                if position == len(items):
                    break
                now_ms = items[position].arrival_ms
                continue
            now_ms = self._step(now_ms)
        self.result.requests = len(items)
        self.result.attained = sum(item.attained for item in items)
        return self.result

    def _admit(self, now_ms: float) -> None:
        while self._queue and len(self._batch) < fake_engine.MAX_BATCH:
            item = self._queue[0]
            is_new = item.first_token_ms < 0
            if is_new and now_ms - item.arrival_ms > workload.FIRST_TOKEN_MS:
                self._queue.popleft()  # its first token would be late
                continue
            length = self._max_output
            if self._predictor is not None:
                length = self._predictor.predict(item, length)
            charge = item.prompt_tokens + max(
                length, item.generated_tokens + 1
            )
            if charge > self._free_tokens:
                return
            self._queue.popleft()
            item.reserved_tokens = charge
            item.prefill_tokens = item.prompt_tokens + item.generated_tokens
            self._free_tokens -= charge
            self._batch.append(item)

    def _step(self, now_ms: float) -> float:
        budget = fake_engine.PREFILL_TOKENS_PER_STEP
        count = 0
        emitting = []
        for item in self._batch:
            if item.prefill_tokens and not budget:
                continue
            part = min(budget, item.prefill_tokens)
            budget -= part
            item.prefill_tokens -= part
            count += 1
            if not item.prefill_tokens:
                emitting.append(item)
        tokens = fake_engine.PREFILL_TOKENS_PER_STEP - budget
        now_ms += (
            fake_engine.STEP_FIXED_MS
            + fake_engine.STEP_PER_SEQUENCE_MS * count
            + fake_engine.PREFILL_MS_PER_TOKEN * tokens
        )
        for item in emitting:
            if item in self._batch:
                self._emit(item, now_ms)
        return now_ms

    def _emit(self, item: SimulatedRequest, now_ms: float) -> None:
        if (
            item.prompt_tokens + item.generated_tokens + 1
            > item.reserved_tokens
            and not self._extend_reservation(item)
        ):
            return
        if item.first_token_ms < 0:
            item.first_token_ms = now_ms
        else:
            item.token_gaps_ms.append(now_ms - item.last_token_ms)
        item.last_token_ms = now_ms
        item.generated_tokens += 1
        if item.generated_tokens >= item.output_tokens:
            self._release(item)
            if self._predictor is not None:
                self._predictor.record(item)

    def _extend_reservation(self, item: SimulatedRequest) -> bool:
        """Double the charge for the answer, preempting the youngest."""
        extra_tokens = min(
            max(64, item.reserved_tokens - item.prompt_tokens),
            item.prompt_tokens + self._max_output - item.reserved_tokens,
        )
        while extra_tokens > self._free_tokens:
            youngest = self._batch[-1]
            self._release(youngest)
            self._queue.appendleft(youngest)
            self.result.preemptions += 1
            if youngest is item:
                return False
        self._free_tokens -= extra_tokens
        item.reserved_tokens += extra_tokens
        return True

    def _release(self, item: SimulatedRequest) -> None:
        self._batch.remove(item)
        self._free_tokens += item.reserved_tokens


def build_requests(max_output: int, seed: int) -> list[SimulatedRequest]:
    """Return requests whose outputs depend on model and prompt."""
    rng = random.Random(f"length/{max_output}/{seed}")
    items = []
    now_ms = 0.0
    while now_ms < DURATION_MS:
        now_ms += rng.expovariate(REQUESTS_PER_S) * 1_000
        model = rng.randrange(MODELS)
        prompt = rng.randrange(50, 800)
        # Median 30 to 75 by model, 0.75 to 1.25 of it by prompt length.
        median = (30 + 15 * model) * (0.75 + 0.5 * prompt / 800)
        output = int(rng.lognormvariate(math.log(median), 0.6))
        output = min(max_output, max(4, output))
        items.append(SimulatedRequest(now_ms, model, prompt, output))
    return items


def run_all() -> list[LengthResult]:
    """Return the sums over the seeds per strategy and largest output."""
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
