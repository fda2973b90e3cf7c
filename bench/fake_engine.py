"""Fake engine with continuous batching, for the benchmarks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.backend import backend_server
from balsamwall.results import result_code
from bench import workload

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.configuration import tenant_configuration
    from balsamwall.timing import virtual_clock
    from bench import weight_store

STEP_FIXED_MS = 10.0
STEP_PER_SEQUENCE_MS = 2.0
PREFILL_MS_PER_TOKEN = 0.05
PREFILL_TOKENS_PER_STEP = 512
# At this size a step with a full prefill chunk stays within TOKEN_GAP_MS:
# 10 + 16 x 2 + 512 x 0.05 = 67.6 ms.
MAX_BATCH = 16
# Engine time per output token at the maximum batch size.
TOKEN_WORK_MS = STEP_FIXED_MS / MAX_BATCH + STEP_PER_SEQUENCE_MS
ORDER_DELAY_MS = 5
LOAD_REPORT_LAG_MS = 300
TOKEN = b"tok "

_Code = result_code.ResultCode


def work_ms(prompt_tokens: int, output_tokens: float) -> float:
    """Return the engine time of a request at the maximum batch size."""
    return prompt_tokens * PREFILL_MS_PER_TOKEN + output_tokens * TOKEN_WORK_MS


class Sequence:
    """Request in the batch; its body is the number of output tokens."""

    __slots__ = (
        "listener",
        "offset",
        "output_tokens",
        "prefill_tokens",
        "remaining_tokens",
        "request",
    )

    def __init__(
        self,
        request: backend_server.BackendRequest,
        listener: backend_server.BackendListener,
    ) -> None:
        self.request = request
        self.listener = listener
        self.prefill_tokens = request.prompt_tokens
        self.output_tokens = int(request.body)
        self.remaining_tokens = self.output_tokens
        self.offset = 0


class FakeEngine:
    """Engine that steps through a batch and loads from a weight store."""

    def __init__(
        self,
        clock: virtual_clock.VirtualClock,
        store: weight_store.WeightStore,
        on_move: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._store = store
        self._on_move = on_move
        self._sequences: dict[str, Sequence] = {}
        self._is_stepping = False
        self._incarnation = 0
        self._fence = 0
        self._residents: dict[
            tuple[str, str], tuple[backend_server.EngineOrder, str]
        ] = {}
        self._names: dict[str, frozenset[str]] = {}
        self._open_orders: set[str] = set()
        self._steps: list[tuple[int, int]] = [(0, 10_000)]
        self.is_up = True
        self.on_ready: Callable[[str], None] = lambda name: None

    @property
    def batch_size(self) -> int:
        """Return the number of requests in the batch."""
        return len(self._sequences)

    @property
    def sequences(self) -> list[Sequence]:
        """Return the requests in the batch."""
        return list(self._sequences.values())

    def step_ms(self, batch: int, prefill_tokens: int) -> float:
        """Return the duration of a step in ms."""
        return (
            STEP_FIXED_MS
            + STEP_PER_SEQUENCE_MS * batch
            + PREFILL_MS_PER_TOKEN * prefill_tokens
        )

    @property
    def reported_step_us(self) -> int:
        """Return the step duration as of LOAD_REPORT_LAG_MS ago, in us."""
        limit_ms = self._clock.now_ms() - LOAD_REPORT_LAG_MS
        while len(self._steps) > 1 and self._steps[1][0] <= limit_ms:
            self._steps.pop(0)
        return self._steps[0][1]

    def start(
        self,
        request: backend_server.BackendRequest,
        listener: backend_server.BackendListener,
    ) -> None:
        """Add a request to the batch of the next step."""
        if not self.is_up:
            self._clock.call_later(
                1, listener.on_error, _Code.BACKEND_DOWN, "down", False
            )
            return
        self._sequences[request.request_id] = Sequence(request, listener)
        if not self._is_stepping:
            self._begin_step()

    def resume(
        self,
        request_id: str,
        offset: int,
        listener: backend_server.BackendListener,
    ) -> None:
        """Attach a new listener to a stream; the offset is ignored."""
        sequence = self._sequences.get(request_id)
        if sequence is None:
            listener.on_error(_Code.ANSWER_INTERRUPTED, "gone", False)
        else:
            sequence.listener = listener

    def cancel(self, request_id: str) -> None:
        """Remove a request from the batch and report it as cancelled."""
        sequence = self._sequences.pop(request_id, None)
        if sequence is not None:
            self._clock.call_later(
                1,
                sequence.listener.on_error,
                _Code.CANCELLED_AFTER_START,
                "cancelled",
                False,
            )

    def _begin_step(self) -> None:
        self._is_stepping = True
        budget = PREFILL_TOKENS_PER_STEP
        decoding = []
        prefilled = []
        for sequence in self._sequences.values():
            if sequence.prefill_tokens == 0:
                decoding.append(sequence)
            elif budget:
                part = min(budget, sequence.prefill_tokens)
                budget -= part
                sequence.prefill_tokens -= part
                prefilled.append(sequence)
        done = [item for item in prefilled if item.prefill_tokens == 0]
        batch = len(decoding) + len(prefilled)
        prefill = PREFILL_TOKENS_PER_STEP - budget
        duration_ms = max(1, round(self.step_ms(batch, prefill)))
        now_ms = self._clock.now_ms()
        self._steps.append((now_ms + duration_ms, duration_ms * 1_000))
        if len(self._steps) > 256:
            del self._steps[:128]
        self._clock.call_later(
            duration_ms, self._end_step, decoding + done, self._incarnation
        )

    def _end_step(self, emitting: list[Sequence], incarnation: int) -> None:
        if incarnation != self._incarnation:
            return
        for sequence in emitting:
            request_id = sequence.request.request_id
            if self._sequences.get(request_id) is not sequence:
                continue
            offset = sequence.offset
            sequence.offset += len(TOKEN)
            sequence.remaining_tokens -= 1
            sequence.listener.on_data(offset, TOKEN)
            if sequence.remaining_tokens <= 0:
                self._sequences.pop(request_id, None)
                sequence.listener.on_end(
                    200, {}, sequence.offset, sequence.output_tokens
                )
        if self._sequences:
            self._begin_step()
        else:
            self._is_stepping = False

    def preload(self, order: backend_server.EngineOrder) -> None:
        """Make a name resident without counting a load."""
        self._residents[order.name, order.version] = (order, "ready")
        self._names.clear()

    def resident_names(self, state: str = "ready") -> frozenset[str]:
        """Return the resident names in a state ("ready" or "loading")."""
        names = self._names.get(state)
        if names is None:
            names = self._names[state] = frozenset(
                key[0]
                for key, held in self._residents.items()
                if held[1] == state
            )
        return names

    def order(
        self,
        order: backend_server.EngineOrder,
        callback: Callable[[result_code.ResultCode], None],
    ) -> None:
        """Apply an order after ORDER_DELAY_MS."""
        self._clock.call_later(ORDER_DELAY_MS, self._apply, order, callback)

    def _apply(
        self,
        order: backend_server.EngineOrder,
        callback: Callable[[result_code.ResultCode], None],
    ) -> None:
        if not self.is_up:
            callback(_Code.ORDER_OUTCOME_UNKNOWN)
            return
        if order.fence < self._fence:
            callback(_Code.ORDER_STALE_FENCE)
            return
        key = (order.name, order.version)
        if order.action == "fence":
            self._fence = max(self._fence, order.fence)
        elif order.action == "load" and key not in self._residents:
            self._residents[key] = (order, "loading")
            self._names.clear()
            self._open_orders.add(order.order_id)
            self._on_move()
            incarnation = self._incarnation
            self._store.load(
                order.memory_bytes, lambda: self._loaded(order, incarnation)
            )
        elif order.action == "unload":
            self._residents.pop(key, None)
            self._names.clear()
        callback(_Code.OK)

    def _loaded(
        self, order: backend_server.EngineOrder, incarnation: int
    ) -> None:
        if incarnation != self._incarnation:
            return
        self._open_orders.discard(order.order_id)
        self._residents[order.name, order.version] = (order, "ready")
        self._names.clear()
        self.on_ready(order.name)

    def listing(
        self, callback: Callable[[backend_server.EngineListing | None], None]
    ) -> None:
        """Report the residents after ORDER_DELAY_MS."""
        self._clock.call_later(ORDER_DELAY_MS, self._list, callback)

    def _list(
        self, callback: Callable[[backend_server.EngineListing | None], None]
    ) -> None:
        if not self.is_up:
            callback(None)
            return
        residents = tuple(
            backend_server.Resident(
                order.name,
                order.kind,
                order.version,
                order.base,
                order.memory_bytes,
                state,
            )
            for order, state in self._residents.values()
        )
        callback(
            backend_server.EngineListing(
                workload.CAPACITY_BYTES,
                sum(item.memory_bytes for item in residents),
                self._fence,
                True,
                "general",
                residents,
                tuple(sorted(self._open_orders)),
            )
        )

    def load(
        self, callback: Callable[[backend_server.EngineLoad | None], None]
    ) -> None:
        """Report the load; the step duration lags by LOAD_REPORT_LAG_MS."""
        callback(
            backend_server.EngineLoad(
                len(self._sequences),
                0,
                0,
                0,
                self.reported_step_us,
                LOAD_REPORT_LAG_MS,
            )
        )

    def crash(self, is_reported: bool = True) -> None:
        """Discard memory and requests; fail the listeners if is_reported."""
        self.is_up = False
        self._incarnation += 1
        self._is_stepping = False
        self._residents.clear()
        self._names.clear()
        self._open_orders.clear()
        lost, self._sequences = list(self._sequences.values()), {}
        if is_reported:
            for sequence in lost:
                sequence.listener.on_error(
                    _Code.BACKEND_DOWN, "engine crashed", True
                )

    def restart(self) -> None:
        """Accept requests again, with nothing resident."""
        self.is_up = True


def load_order(
    configuration: tenant_configuration.TenantConfiguration,
    name: str,
    order_id: str = "start",
) -> backend_server.EngineOrder:
    """Return the order that loads a name."""
    adapter = configuration.adapters.get(name)
    return backend_server.EngineOrder(
        order_id,
        0,
        "load",
        name,
        "model" if adapter is None else "adapter",
        "1",
        "" if adapter is None else adapter.base,
        configuration.models[name].weight_bytes
        if adapter is None
        else adapter.weight_bytes,
    )
