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
WINDOW = 200
QUANTILE = 0.9
MIN_ANSWERS = 10
STRATEGIES = ("worst-case", "running-quantile", "prompt-buckets")
MAX_OUTPUTS = (256, 1_024)
SEEDS = (1, 2, 3)
BUCKET_TOKENS = 100


@dataclasses.dataclass(slots=True)
class Item:
    """Request of the experiment."""

    at_ms: float
    model: int
    prompt: int
    output: int
    charge: int = 0
    prefill: int = 0
    done: int = 0
    first_ms: float = -1.0
    last_ms: float = 0.0
    gaps: list[float] = dataclasses.field(default_factory=list)

    @property
    def attained(self) -> bool:
        """Tell whether the whole answer came in time."""
        if self.done < self.output:
            return False
        if self.last_ms - self.at_ms > workload.URGENT_DEADLINE_MS:
            return False
        if self.first_ms - self.at_ms > workload.FIRST_TOKEN_MS:
            return False
        ranked = sorted(self.gaps)
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

    def _keys(self, item: Item) -> list[tuple[int, int]]:
        """Return the keys of an item, the most specific one first."""
        whole = (item.model, -1)
        if not self._by_bucket:
            return [whole]
        return [(item.model, item.prompt // BUCKET_TOKENS), whole]

    def learn(self, item: Item) -> None:
        """Take a finished answer into the windows."""
        for key in self._keys(item):
            window = self._windows.setdefault(key, collections.deque())
            ranked = self._sorted.setdefault(key, [])
            window.append(item.output)
            bisect.insort(ranked, item.output)
            if len(window) > WINDOW:
                ranked.remove(window.popleft())

    def predict(self, item: Item, max_output: int) -> int:
        """Return the quantile, the largest length before ten answers."""
        for key in self._keys(item):
            ranked = self._sorted.get(key, [])
            if len(ranked) >= MIN_ANSWERS:
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
        self._items = make_items(max_output, seed)
        self._queue: collections.deque[Item] = collections.deque()
        self._batch: list[Item] = []
        self._free = POOL_TOKENS

    def run(self) -> LengthResult:
        """Run until every request has ended."""
        now_ms = 0.0
        position = 0
        items = self._items
        while position < len(items) or self._queue or self._batch:
            while position < len(items) and items[position].at_ms <= now_ms:
                self._queue.append(items[position])
                position += 1
            self._admit(now_ms)
            if not self._batch:
                if position == len(items):
                    break
                now_ms = items[position].at_ms
                continue
            now_ms = self._step(now_ms)
        self.result.requests = len(items)
        self.result.attained = sum(item.attained for item in items)
        return self.result

    def _admit(self, now_ms: float) -> None:
        while self._queue and len(self._batch) < fake_engine.MAX_BATCH:
            item = self._queue[0]
            is_new = item.first_ms < 0
            if is_new and now_ms - item.at_ms > workload.FIRST_TOKEN_MS:
                self._queue.popleft()  # its first token would be late
                continue
            length = self._max_output
            if self._predictor is not None:
                length = self._predictor.predict(item, length)
            charge = item.prompt + max(length, item.done + 1)
            if charge > self._free:
                return
            self._queue.popleft()
            item.charge = charge
            item.prefill = item.prompt + item.done
            self._free -= charge
            self._batch.append(item)

    def _step(self, now_ms: float) -> float:
        budget = fake_engine.PREFILL_TOKENS_PER_STEP
        count = 0
        emitting = []
        for item in self._batch:
            if item.prefill and not budget:
                continue
            part = min(budget, item.prefill)
            budget -= part
            item.prefill -= part
            count += 1
            if not item.prefill:
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

    def _emit(self, item: Item, now_ms: float) -> None:
        if item.prompt + item.done + 1 > item.charge and not self._grow(item):
            return
        if item.first_ms < 0:
            item.first_ms = now_ms
        else:
            item.gaps.append(now_ms - item.last_ms)
        item.last_ms = now_ms
        item.done += 1
        if item.done >= item.output:
            self._drop(item)
            if self._predictor is not None:
                self._predictor.learn(item)

    def _grow(self, item: Item) -> bool:
        """Double the charge for the answer, preempting the youngest."""
        wanted = min(
            max(64, item.charge - item.prompt),
            item.prompt + self._max_output - item.charge,
        )
        while wanted > self._free:
            youngest = self._batch[-1]
            self._drop(youngest)
            self._queue.appendleft(youngest)
            self.result.preemptions += 1
            if youngest is item:
                return False
        self._free -= wanted
        item.charge += wanted
        return True

    def _drop(self, item: Item) -> None:
        self._batch.remove(item)
        self._free += item.charge


def make_items(max_output: int, seed: int) -> list[Item]:
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
        items.append(Item(now_ms, model, prompt, output))
    return items


def run_all() -> list[LengthResult]:
    """Return the sums over the seeds per strategy and largest output."""
    results = []
    for max_output in MAX_OUTPUTS:
        for strategy in STRATEGIES:
            total = LengthResult(strategy, max_output)
            for seed in SEEDS:
                part = Simulation(strategy, max_output, seed).run()
                total.attained += part.attained
                total.requests += part.requests
                total.preemptions += part.preemptions
            results.append(total)
    return results
