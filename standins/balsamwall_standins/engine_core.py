"""Model engine without sockets."""

from __future__ import annotations

import collections
import dataclasses
import json
from typing import Any
from typing import TYPE_CHECKING

from balsamwall_standins import engine_orders
from balsamwall_standins import memory_book
from balsamwall_standins import prefix_cache
from balsamwall_standins import sequence
from balsamwall_standins import tokens

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.timing import clock as clock_module
    from balsamwall_standins import engine_options

CANCELS_KEPT = 10_000


@dataclasses.dataclass(slots=True, frozen=True)
class Refusal:
    """Answer to a request that the engine does not run."""

    http_status: int
    detail: str


class EngineCore:
    """Continuous batching, prefix cache, orders and memory account."""

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
        "_step_rest_us",
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
        self._step_rest_us = 0
        self._load_history: collections.deque[tuple[int, dict[str, int]]] = (
            collections.deque()
        )
        self.boot = first_boot
        self.memory = memory_book.MemoryBook(options.capacity_bytes)
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
        """Queue a request, or refuse it without running it."""
        try:
            body = json.loads(data)
            target = str(body["model"])
            request_id = headers.get("x-request-id", "")
            held = self.orders.find_ready(target)
            if request_id in self._tombstones:
                return Refusal(409, "the request was cancelled before")
            if held is None:
                return Refusal(404, f"model {target!r} is not resident")
            self._serial += 1
            found = sequence.Sequence(
                self._serial,
                request_id,
                headers.get("idempotency-key", ""),
                body,
                path.endswith("/chat/completions"),
                headers.get("x-priority", "urgent") != "deferrable",
                held,
                self._options.kv_bytes(held.base or held.name),
            )
            if held.base:
                found.base_held = self.orders.find_ready(held.base)
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            return Refusal(400, f"invalid body: {error!r}")
        self._sequences[request_id] = found
        self._waiting.append(found)
        self._note_load()
        if not self._is_stepping:
            self._schedule_step()
        return found

    def sequence_of(self, request_id: str) -> sequence.Sequence | None:
        """Return a request that is running or whose answer is kept."""
        return self._sequences.get(request_id)

    def cancel(self, request_id: str) -> bool:
        """Stop a request, or record it as never to be run.

        Return whether it has run at least one step.
        """
        found = self._sequences.get(request_id)
        if found is None or not found.has_run:
            self._tombstones[request_id] = None
            while len(self._tombstones) > CANCELS_KEPT:
                self._tombstones.popitem(last=False)
        if found is None:
            return False
        if not found.is_done:
            self._remove(found)
            found.buffer.break_off()
        return found.has_run

    def cancel_if_orphaned(self, request_id: str) -> None:
        """Stop a request that nobody reads any more."""
        found = self._sequences.get(request_id)
        if found is not None and not found.buffer.has_readers:
            if not found.is_done:
                self.cancel(request_id)

    def listing(self) -> dict[str, object]:
        """Return the account of memory, residents and orders."""
        checked = self._options.is_fence_checked
        return {
            "boot": self.boot,
            "capacity": self.memory.capacity_bytes,
            "used": self.memory.used_bytes,
            "peak": self.memory.peak_bytes,
            "over_capacity": self.memory.over_count,
            "unloads_in_use": self.unloads_in_use,
            "finished_loads": self.orders.finished_loads,
            "fence": self.orders.fence,
            "is_fence_checked": checked,
            "role": self.orders.role,
            "residents": [
                model.describe() for model in self.orders.held.values()
            ],
            "open_orders": self.orders.open_orders,
        }

    def load(self) -> dict[str, int]:
        """Return the load as it was some time ago."""
        if not self._load_history:
            self._note_load()
        limit_ms = self._clock.now_ms() - self._options.load_lag_ms
        history = self._load_history
        while len(history) > 1 and history[1][0] <= limit_ms:
            history.popleft()
        age_ms = min(
            self._options.load_lag_ms, self._clock.now_ms() - history[0][0]
        )
        return {**history[0][1], "age_ms": age_ms}

    def export_kv(self, target: str, prefixes: list[int]) -> dict[str, object]:
        """Return the cached leading blocks of a prompt and their size."""
        present = self.cache.present(prefixes)
        return {
            "target": target,
            "prefixes": present,
            "bytes": len(present) * self._block_bytes(target),
        }

    def import_kv(
        self, import_id: str, target: str, prefixes: list[int]
    ) -> Refusal | None:
        """Charge and cache blocks that another engine exported."""
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
        """Release the memory of an import."""
        self.memory.release(f"import:{import_id}")

    def crash(self) -> None:
        """Lose all requests, residents and caches."""
        sequences = list(self._sequences.values())
        self._sequences.clear()
        self._tombstones.clear()
        self._waiting.clear()
        self._running.clear()
        self._load_history.clear()
        self.orders.forget()
        self.cache.clear()
        self.memory.clear()
        self.boot += 1
        self._is_stepping = False
        for found in sequences:
            if not found.is_done:
                found.buffer.break_off()
        if self.on_crash is not None:
            self.on_crash()

    def _block_bytes(self, target: str) -> int:
        held = self.orders.find_ready(target)
        name = target if held is None else held.base or held.name
        block_tokens = tokens.BLOCK_BYTES // tokens.BYTES_PER_TOKEN
        return block_tokens * self._options.kv_bytes(name)

    def _on_unload(self, model: engine_orders.HeldModel) -> None:
        """Break off the answers that still use a model being unloaded."""
        for found in [*self._running, *self._waiting]:
            if model in (found.held, found.base_held):
                self.unloads_in_use += 1
                self._remove(found)
                found.buffer.break_off()

    def _schedule_step(self) -> None:
        self._is_stepping = True
        self._admit()
        prefill = min(
            self._options.prefill_tokens_per_step,
            sum(found.prefill_left for found in self._running),
        )
        self._step_us = (
            self._options.step_base_us
            + self._options.step_per_sequence_us * len(self._running)
            + self._options.prefill_us_per_token * prefill
        )
        # The clock counts whole milliseconds; the rest is carried over so
        # that the mean step time is exact.
        total_us = self._step_us + self._step_rest_us
        self._step_rest_us = total_us % 1_000
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
            # A reader of an earlier answer may have cancelled this one.
            if found.is_done:
                continue
            if found.prefill_left > 0:
                part = min(budget, found.prefill_left)
                budget -= part
                found.prefill_left -= part
                if found.prefill_left > 0:
                    continue
                self.cache.store(found.prefixes)
            found.emit_token()
            if found.is_done:
                self._remove(found)
        self._note_load()
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
            self._options.stream_retention_ms, self._forget, found
        )

    def _forget(self, found: sequence.Sequence) -> None:
        if self._sequences.get(found.request_id) is found:
            del self._sequences[found.request_id]

    def _note_load(self) -> None:
        now_ms = self._clock.now_ms()
        limit_ms = now_ms - self._options.load_lag_ms
        history = self._load_history
        while len(history) > 1 and history[1][0] <= limit_ms:
            history.popleft()
        history.append((now_ms, self._load_now()))

    def _load_now(self) -> dict[str, int]:
        return {
            "running": len(self._running),
            "waiting": len(self._waiting),
            "queued_tokens": sum(
                found.prompt_tokens for found in self._waiting
            )
            + sum(found.prefill_left for found in self._running),
            "kv_used_bytes": self.memory.used_by("kv"),
            "step_us": self._step_us,
        }


def parse_prefixes(value: Any) -> list[int]:
    """Check a list of prefix hashes; raise ValueError."""
    if not isinstance(value, list):
        raise ValueError("prefixes must be a list")
    return [int(item) for item in value]
