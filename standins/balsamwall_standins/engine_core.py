"""Model engine simulation that does no network I/O."""

from __future__ import annotations

import collections
import dataclasses
import json
from typing import Any
from typing import TYPE_CHECKING

from balsamwall_standins import engine_orders
from balsamwall_standins import memory_account
from balsamwall_standins import prefix_cache
from balsamwall_standins import sequence
from balsamwall_standins import tokens

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.timing import clock as clock_module
    from balsamwall_standins import engine_options

MAX_TOMBSTONES = 10_000


@dataclasses.dataclass(slots=True, frozen=True)
class Refusal:
    """HTTP error response to a request that the engine does not run."""

    http_status: int
    detail: str


class EngineCore:
    """Simulate continuous batching, prefix caching, orders and memory use."""

    __slots__ = (
        "_clock",
        "_is_stepping",
        "_load_history",
        "_on_run",
        "_options",
        "_running",
        "_sequences",
        "_serial",
        "_step_us",
        "_step_remainder_us",
        "_tombstones",
        "_waiting",
        "boot",
        "cache",
        "is_crash_marker_enabled",
        "memory",
        "on_crash",
        "orders",
        "unloads_in_use",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        options: engine_options.EngineOptions,
        loader: engine_orders.WeightLoader | None = None,
        on_run: Callable[[str, str], None] | None = None,
        first_boot: int = 1,
    ) -> None:
        self._clock = clock
        self._options = options
        self._on_run = on_run
        self._sequences: dict[str, sequence.Sequence] = {}
        self._serial = 0
        self._tombstones: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._waiting: list[sequence.Sequence] = []
        self._running: list[sequence.Sequence] = []
        self._is_stepping = False
        self._step_us = options.step_base_us
        self._step_remainder_us = 0
        self._load_history: collections.deque[tuple[int, dict[str, int]]] = (
            collections.deque()
        )
        self.boot = first_boot
        self.memory = memory_account.MemoryAccount(options.capacity_bytes)
        self.cache = prefix_cache.PrefixCache(
            clock,
            options.cache_blocks,
            options.event_lag_ms,
            options.event_gap_rate,
            options.seed,
        )
        self.orders = engine_orders.EngineOrders(
            clock, options, self.memory, loader, self._on_unload
        )
        self.is_crash_marker_enabled = False
        self.on_crash: Callable[[], None] | None = None
        self.unloads_in_use = 0

    def start(
        self, path: str, headers: dict[str, str], data: bytes
    ) -> Refusal | sequence.Sequence:
        """Queue a request, or reject it without running it."""
        try:
            body = json.loads(data)
            target = str(body["model"])
            request_id = headers.get("x-request-id", "")
            model = self.orders.find_ready(target)
            if request_id in self._tombstones:
                return Refusal(
                    409, "the request was cancelled before it arrived"
                )
            if model is None:
                return Refusal(404, f"model {target!r} is not resident")
            self._serial += 1
            found = sequence.Sequence(
                self._serial,
                request_id,
                headers.get("idempotency-key", ""),
                body,
                path.endswith("/chat/completions"),
                headers.get("x-priority", "urgent") != "deferrable",
                model,
                self._options.kv_bytes(model.base or model.name),
            )
            if model.base:
                found.base_model = self.orders.find_ready(model.base)
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            return Refusal(400, f"invalid body: {error!r}")
        self._sequences[request_id] = found
        self._waiting.append(found)
        self._record_load()
        if not self._is_stepping:
            self._schedule_step()
        return found

    def find_sequence(self, request_id: str) -> sequence.Sequence | None:
        """Return a request that is running or whose response is retained."""
        return self._sequences.get(request_id)

    def cancel(self, request_id: str) -> bool:
        """Stop a request, or keep it from running if it arrives later.

        Return whether the request was admitted to the batch.
        """
        found = self._sequences.get(request_id)
        if found is None or not found.has_run:
            self._tombstones[request_id] = None
            while len(self._tombstones) > MAX_TOMBSTONES:
                self._tombstones.popitem(last=False)
        if found is None:
            return False
        if not found.is_done:
            self._remove(found)
            found.buffer.abort()
        return found.has_run

    def cancel_if_orphaned(self, request_id: str) -> None:
        """Stop an unfinished request whose response has no readers."""
        found = self._sequences.get(request_id)
        if found is not None and not found.buffer.has_readers:
            if not found.is_done:
                self.cancel(request_id)

    def listing(self) -> dict[str, object]:
        """Return the JSON document of memory use, residents and orders."""
        is_fence_checked = self._options.is_fence_checked
        return {
            "boot": self.boot,
            "capacity": self.memory.capacity_bytes,
            "used": self.memory.used_bytes,
            "peak": self.memory.peak_bytes,
            "over_capacity": self.memory.over_capacity_count,
            "unloads_in_use": self.unloads_in_use,
            "finished_loads": self.orders.finished_loads,
            "fence": self.orders.fence,
            "is_fence_checked": is_fence_checked,
            "role": self.orders.role,
            "residents": [
                model.describe() for model in self.orders.residents.values()
            ],
            "open_orders": self.orders.open_orders,
        }

    def load(self) -> dict[str, int]:
        """Return the load as it was up to load_lag_ms ago."""
        if not self._load_history:
            self._record_load()
        limit_ms = self._clock.now_ms() - self._options.load_lag_ms
        history = self._load_history
        while len(history) > 1 and history[1][0] <= limit_ms:
            history.popleft()
        age_ms = min(
            self._options.load_lag_ms, self._clock.now_ms() - history[0][0]
        )
        return {**history[0][1], "age_ms": age_ms}

    def export_kv(self, target: str, prefixes: list[int]) -> dict[str, object]:
        """Return the leading blocks that are cached and their total size."""
        present = self.cache.cached_prefix(prefixes)
        return {
            "target": target,
            "prefixes": present,
            "bytes": len(present) * self._block_bytes(target),
        }

    def import_kv(
        self, import_id: str, target: str, prefixes: list[int]
    ) -> Refusal | None:
        """Cache blocks from another engine and charge their memory."""
        if self.orders.find_ready(target) is None:
            return Refusal(404, f"model {target!r} is not resident")
        size_bytes = len(prefixes) * self._block_bytes(target)
        if self._options.is_over_capacity_refused:
            if not self.memory.fits(size_bytes):
                return Refusal(507, "not enough memory")
        self.memory.charge(f"import:{import_id}", size_bytes)
        self.cache.store(prefixes)
        return None

    def release_kv(self, import_id: str) -> None:
        """Release the memory charged for an import."""
        self.memory.release(f"import:{import_id}")

    def crash(self) -> None:
        """Drop all requests, residents and caches, as a restart does."""
        sequences = list(self._sequences.values())
        self._sequences.clear()
        self._tombstones.clear()
        self._waiting.clear()
        self._running.clear()
        self._load_history.clear()
        self.orders.reset()
        self.cache.clear()
        self.memory.clear()
        self.boot += 1
        self._is_stepping = False
        for found in sequences:
            if not found.is_done:
                found.buffer.abort()
        if self.on_crash is not None:
            self.on_crash()

    def _block_bytes(self, target: str) -> int:
        model = self.orders.find_ready(target)
        name = target if model is None else model.base or model.name
        block_tokens = tokens.BLOCK_BYTES // tokens.BYTES_PER_TOKEN
        return block_tokens * self._options.kv_bytes(name)

    def _on_unload(self, model: engine_orders.ResidentModel) -> None:
        """Abort the requests that still use a model being unloaded."""
        for found in [*self._running, *self._waiting]:
            if model in (found.model, found.base_model):
                self.unloads_in_use += 1
                self._remove(found)
                found.buffer.abort()

    def _schedule_step(self) -> None:
        self._is_stepping = True
        self._admit()
        prefill = min(
            self._options.prefill_tokens_per_step,
            sum(found.remaining_prefill_tokens for found in self._running),
        )
        self._step_us = (
            self._options.step_base_us
            + self._options.step_per_sequence_us * len(self._running)
            + self._options.prefill_us_per_token * prefill
        )
        # The clock has a resolution of 1 ms; carrying the remainder over
        # keeps the mean step time exact.
        total_us = self._step_us + self._step_remainder_us
        self._step_remainder_us = total_us % 1_000
        self._clock.call_later(
            max(1, total_us // 1_000), self._step, self.boot
        )

    def _admit(self) -> None:
        if len(self._running) >= self._options.max_running:
            return
        self._waiting.sort(key=lambda found: not found.is_urgent)
        room = self._options.max_running - len(self._running)
        admitted, self._waiting = self._waiting[:room], self._waiting[room:]
        for found in admitted:
            self.memory.charge(found.memory_key, found.kv_bytes)
            found.use_cached_blocks(self.cache.match(found.prefixes))
            found.has_run = True
            if self._on_run is not None:
                self._on_run(found.request_id, found.idempotency_key)
            self._running.append(found)

    def _step(self, boot: int) -> None:
        if boot != self.boot:
            return
        if self.is_crash_marker_enabled:
            if any(found.is_crashing for found in self._running):
                self.crash()
                return
        budget = self._options.prefill_tokens_per_step
        ordered = sorted(self._running, key=lambda found: not found.is_urgent)
        for found in ordered:
            # A reader called earlier in this step may have cancelled it.
            if found.is_done:
                continue
            if found.remaining_prefill_tokens > 0:
                part = min(budget, found.remaining_prefill_tokens)
                budget -= part
                found.remaining_prefill_tokens -= part
                if found.remaining_prefill_tokens > 0:
                    continue
                self.cache.store(found.prefixes)
            found.emit_token()
            if found.is_done:
                self._remove(found)
        self._record_load()
        if boot != self.boot:
            return
        if self._running or self._waiting:
            self._schedule_step()
        else:
            self._is_stepping = False

    def _remove(self, found: sequence.Sequence) -> None:
        if found in self._running:
            self._running.remove(found)
        if found in self._waiting:
            self._waiting.remove(found)
        self.memory.release(found.memory_key)
        self._clock.call_later(
            self._options.stream_retention_ms, self._discard, found
        )

    def _discard(self, found: sequence.Sequence) -> None:
        if self._sequences.get(found.request_id) is found:
            del self._sequences[found.request_id]

    def _record_load(self) -> None:
        now_ms = self._clock.now_ms()
        limit_ms = now_ms - self._options.load_lag_ms
        history = self._load_history
        while len(history) > 1 and history[1][0] <= limit_ms:
            history.popleft()
        history.append((now_ms, self._current_load()))

    def _current_load(self) -> dict[str, int]:
        return {
            "running": len(self._running),
            "waiting": len(self._waiting),
            "queued_tokens": sum(
                found.prompt_tokens for found in self._waiting
            )
            + sum(found.remaining_prefill_tokens for found in self._running),
            "kv_used_bytes": self.memory.used_by("kv"),
            "step_us": self._step_us,
        }


def parse_prefixes(value: Any) -> list[int]:
    """Parse a list of prefix hashes; raise ValueError if it is invalid."""
    if not isinstance(value, list):
        raise ValueError("prefixes must be a list")
    return [int(item) for item in value]
