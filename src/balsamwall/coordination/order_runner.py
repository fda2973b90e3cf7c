"""Execution of the queued orders, one at a time for each engine."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

from balsamwall.coordination import engine_control
from balsamwall.coordination import engine_tracker
from balsamwall.limits import token_bucket

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.logs import decision_log
    from balsamwall.timing import clock as clock_module

_Kind = engine_control.OrderKind
_State = engine_tracker.EngineState
_Outcome = engine_control.OrderOutcome
# The models in a report may be some hundred milliseconds older than its order
# count. They are trusted once the count has not changed for this long.
REPORT_STABLE_MS = 500
# Interval between reports while an engine is loading or not yet stable.
POLL_INTERVAL_MS = 150
# Delay before a report is requested again after a request without a response.
RETRY_INTERVAL_MS = 250
# Duration of an unload that waits for no running request.
IDLE_UNLOAD_MS = 10
# Time added to the expected load time before the end of the load is checked.
LOAD_MARGIN_MS = 40
# A busy engine rejects orders with a conflict. The delay between attempts
# starts at the first value and doubles up to the second.
MIN_CONFLICT_BACKOFF_MS = 40
MAX_CONFLICT_BACKOFF_MS = 320
# Retries of an order without a response before the engine state is read.
MAX_RESENDS = 2
# Consecutive conflicts after which the order count is verified.
CONFLICTS_BEFORE_CHECK = 4
# An adapter is loaded within some milliseconds of its order.
ADAPTER_ARRIVAL_MS = 12
# Loads that may start at once, beyond the steady rate of the weight store.
LOAD_BURST = 2
# Fraction of the store's rate that is used. The rest allows for loads of a
# previous coordinator that are not known yet.
LOAD_RATE_FRACTION = 0.95


class RunnerOwner(Protocol):
    """Source of the fencing token, and listener for the results of orders."""

    @property
    def is_active(self) -> bool:
        """Return whether the state of engines is of use."""

    @property
    def fencing_token(self) -> int:
        """Return the fencing token for orders, 0 if none may be sent."""

    @property
    def send_by_ms(self) -> int | None:
        """Return until when an order may be sent, None without a bound."""

    def on_residents_changed(
        self, tracker: engine_tracker.EngineTracker
    ) -> None:
        """Handle a change of the resident models of an engine."""

    def on_fenced(self) -> None:
        """Handle the rejection of an order for its outdated token."""


class OrderRunner:
    """Send each order with the expected order count of its engine.

    An order without a response may still be executed, but only while the
    count is unchanged. Each accepted order increments the count, so that two
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
        """Set the load rate that the weight store allows for all engines."""
        self._load_bucket.set_rate(
            loads_per_s * LOAD_RATE_FRACTION, LOAD_BURST
        )

    def refresh(self, tracker: engine_tracker.EngineTracker) -> None:
        """Read the state of an engine again, unless orders are in progress."""
        if (
            tracker.state in (_State.UNKNOWN, _State.READY)
            and not tracker.queue
        ):
            self._resynchronise(tracker)

    def stop_tracking(self, tracker: engine_tracker.EngineTracker) -> None:
        """Drop the orders of an engine and cancel its next step."""
        tracker.state = _State.GONE
        tracker.queue.clear()
        if tracker.timer is not None:
            tracker.timer.cancel()

    def run(self, tracker: engine_tracker.EngineTracker) -> None:
        """Send the next queued order if the engine is ready.

        The queue is cleared if the next order does not fit, or if no order may
        be sent; then it is not known whether the last one was carried out.
        A load without a permit of the weight store is tried again later.
        """
        if tracker.state is not _State.READY or not tracker.queue:
            return
        token = self._owner.fencing_token
        if not token:
            tracker.queue.clear()
            self._resynchronise(tracker)
            return
        order = tracker.queue[0]
        if not tracker.fits(order):
            self._log.write(
                "order_dropped",
                server=tracker.record.server_id,
                model=order.model,
                adapter=order.adapter,
                free_mb=int(tracker.free_mb()),
                adapters=tracker.used_adapter_slots,
            )
            tracker.queue.clear()
            return
        if not self._acquire_permit(tracker, order):
            wait_ms = self._load_bucket.wait_ms()
            self._schedule(tracker, wait_ms, self.run)
            return
        self._send(tracker, order, token)

    def _acquire_permit(
        self,
        tracker: engine_tracker.EngineTracker,
        order: engine_control.Order,
    ) -> bool:
        """Acquire a load permit if needed; return whether the order may go."""
        if tracker.has_permit or not self._is_store_load(tracker, order):
            return True
        tracker.has_permit = self._load_bucket.take()
        return tracker.has_permit

    def _release_permit(
        self,
        tracker: engine_tracker.EngineTracker,
        outcome: engine_control.OrderOutcome,
    ) -> None:
        """Return the load permit unless a load has or may have started."""
        if outcome is _Outcome.UNKNOWN:
            return
        may_have_started = outcome is _Outcome.ACCEPTED or tracker.resends
        if tracker.has_permit and not may_have_started:
            self._load_bucket.put_back()
        tracker.has_permit = False

    def _schedule(
        self,
        tracker: engine_tracker.EngineTracker,
        delay_ms: int,
        function: Callable[[engine_tracker.EngineTracker], None],
    ) -> None:
        """Schedule the next step of an engine in place of a pending one."""
        if tracker.timer is not None:
            tracker.timer.cancel()
        tracker.timer = self._clock.call_later(delay_ms, function, tracker)

    def _resynchronise(self, tracker: engine_tracker.EngineTracker) -> None:
        """Poll the engine until its state is stable."""
        tracker.state = _State.UNKNOWN
        tracker.resends = 0
        tracker.has_permit = False
        tracker.stable_since_ms = None
        self._schedule(tracker, 0, self._poll_until_stable)

    @staticmethod
    def _is_store_load(
        tracker: engine_tracker.EngineTracker, order: engine_control.Order
    ) -> bool:
        is_load = order.kind is _Kind.LOAD and not order.adapter
        return is_load and order.model not in tracker.local_models

    def _send(
        self,
        tracker: engine_tracker.EngineTracker,
        order: engine_control.Order,
        token: int,
    ) -> None:
        tracker.state = _State.ORDERING
        if order.kind is _Kind.UNLOAD:
            # Entries must stop using the model before it is unloaded.
            tracker.begin_unload(order)
            self._owner.on_residents_changed(tracker)

        def on_outcome(outcome: engine_control.OrderOutcome) -> None:
            self._log.write(
                "order",
                server=tracker.record.server_id,
                kind=order.kind.value,
                model=order.model,
                adapter=order.adapter,
                order_count=tracker.order_count,
                fencing_token=token,
                outcome=outcome.value,
            )
            if tracker.state is _State.ORDERING:
                self._on_outcome(tracker, order, outcome)

        self._control.send_order(
            tracker.record,
            order,
            tracker.order_count,
            token,
            self._owner.send_by_ms,
            on_outcome,
        )

    def _on_outcome(
        self,
        tracker: engine_tracker.EngineTracker,
        order: engine_control.Order,
        outcome: engine_control.OrderOutcome,
    ) -> None:
        self._release_permit(tracker, outcome)
        if outcome is _Outcome.FENCED:
            tracker.queue.clear()
            self._resynchronise(tracker)
            self._owner.on_fenced()
        elif outcome in (_Outcome.ACCEPTED, _Outcome.ALREADY_TRUE):
            tracker.conflicts = 0
            tracker.resends = 0
            if tracker.queue and tracker.queue[0] is order:
                tracker.queue.pop(0)
            self._on_accepted(tracker, order, outcome)
        elif outcome is _Outcome.UNKNOWN and tracker.resends < MAX_RESENDS:
            # A retry is safe: both attempts expect the same order count, so
            # that the engine executes at most one of them.
            tracker.resends += 1
            self._set_ready(tracker)
        elif outcome is _Outcome.CONFLICT and tracker.resends:
            tracker.resends = 0
            self._verify_order_count(tracker)
        elif outcome is _Outcome.CONFLICT:
            self._retry_after_conflict(tracker)
        else:
            if outcome in (_Outcome.REJECTED, _Outcome.WRONG_SERVER):
                tracker.queue.clear()
            self._resynchronise(tracker)

    def _retry_after_conflict(
        self, tracker: engine_tracker.EngineTracker
    ) -> None:
        """Retry with backoff; an earlier unload may wait for its requests."""
        tracker.state = _State.BUSY
        backoff_ms = MIN_CONFLICT_BACKOFF_MS * 2 ** min(8, tracker.conflicts)
        tracker.conflicts += 1
        is_check_due = tracker.conflicts % CONFLICTS_BEFORE_CHECK == 0
        self._schedule(
            tracker,
            min(MAX_CONFLICT_BACKOFF_MS, backoff_ms),
            self._verify_order_count if is_check_due else self._set_ready,
        )

    def _on_accepted(
        self,
        tracker: engine_tracker.EngineTracker,
        order: engine_control.Order,
        outcome: engine_control.OrderOutcome,
    ) -> None:
        is_unload = order.kind is _Kind.UNLOAD
        is_waiting = outcome is _Outcome.ACCEPTED and bool(order.adapter)
        if is_unload and not is_waiting:
            tracker.finish_unload(order)
        if outcome is _Outcome.ACCEPTED or (order.adapter and is_unload):
            # An engine reports the unload of an idle adapter as already true.
            tracker.order_count += 1
        if is_unload and is_waiting:
            # Requests use the adapter. The engine takes other orders before
            # it is gone, and only a report shows when that is.
            self._resynchronise(tracker)
        elif order.adapter:
            if not is_unload:
                self._track_adapter_load(tracker, order)
            self._set_ready(tracker)
        elif outcome is _Outcome.ALREADY_TRUE:
            self._resynchronise(tracker)
        elif is_unload:
            tracker.state = _State.BUSY
            # The engine rejects the next order while the unload waits.
            self._schedule(tracker, IDLE_UNLOAD_MS, self._set_ready)
        else:
            self._track_load(tracker, order.model)

    def _set_ready(self, tracker: engine_tracker.EngineTracker) -> None:
        tracker.state = _State.READY
        self.run(tracker)

    def _track_load(
        self, tracker: engine_tracker.EngineTracker, model: str
    ) -> None:
        """Schedule the check for the end of a load."""
        tracker.state = _State.LOADING
        tracker.loading_model = model
        is_from_store = model not in tracker.local_models
        self._log.write(
            "load_started",
            server=tracker.record.server_id,
            model=model,
            is_from_store=is_from_store,
        )
        delay_ms = tracker.load_ms(model) + LOAD_MARGIN_MS
        tracker.load_due_ms = self._clock.now_ms() + delay_ms
        # A load from the store takes longer the more engines load at once, and
        # is polled. A load from the VM's own copy takes a known time.
        step = self._poll_load if is_from_store else self._on_loaded
        self._schedule(tracker, delay_ms, step)

    def _on_loaded(self, tracker: engine_tracker.EngineTracker) -> None:
        model, tracker.loading_model = tracker.loading_model, ""
        tracker.models.setdefault(model, set())
        tracker.local_models.add(model)
        self._owner.on_residents_changed(tracker)
        self._set_ready(tracker)

    def _track_adapter_load(
        self,
        tracker: engine_tracker.EngineTracker,
        order: engine_control.Order,
    ) -> None:
        key = (order.model, order.adapter)
        tracker.pending_adapters.add(key)
        self._clock.call_later(
            ADAPTER_ARRIVAL_MS, self._on_adapter_arrived, tracker, key
        )

    def _on_adapter_arrived(
        self, tracker: engine_tracker.EngineTracker, key: tuple[str, str]
    ) -> None:
        tracker.pending_adapters.discard(key)
        if key[0] not in tracker.models:
            return
        tracker.models[key[0]].add(key[1])
        tracker.adapter_used_ms[key] = self._clock.now_ms()
        self._owner.on_residents_changed(tracker)

    # Reports

    def _request_report(
        self,
        tracker: engine_tracker.EngineTracker,
        retry: Callable[[engine_tracker.EngineTracker], None],
        on_report: Callable[[engine_control.EngineReport], None],
    ) -> None:
        """Request a report, retrying until there is one.

        The report is ignored if the state has changed in the meantime.
        """
        if not self._owner.is_active:
            self._schedule(tracker, RETRY_INTERVAL_MS, retry)
            return
        state = tracker.state

        def on_answer(report: engine_control.EngineReport | None) -> None:
            if tracker.state is not state:
                return
            if report is None:
                self._schedule(tracker, RETRY_INTERVAL_MS, retry)
            else:
                on_report(report)

        self._control.read_report(tracker.record, on_answer)

    def _poll_until_stable(
        self, tracker: engine_tracker.EngineTracker
    ) -> None:
        def on_report(report: engine_control.EngineReport) -> None:
            if not self._is_stable(tracker, report):
                self._schedule(
                    tracker, POLL_INTERVAL_MS, self._poll_until_stable
                )
                return
            tracker.conflicts = 0
            self._apply_report(tracker, report)
            self._owner.on_residents_changed(tracker)
            self._set_ready(tracker)

        self._request_report(tracker, self._poll_until_stable, on_report)

    def _apply_report(
        self,
        tracker: engine_tracker.EngineTracker,
        report: engine_control.EngineReport,
    ) -> None:
        """Replace the tracked state, and log what the report corrects."""
        tracked = tracker.residents()
        tracker.apply_report(report)
        reported = tracker.residents()
        if tracked != reported:
            self._log.write(
                "engine_state_corrected",
                server=tracker.record.server_id,
                order_count=tracker.order_count,
                untracked=sorted(reported - tracked),
                absent=sorted(tracked - reported),
            )

    def _is_stable(
        self,
        tracker: engine_tracker.EngineTracker,
        report: engine_control.EngineReport,
    ) -> bool:
        """Return whether the models in a report match its order count."""
        now_ms = self._clock.now_ms()
        is_changed = report.order_count != tracker.order_count
        tracker.order_count = report.order_count
        if report.is_busy or is_changed or tracker.stable_since_ms is None:
            # A report of a busy engine lacks the outcome of the order.
            tracker.stable_since_ms = None if report.is_busy else now_ms
            return False
        return now_ms - tracker.stable_since_ms >= REPORT_STABLE_MS

    def _verify_order_count(
        self, tracker: engine_tracker.EngineTracker
    ) -> None:
        def on_report(report: engine_control.EngineReport) -> None:
            if report.order_count != tracker.order_count:
                # An order whose response was lost has been executed.
                self._resynchronise(tracker)
            else:
                self._set_ready(tracker)

        self._request_report(tracker, self._verify_order_count, on_report)

    def _poll_load(self, tracker: engine_tracker.EngineTracker) -> None:
        def on_report(report: engine_control.EngineReport) -> None:
            if report.is_busy:
                self._schedule(tracker, POLL_INTERVAL_MS, self._poll_load)
            elif report.order_count == tracker.order_count:
                self._on_loaded(tracker)
            else:
                self._resynchronise(tracker)

        self._request_report(tracker, self._poll_load, on_report)
