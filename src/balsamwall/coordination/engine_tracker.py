"""State of one engine as the coordinator tracks it."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from balsamwall.coordination import engine_control

if TYPE_CHECKING:
    from balsamwall.gateway import backend_directory
    from balsamwall.gateway import gateway_configuration
    from balsamwall.timing import clock as clock_module

# An engine that can use less than this fraction of its slots within the pause
# target is late as soon as its model is requested often.
SLOW_ENGINE_FRACTION = 0.5


class EngineState(enum.Enum):
    """State that decides whether an engine can receive an order."""

    UNKNOWN = "unknown"  # a report must be read first
    READY = "ready"
    ORDERING = "ordering"  # an order has been sent, its response is pending
    BUSY = "busy"  # an unload is in progress, or an order met a conflict
    LOADING = "loading"
    GONE = "gone"  # the coordinator no longer tracks it


class EngineTracker:
    """Track the residents of an engine and the orders in progress."""

    __slots__ = (
        "pending_adapters",
        "unloading_adapters",
        "unloading_models",
        "local_models",
        "resident_since_ms",
        "conflicts",
        "has_permit",
        "load_due_ms",
        "loading_model",
        "models",
        "order_count",
        "queue",
        "record",
        "resends",
        "spec",
        "state",
        "stable_since_ms",
        "timer",
        "adapter_used_ms",
        "sustainable_fraction",
        "capacity",
        "relative_work_time",
    )

    def __init__(
        self,
        record: backend_directory.ServerRecord,
        spec: gateway_configuration.EngineSpec,
    ) -> None:
        self.record = record
        self.spec = spec
        self.models: dict[str, set[str]] = {
            name: set(adapters) for name, adapters in record.models.items()
        }
        self.local_models: set[str] = set()
        self._reset_local_models()
        self.loading_model: str = ""
        self.load_due_ms = 0
        self.pending_adapters: set[tuple[str, str]] = set()
        # Not to be used any more, but in memory until the engine has said
        # that the unload is done.
        self.unloading_models: set[str] = set()
        self.unloading_adapters: set[tuple[str, str]] = set()
        self.order_count = 0
        self.state = EngineState.UNKNOWN
        self.timer: clock_module.Timer | None = None
        # Since when reports show the same order count, None if not known.
        self.stable_since_ms: int | None = None
        # Consecutive conflicts, and retries of an order without a response.
        self.conflicts = 0
        self.resends = 0
        # Whether the order being sent holds a load permit of the weight store.
        self.has_permit = False
        self.queue: list[engine_control.Order] = []
        # Fraction of the slots that it can use with pauses within the target.
        self.sustainable_fraction = 1.0
        # The same fraction if its limit on requests is included.
        self.capacity = 1.0
        # Time that its work takes, relative to the median of the service.
        self.relative_work_time = 1.0
        self.adapter_used_ms: dict[tuple[str, str], int] = {}
        self.resident_since_ms: dict[str, int] = {}

    def update_record(
        self,
        record: backend_directory.ServerRecord,
        spec: gateway_configuration.EngineSpec,
    ) -> None:
        """Replace the record by a newer one of the same process."""
        self.record = record
        self.spec = spec
        self._reset_local_models()

    def _reset_local_models(self) -> None:
        """Reset the models whose weights are on the VM.

        The VM evicts weights that have not been used for a long time.
        """
        record = self.record
        self.local_models = {*record.in_memory, *record.on_disk, *self.models}

    @property
    def is_idle(self) -> bool:
        """Return whether the engine can receive new orders."""
        return self.state is EngineState.READY and not self.queue

    @property
    def is_slow(self) -> bool:
        """Return whether the engine can use few of its slots in time."""
        return self.sustainable_fraction < SLOW_ENGINE_FRACTION

    @property
    def is_limited(self) -> bool:
        """Return whether a limit on requests leaves slots unused."""
        return self.capacity < self.sustainable_fraction

    def holds(self, model: str, adapter: str = "") -> bool:
        """Return whether a model, and its adapter if given, is resident."""
        adapters = self.models.get(model)
        return adapters is not None and (not adapter or adapter in adapters)

    def will_hold(self, model: str, adapter: str = "") -> bool:
        """Return whether a model or adapter is resident, loading or queued."""
        if not adapter:
            return model in self.expected_models()
        load = engine_control.Order(
            engine_control.OrderKind.LOAD, model, adapter
        )
        is_arriving = (model, adapter) in self.pending_adapters
        return self.holds(model, adapter) or is_arriving or load in self.queue

    def expected_models(self) -> set[str]:
        """Return the models that are resident, loading or queued to load."""
        queued = {
            order.model
            for order in self.queue
            if order.kind is engine_control.OrderKind.LOAD
            and not order.adapter
        }
        return ({*self.models, self.loading_model} | queued) - {""}

    def begin_unload(self, order: engine_control.Order) -> None:
        """Use a model or adapter no more, but count its memory."""
        if order.adapter:
            self.models.get(order.model, set()).discard(order.adapter)
            self.unloading_adapters.add((order.model, order.adapter))
        elif order.model in self.models:
            self.unloading_models.add(order.model)
            self.unloading_adapters |= {
                (order.model, adapter)
                for adapter in self.models.pop(order.model)
            }

    def finish_unload(self, order: engine_control.Order) -> None:
        """Count the memory no more, since the engine has freed it.

        An engine takes no further order while the unload of a model waits.
        """
        if order.adapter:
            self.unloading_adapters.discard((order.model, order.adapter))
            return
        self.unloading_models.discard(order.model)
        self.unloading_adapters = {
            key for key in self.unloading_adapters if key[0] != order.model
        }

    def _counted_adapters(self) -> set[tuple[str, str]]:
        """Return the adapters that use a slot, with their models."""
        held = {
            (model, adapter)
            for model, adapters in self.models.items()
            for adapter in adapters
        }
        return held | self.pending_adapters | self.unloading_adapters

    @property
    def used_adapter_slots(self) -> int:
        """Return the used adapter slots, with pending loads and unloads."""
        return len(self._counted_adapters())

    def committed_mb(self) -> float:
        """Return the memory of all weights, with pending loads and unloads."""
        names = {*self.models, *self.unloading_models, self.loading_model}
        total = sum(self._size_mb(name) for name in names - {""})
        for model, _ in self._counted_adapters():
            total += self._adapter_mb(model)
        return total

    def load_ms(self, model: str) -> int:
        """Return the load time in ms from the fastest source with the weights.

        The result is 0 for a model that is not configured.
        """
        spec = self.spec.models.get(model)
        if spec is None:
            return 0
        if model in self.record.in_memory:
            return spec.warm_ms
        return spec.disk_ms if model in self.local_models else spec.load_ms

    def free_mb(self) -> float:
        """Return the memory that is not committed to weights."""
        return self.spec.weights_mb - self.committed_mb()

    def freed_mb(self, model: str) -> float:
        """Return the memory that unloading a model and its adapters frees."""
        adapters = self.models.get(model, ())
        return self._size_mb(model) + len(adapters) * self._adapter_mb(model)

    def fits(self, order: engine_control.Order) -> bool:
        """Return whether the engine has memory and slots for an order."""
        if order.kind is engine_control.OrderKind.UNLOAD:
            return True
        if order.adapter:
            has_free_slot = self.used_adapter_slots < self.spec.adapter_slots
            size_mb = self._adapter_mb(order.model)
            return has_free_slot and size_mb <= self.free_mb()
        return self._size_mb(order.model) <= self.free_mb()

    def residents(self) -> set[str]:
        """Return the models and, as MODEL/ADAPTER, the adapters that count.

        They include those on their way.
        """
        names = {*self.models, *self.unloading_models, self.loading_model}
        return (names - {""}) | {
            f"{model}/{adapter}" for model, adapter in self._counted_adapters()
        }

    def apply_report(self, report: engine_control.EngineReport) -> None:
        """Replace the tracked state by the report of a non-busy engine."""
        self.order_count = report.order_count
        self.models = {
            name: set(adapters) for name, adapters in report.models.items()
        }
        self.pending_adapters = set(report.pending_adapters)
        self.local_models.update(self.models)
        self.loading_model = ""
        self.unloading_models.clear()
        self.unloading_adapters.clear()
        # An order whose response was lost may have been executed.
        self.queue = [
            order for order in self.queue if self._is_outstanding(order)
        ]

    def _is_outstanding(self, order: engine_control.Order) -> bool:
        is_held = self.holds(order.model, order.adapter)
        return is_held is (order.kind is engine_control.OrderKind.UNLOAD)

    def usable_models(self) -> dict[str, list[str]]:
        """Return the resident adapters by model, except a loading model."""
        return {
            name: sorted(adapters)
            for name, adapters in self.models.items()
            if name != self.loading_model
        }

    def _size_mb(self, model: str) -> float:
        spec = self.spec.models.get(model)
        # A resident model may have been removed from the configuration. Its
        # size is then unknown, and the largest configured size is assumed;
        # the same holds for its adapters.
        if spec is None:
            return max(
                (item.weights_mb for item in self.spec.models.values()),
                default=0.0,
            )
        return spec.weights_mb

    def _adapter_mb(self, model: str) -> float:
        spec = self.spec.models.get(model)
        if spec is None:
            return max(
                (item.adapter_mb for item in self.spec.models.values()),
                default=0.0,
            )
        return spec.adapter_mb
