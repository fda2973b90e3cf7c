"""Carries out the queued orders of engines, one at a time each."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

from balsamwall.coordination import engine_book
from balsamwall.coordination import engine_control
from balsamwall.limits import token_bucket

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.logs import decision_log
    from balsamwall.timing import clock as clock_module

_Kind = engine_control.OrderKind
_State = engine_book.EngineState
_Outcome = engine_control.OrderOutcome
# The models in a report may be some hundred milliseconds older than its order
# count; they are taken when the count has been the same for this long.
SETTLE_MS = 500
POLL_INTERVAL_MS = 150
RETRY_INTERVAL_MS = 250
# An unload without running requests is over at once.
UNLOAD_MS = 10
LOAD_MARGIN_MS = 40
# An engine that is busy refuses the next order; the first pause between two
# tries, which doubles, and the longest one.
FIRST_CONFLICT_PAUSE_MS = 40
MAX_CONFLICT_PAUSE_MS = 320
# Orders without an answer that are given again before the state is read.
MAX_RESENDS = 2
# Refusals in a row after which the order count is compared.
CONFLICTS_TO_CHECK = 4
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
        "_clock",
        "_control",
        "_load_bucket",
        "_log",
        "_owner",
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

    def set_load_rate(self, loads_per_s: float) -> None:
        """Take the rate of the weight store, over all engines."""
        self._load_bucket.set_rate(loads_per_s * LOAD_RATE_PART, LOAD_BURST)

    def refresh(self, book: engine_book.EngineBook) -> None:
        """Read the state of an engine that has nothing to do."""
        if book.state in (_State.UNKNOWN, _State.READY) and not book.queue:
            self._lose_track(book)

    def forget(self, book: engine_book.EngineBook) -> None:
        """End all steps of an engine that is followed no longer."""
        book.state = _State.GONE
        book.queue.clear()
        if book.timer is not None:
            book.timer.cancel()

    def run(self, book: engine_book.EngineBook) -> None:
        """Send the next queued order, if the engine is free."""
        if book.state is not _State.READY or not book.queue:
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
        if not self._has_permit(book, order):
            wait_ms = self._load_bucket.wait_ms()
            self._schedule(book, wait_ms, self.run)
            return
        self._send(book, order, token)

    def _has_permit(
        self, book: engine_book.EngineBook, order: engine_control.Order
    ) -> bool:
        """Take a permit of the weight store, if the order needs one."""
        if book.has_permit or not self._is_store_load(book, order):
            return True
        book.has_permit = self._load_bucket.take()
        return book.has_permit

    def _settle_permit(
        self,
        book: engine_book.EngineBook,
        outcome: engine_control.OrderOutcome,
    ) -> None:
        """Give a permit back unless a load has begun or may have."""
        if outcome is _Outcome.UNKNOWN:
            return
        may_have_begun = outcome is _Outcome.ACCEPTED or book.resends
        if book.has_permit and not may_have_begun:
            self._load_bucket.put_back()
        book.has_permit = False

    def _schedule(
        self,
        book: engine_book.EngineBook,
        delay_ms: int,
        function: Callable[[engine_book.EngineBook], None],
    ) -> None:
        """Plan the next step of an engine; there is one at a time."""
        if book.timer is not None:
            book.timer.cancel()
        book.timer = self._clock.call_later(delay_ms, function, book)

    def _lose_track(self, book: engine_book.EngineBook) -> None:
        """Read the state until it is steady."""
        book.state = _State.UNKNOWN
        book.resends = 0
        book.has_permit = False
        book.steady_since_ms = None
        self._schedule(book, 0, self._read_state)

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
        book.state = _State.ORDERING
        if order.kind is _Kind.UNLOAD:
            # Entries stop using what is about to go.
            self._drop(book, order)
            self._owner.on_residents_changed(book)

        def on_outcome(outcome: engine_control.OrderOutcome) -> None:
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
            if book.state is _State.ORDERING:
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
        self._settle_permit(book, outcome)
        if outcome is _Outcome.FENCED:
            book.queue.clear()
            self._lose_track(book)
            self._owner.on_fenced()
        elif outcome in (_Outcome.ACCEPTED, _Outcome.ALREADY_TRUE):
            book.conflicts = 0
            book.resends = 0
            if book.queue and book.queue[0] is order:
                book.queue.pop(0)
            self._apply(book, order, outcome)
        elif outcome is _Outcome.UNKNOWN and book.resends < MAX_RESENDS:
            # The engine carries out one of the two at most, because both
            # expect the same number of orders before them.
            book.resends += 1
            self._be_ready(book)
        elif outcome is _Outcome.CONFLICT and book.resends:
            book.resends = 0
            self._compare_count(book)
        elif outcome is _Outcome.CONFLICT:
            self._wait_busy(book)
        else:
            if outcome in (_Outcome.REJECTED, _Outcome.WRONG_SERVER):
                book.queue.clear()
            self._lose_track(book)

    def _wait_busy(self, book: engine_book.EngineBook) -> None:
        """Try again: an unload before the order waits for its requests."""
        book.state = _State.BUSY
        pause_ms = FIRST_CONFLICT_PAUSE_MS * 2 ** min(8, book.conflicts)
        book.conflicts += 1
        is_check_due = book.conflicts % CONFLICTS_TO_CHECK == 0
        self._schedule(
            book,
            min(MAX_CONFLICT_PAUSE_MS, pause_ms),
            self._compare_count if is_check_due else self._be_ready,
        )

    def _apply(
        self,
        book: engine_book.EngineBook,
        order: engine_control.Order,
        outcome: engine_control.OrderOutcome,
    ) -> None:
        is_unload = order.kind is _Kind.UNLOAD
        if outcome is _Outcome.ACCEPTED or (order.adapter and is_unload):
            # The unload of an idle adapter is answered as already true.
            book.order_count += 1
        if order.adapter:
            if not is_unload:
                self._follow_adapter(book, order)
            self._be_ready(book)
        elif outcome is _Outcome.ALREADY_TRUE:
            self._lose_track(book)
        elif is_unload:
            book.state = _State.BUSY
            # The engine refuses the next order while the unload waits.
            self._schedule(book, UNLOAD_MS, self._be_ready)
        else:
            self._follow_load(book, order.model)

    def _be_ready(self, book: engine_book.EngineBook) -> None:
        book.state = _State.READY
        self.run(book)

    def _follow_load(self, book: engine_book.EngineBook, model: str) -> None:
        """Expect the end of a load."""
        book.state = _State.LOADING
        book.loading = model
        is_from_store = model not in book.at_hand
        self._log.write(
            "load_started",
            server=book.record.server_id,
            model=model,
            is_from_store=is_from_store,
        )
        delay_ms = book.load_ms(model) + LOAD_MARGIN_MS
        book.loaded_at_ms = self._clock.now_ms() + delay_ms
        # The time of a load from the store grows with the number of loads in
        # all engines; one from the VM's own copy takes its time.
        step = self._poll_load if is_from_store else self._on_loaded
        self._schedule(book, delay_ms, step)

    def _on_loaded(self, book: engine_book.EngineBook) -> None:
        model, book.loading = book.loading, ""
        book.models.setdefault(model, set())
        book.at_hand.add(model)
        self._owner.on_residents_changed(book)
        self._be_ready(book)

    def _follow_adapter(
        self, book: engine_book.EngineBook, order: engine_control.Order
    ) -> None:
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

    # Reports

    def _read(
        self,
        book: engine_book.EngineBook,
        retry: Callable[[engine_book.EngineBook], None],
        on_report: Callable[[engine_control.EngineReport], None],
    ) -> None:
        """Read a report; try again while there is none."""
        if not self._owner.fencing_token:
            return
        state = book.state

        def on_answer(report: engine_control.EngineReport | None) -> None:
            if book.state is not state:
                return
            if report is None:
                self._schedule(book, RETRY_INTERVAL_MS, retry)
            else:
                on_report(report)

        self._control.read_report(book.record, on_answer)

    def _read_state(self, book: engine_book.EngineBook) -> None:
        def on_report(report: engine_control.EngineReport) -> None:
            if not self._is_steady(book, report):
                self._schedule(book, POLL_INTERVAL_MS, self._read_state)
                return
            book.conflicts = 0
            book.adopt(report)
            self._owner.on_residents_changed(book)
            self._be_ready(book)

        self._read(book, self._read_state, on_report)

    def _is_steady(
        self,
        book: engine_book.EngineBook,
        report: engine_control.EngineReport,
    ) -> bool:
        """Tell whether the models in a report are those of its count."""
        now_ms = self._clock.now_ms()
        is_changed = report.order_count != book.order_count
        book.order_count = report.order_count
        if report.is_busy or is_changed or book.steady_since_ms is None:
            # What a busy engine will hold is not in the report.
            book.steady_since_ms = None if report.is_busy else now_ms
            return False
        return now_ms - book.steady_since_ms >= SETTLE_MS

    def _compare_count(self, book: engine_book.EngineBook) -> None:
        def on_report(report: engine_control.EngineReport) -> None:
            if report.order_count != book.order_count:
                # An order that had no answer was carried out after all.
                self._lose_track(book)
            else:
                self._be_ready(book)

        self._read(book, self._compare_count, on_report)

    def _poll_load(self, book: engine_book.EngineBook) -> None:
        def on_report(report: engine_control.EngineReport) -> None:
            if report.is_busy:
                self._schedule(book, POLL_INTERVAL_MS, self._poll_load)
            elif report.order_count == book.order_count:
                self._on_loaded(book)
            else:
                self._lose_track(book)

        self._read(book, self._poll_load, on_report)
