"""Resident models of an engine and the orders that change them."""

from __future__ import annotations

import collections
import dataclasses
from typing import Any
from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.timing import clock as clock_module
    from balsamwall_standins import engine_options
    from balsamwall_standins import memory_account

MAX_RECORDED_ORDERS = 1_000


class WeightLoader(Protocol):
    """Source of model weights."""

    def read(
        self,
        name: str,
        version: str,
        size_bytes: int,
        callback: Callable[[bool], None],
    ) -> None:
        """Read weights; the callback gets whether the read was complete."""


@dataclasses.dataclass(slots=True)
class ResidentModel:
    """Model or adapter that occupies memory, in any state."""

    name: str
    kind: str
    version: str
    base: str
    size_bytes: int
    state: str
    ready_sequence: int = 0

    @property
    def memory_key(self) -> str:
        """Return the key under which the weights are charged."""
        return f"weights:{self.name}:{self.version}"

    def describe(self) -> dict[str, object]:
        """Return the JSON object of the engine listing."""
        return {
            "name": self.name,
            "kind": self.kind,
            "version": self.version,
            "base": self.base,
            "bytes": self.size_bytes,
            "state": self.state,
        }


class EngineOrders:
    """Run asynchronous loads and unloads; reject stale fencing tokens."""

    __slots__ = (
        "_generation",
        "_clock",
        "_loader",
        "_memory",
        "_on_unload",
        "_options",
        "_orders",
        "_ready_sequence",
        "fence",
        "finished_loads",
        "residents",
        "role",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        options: engine_options.EngineOptions,
        memory: memory_account.MemoryAccount,
        loader: WeightLoader | None,
        on_unload: Callable[[ResidentModel], None],
    ) -> None:
        self._clock = clock
        self._options = options
        self._memory = memory
        self._loader = loader
        self._on_unload = on_unload
        self._generation = 0
        self._ready_sequence = 0
        self._orders: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )
        self.residents: dict[tuple[str, str], ResidentModel] = {}
        self.fence = 0
        self.finished_loads = 0
        self.role = "serving"

    @property
    def open_orders(self) -> list[str]:
        """Return the identifiers of accepted, unfinished orders."""
        return [
            order_id
            for order_id, state in self._orders.items()
            if state == "accepted"
        ]

    def order_state(self, order_id: str) -> str:
        """Return "accepted", "finished", "failed" or "unknown"."""
        return self._orders.get(order_id, "unknown")

    def find_ready(self, name: str) -> ResidentModel | None:
        """Return the version that became ready last.

        An adapter also needs its base model to be ready.
        """
        ready = [
            model
            for model in self.residents.values()
            if model.name == name and model.state == "ready"
        ]
        if not ready:
            return None
        newest = max(ready, key=lambda model: model.ready_sequence)
        if newest.kind == "adapter" and self.find_ready(newest.base) is None:
            return None
        return newest

    def add_resident(
        self, name: str, kind: str, version: str, base: str, size_bytes: int
    ) -> None:
        """Add a ready model without an order."""
        model = ResidentModel(name, kind, version, base, size_bytes, "loading")
        self._memory.charge(model.memory_key, size_bytes)
        self.residents[(name, version)] = model
        self._make_ready(model)

    def receive(self, order: dict[str, Any]) -> tuple[int, dict[str, object]]:
        """Validate and start an order; return the HTTP status and body.

        Raise KeyError, TypeError or ValueError for an invalid order.
        """
        order_id = str(order["id"])
        known = self._orders.get(order_id)
        if known is not None:
            return 202, {"id": order_id, "state": known}
        fence = int(order["fence"])
        if self._options.is_fence_checked:
            if fence < self.fence:
                body = {"error": "stale fence", "fence": self.fence}
                return 409, dict(body)
            self.fence = fence
        refusal = self._start(order_id, order)
        if refusal is not None:
            return refusal
        while len(self._orders) > MAX_RECORDED_ORDERS:
            self._orders.popitem(last=False)
        return 202, {"id": order_id, "state": self._orders[order_id]}

    def reset(self) -> None:
        """Drop residents and orders, as a crash does."""
        self._generation += 1
        self.residents.clear()
        self._orders.clear()

    def _start(
        self, order_id: str, order: dict[str, Any]
    ) -> tuple[int, dict[str, object]] | None:
        action = order["action"]
        if action == "load":
            return self._start_load(order_id, order)
        if action == "unload":
            self._start_unload(order_id, order)
        elif action == "role":
            self.role = str(order["name"])
            self._orders[order_id] = "finished"
        elif action == "fence":
            self._orders[order_id] = "finished"
        else:
            return 400, {"error": f"unknown action {action!r}"}
        return None

    def _start_load(
        self, order_id: str, order: dict[str, Any]
    ) -> tuple[int, dict[str, object]] | None:
        name, version = str(order["name"]), str(order["version"])
        size_bytes, base = int(order["bytes"]), str(order.get("base", ""))
        if (name, version) in self.residents:
            state = self.residents[(name, version)].state
            if state == "unloading":
                return 409, {"error": "the model is being unloaded"}
            self._orders[order_id] = "finished"
            return None
        if order["kind"] == "adapter" and self.find_ready(base) is None:
            return 409, {"error": f"base model {base!r} is not ready"}
        if self._options.is_over_capacity_refused:
            if not self._memory.fits(size_bytes):
                return 507, {"error": "not enough memory"}
        model = ResidentModel(
            name, str(order["kind"]), version, base, size_bytes, "loading"
        )
        self.residents[(name, version)] = model
        self._memory.charge(model.memory_key, size_bytes)
        self._orders[order_id] = "accepted"
        generation = self._generation

        def on_weights(is_complete: bool) -> None:
            if generation != self._generation:
                return
            if is_complete:
                self._clock.call_later(
                    self._options.load_ms,
                    self._end_load,
                    generation,
                    order_id,
                    model,
                )
            else:
                self._remove(model)
                self._orders[order_id] = "failed"

        if self._loader is None:
            on_weights(True)
        else:
            self._loader.read(name, version, size_bytes, on_weights)
        return None

    def _end_load(
        self, generation: int, order_id: str, model: ResidentModel
    ) -> None:
        if generation != self._generation:
            return
        self._orders[order_id] = "finished"
        if self.residents.get((model.name, model.version)) is model:
            self.finished_loads += 1
            self._make_ready(model)

    def _make_ready(self, model: ResidentModel) -> None:
        self._ready_sequence += 1
        model.ready_sequence = self._ready_sequence
        model.state = "ready"

    def _start_unload(self, order_id: str, order: dict[str, Any]) -> None:
        name, version = str(order["name"]), str(order.get("version", ""))
        found = [
            model
            for model in self.residents.values()
            if model.name == name
            and version in ("", model.version)
            and model.state == "ready"
        ]
        if not found:
            self._orders[order_id] = "finished"
            return
        self._orders[order_id] = "accepted"
        for model in found:
            model.state = "unloading"
            self._on_unload(model)
        self._clock.call_later(
            self._options.unload_ms,
            self._end_unload,
            self._generation,
            order_id,
            found,
        )

    def _end_unload(
        self, generation: int, order_id: str, models: list[ResidentModel]
    ) -> None:
        if generation != self._generation:
            return
        self._orders[order_id] = "finished"
        for model in models:
            self._remove(model)

    def _remove(self, model: ResidentModel) -> None:
        if self.residents.get((model.name, model.version)) is model:
            del self.residents[(model.name, model.version)]
            self._memory.release(model.memory_key)
