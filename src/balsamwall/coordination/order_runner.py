"""Carries out the queued orders of engines, one at a time each."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

from balsamwall.coordination import engine_control
from balsamwall.limits import token_bucket

if TYPE_CHECKING:
    from balsamwall.coordination import engine_book
    from balsamwall.logs import decision_log
    from balsamwall.timing import clock as clock_module

_Kind = engine_control.OrderKind
_Outcome = engine_control.OrderOutcome
# Reports are some hundred milliseconds old.
REPORT_LAG_MS = 200
POLL_INTERVAL_MS = 150
RETRY_INTERVAL_MS = 250
UNLOAD_MS = 10
LOAD_MARGIN_MS = 40
# An adapter arrives within some milliseconds of its order.
ADAPTER_ARRIVAL_MS = 12
# Loads beyond the steady rate of the weight store that may begin at once.
LOAD_BURST = 2
# Part of the store's rate that is used, so that late knowledge of an earlier
# holder's loads does not exceed it.
LOAD_RATE_PART = 0.95


class RunnerOwner(Protocol):
    """Holder of the lease under which orders are given."""

    @property
    def fencing_token(self) -> int:
        """Return the token of the present holder, 0 without the lease."""

    def on_residents_changed(self, book: engine_book.EngineBook) -> None:
        """Learn that an engine holds other models than before."""

    def on_fenced(self) -> None:
        """Learn that a newer holder gives orders."""


class OrderRunner:
    """Sends each order with the expected order count of its engine.

    An order without an answer may be carried out later, but only while the
    count is the same. The next accepted order raises the count, so that two
    orders never act on the same state.
    """

    __slots__ = (
        "_busy",
        "_clock",
        "_control",
        "_load_bucket",
        "_log",
        "_owner",
        "loads",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        control: engine_control.EngineControl,
        owner: RunnerOwner,
        log: decision_log.DecisionLog,
    ) -> None:
        self._clock = clock
        self._control = control
        self._owner = owner
        self._log = log
        self._load_bucket = token_bucket.TokenBucket(clock, 0.0, LOAD_BURST)
        self._busy: set[str] = set()
        self.loads = 0

    def set_load_rate(self, loads_per_s: float) -> None:
        """Take the rate of the weight store, over all engines."""
        self._load_bucket.change(loads_per_s * LOAD_RATE_PART, LOAD_BURST)

    def refresh(self, book: engine_book.EngineBook) -> None:
        """Read the state of an engine that is not known."""
        self._read(book)

    def run(self, book: engine_book.EngineBook) -> None:
        """Send the next queued order, if the engine is free."""
        if book.record.server_id in self._busy or not book.queue:
            return
        if not book.is_fresh:
            self._read(book)
            return
        if book.loading:
            return
        token = self._owner.fencing_token
        if not token:
            book.queue.clear()
            return
        order = book.queue[0]
        if not book.fits(order):
            self._log.write(
                "order_dropped",
                server=book.record.server_id,
                model=order.model,
                adapter=order.adapter,
                free_mb=int(book.free_mb()),
                adapters=book.adapter_count,
            )
            book.queue.clear()
            return
        if self._is_store_load(book, order) and not self._load_bucket.take():
            self._clock.call_later(self._load_bucket.wait_ms(), self.run, book)
            return
        self._send(book, order, token)

    @staticmethod
    def _is_store_load(
        book: engine_book.EngineBook, order: engine_control.Order
    ) -> bool:
        is_load = order.kind is _Kind.LOAD and not order.adapter
        return is_load and order.model not in book.at_hand

    def _send(
        self,
        book: engine_book.EngineBook,
        order: engine_control.Order,
        token: int,
    ) -> None:
        self._busy.add(book.record.server_id)
        if order.kind is _Kind.UNLOAD:
            # Entries stop using what is about to go.
            self._drop(book, order)
            self._owner.on_residents_changed(book)

        def on_outcome(outcome: engine_control.OrderOutcome) -> None:
            self._busy.discard(book.record.server_id)
            self._log.write(
                "order",
                server=book.record.server_id,
                kind=order.kind.value,
                model=order.model,
                adapter=order.adapter,
                order_count=book.order_count,
                fencing_token=token,
                outcome=outcome.value,
            )
            self._on_outcome(book, order, outcome)

        self._control.send_order(
            book.record, order, book.order_count, token, on_outcome
        )

    def _on_outcome(
        self,
        book: engine_book.EngineBook,
        order: engine_control.Order,
        outcome: engine_control.OrderOutcome,
    ) -> None:
        if outcome is _Outcome.FENCED:
            book.queue.clear()
            self._owner.on_fenced()
        elif outcome in (_Outcome.ACCEPTED, _Outcome.ALREADY_TRUE):
            if book.queue and book.queue[0] is order:
                book.queue.pop(0)
            self._apply(book, order, outcome)
        elif outcome in (_Outcome.REJECTED, _Outcome.WRONG_SERVER):
            book.queue.clear()
            book.is_fresh = False
            self._clock.call_later(RETRY_INTERVAL_MS, self._read, book)
        else:
            # The state is not known: busy, another count, or no answer.
            book.is_fresh = False
            self._clock.call_later(RETRY_INTERVAL_MS, self._read, book)

    def _apply(
        self,
        book: engine_book.EngineBook,
        order: engine_control.Order,
        outcome: engine_control.OrderOutcome,
    ) -> None:
        if order.adapter:
            book.order_count += 1
            self._apply_adapter(book, order)
            self.run(book)
            return
        if outcome is _Outcome.ALREADY_TRUE:
            book.is_fresh = False
            self._clock.call_later(REPORT_LAG_MS, self._read, book)
            return
        book.order_count += 1
        if order.kind is _Kind.LOAD:
            self._follow_load(book, order.model)
        elif book.queue:
            # Without running requests the unload is over at once; the engine
            # refuses the next order while it is not.
            self._clock.call_later(UNLOAD_MS, self.run, book)
        else:
            self._clock.call_later(REPORT_LAG_MS, self._read, book)

    def _follow_load(self, book: engine_book.EngineBook, model: str) -> None:
        """Expect the end of a load, and read the state if it comes late."""
        book.loading = model
        is_from_store = model not in book.at_hand
        self.loads += is_from_store
        self._log.write(
            "load_started",
            server=book.record.server_id,
            model=model,
            is_from_store=is_from_store,
        )
        delay_ms = self._load_ms(book, model) + LOAD_MARGIN_MS
        if is_from_store:
            # Its time grows with the number of loads in all engines.
            delay_ms += REPORT_LAG_MS
            self._clock.call_later(delay_ms, self._read, book)
        else:
            self._clock.call_later(delay_ms, self._on_loaded, book, model)

    def _on_loaded(self, book: engine_book.EngineBook, model: str) -> None:
        """Take a load from the VM's own copy as complete."""
        if book.loading != model or not book.is_fresh:
            return
        book.loading = ""
        book.models.setdefault(model, set())
        self._owner.on_residents_changed(book)
        self._clock.call_later(REPORT_LAG_MS, self._read, book)

    def _apply_adapter(
        self, book: engine_book.EngineBook, order: engine_control.Order
    ) -> None:
        if order.kind is _Kind.UNLOAD:
            return
        key = (order.model, order.adapter)
        book.arriving.add(key)
        self._clock.call_later(
            ADAPTER_ARRIVAL_MS, self._on_adapter_arrived, book, key
        )

    def _on_adapter_arrived(
        self, book: engine_book.EngineBook, key: tuple[str, str]
    ) -> None:
        book.arriving.discard(key)
        if key[0] not in book.models:
            return
        book.models[key[0]].add(key[1])
        book.used_ms[key] = self._clock.now_ms()
        self._owner.on_residents_changed(book)

    @staticmethod
    def _drop(
        book: engine_book.EngineBook, order: engine_control.Order
    ) -> None:
        if order.adapter:
            book.models.get(order.model, set()).discard(order.adapter)
        else:
            book.models.pop(order.model, None)

    @staticmethod
    def _load_ms(book: engine_book.EngineBook, model: str) -> int:
        spec = book.spec.models.get(model)
        if spec is None:
            return RETRY_INTERVAL_MS
        if model in book.record.in_memory:
            return spec.warm_ms
        return spec.disk_ms if model in book.at_hand else spec.load_ms

    def _read(self, book: engine_book.EngineBook) -> None:
        if not self._owner.fencing_token:
            return
        if book.record.server_id in self._busy:
            return
        self._busy.add(book.record.server_id)

        def on_report(report: engine_control.EngineReport | None) -> None:
            self._busy.discard(book.record.server_id)
            self._on_report(book, report)

        self._control.read_report(book.record, on_report)

    def _on_report(
        self,
        book: engine_book.EngineBook,
        report: engine_control.EngineReport | None,
    ) -> None:
        if report is None or not book.adopt(report):
            self._clock.call_later(POLL_INTERVAL_MS, self._read, book)
            return
        self._owner.on_residents_changed(book)
        self.run(book)
