"""Issue and settle orders to one engine, one at a time."""

from __future__ import annotations

import dataclasses
import enum
from typing import Protocol
from typing import TYPE_CHECKING

from balsamwall.backend import backend_server
from balsamwall.residency import listing_reader
from balsamwall.results import result_code

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.residency import model_copy
    from balsamwall.timing import clock as clock_module

# Without an answer in this time the outcome of an order counts as unknown.
ANSWER_TIMEOUT_MS = 5_000
# Shortest interval between two fence orders.
FENCE_RETRY_MS = 1_000
# Consecutive failed reads of the listing after which an engine is down.
ENGINE_DOWN_FAILURES = 40


class IssuerState(enum.Enum):
    """List the states of the issuer."""

    STOPPED = "stopped"
    RECOVERING = "recovering"
    READY = "ready"


class OrderOutcome(enum.Enum):
    """List the certain outcomes of a settled order."""

    DONE = "done"
    NOT_DONE = "not_done"


class ListingObserver(Protocol):
    """Receive listings and the end of recovery."""

    def on_listing(
        self, listing: backend_server.EngineListing, requested_ms: int
    ) -> None:
        """Receive a listing, before it settles the open order."""

    def on_issuer_ready(self) -> None:
        """Handle the end of recovery, after the start or a new fence."""


@dataclasses.dataclass(slots=True)
class _OpenOrder:
    """Order that may still take effect."""

    order: backend_server.EngineOrder
    sent_ms: int
    callback: Callable[[OrderOutcome, result_code.ResultCode], None]
    # Lowest number of a listing read after the order was sent or, once it is
    # accepted, after its answer. Earlier listings may show the state before
    # the order.
    min_listing_number: int
    is_accepted: bool = False
    # Fence that was sent so that the engine rejects the order, 0 if none was.
    invalidating_fence: int = 0


class OrderIssuer:
    """Send one order at a time and settle it by the engine's listing.

    An engine that checks fencing tokens must not accept an order after a
    crash if the order was sent before the crash. For this the engine either
    keeps its fence or loses the orders that it had not accepted.
    """

    __slots__ = (
        "_clock",
        "_engine",
        "_fence",
        "_fence_sent_ms",
        "_incarnation",
        "_last_listing",
        "_max_order_delay_ms",
        "_observer",
        "_open_order",
        "_order_number",
        "_reader",
        "_needs_new_fence",
        "_started_ms",
        "_state",
        "_vm",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        engine: backend_server.EngineControl,
        observer: ListingObserver,
        vm: str,
        incarnation: int,
        max_order_delay_ms: int,
    ) -> None:
        self._clock = clock
        self._engine = engine
        self._observer = observer
        self._vm = vm
        self._incarnation = incarnation
        self._max_order_delay_ms = max_order_delay_ms
        self._state = IssuerState.STOPPED
        self._started_ms = 0
        self._fence = 0
        self._needs_new_fence = True
        self._fence_sent_ms: int | None = None
        self._open_order: _OpenOrder | None = None
        self._order_number = 0
        self._last_listing: backend_server.EngineListing | None = None
        self._reader = listing_reader.ListingReader(
            clock, engine, lambda: not self.is_idle, self._on_listing
        )

    @property
    def state(self) -> IssuerState:
        """Return the state of the issuer."""
        return self._state

    @property
    def is_idle(self) -> bool:
        """Return whether an order may be issued now."""
        return self._state is IssuerState.READY and self._open_order is None

    @property
    def open_order(self) -> backend_server.EngineOrder | None:
        """Return the order that may still take effect, or None."""
        return self._open_order.order if self._open_order is not None else None

    @property
    def is_engine_responding(self) -> bool:
        """Return whether recent reads of the listing succeeded."""
        return self._last_listing is not None and self._reader.failures < 3

    @property
    def is_engine_down(self) -> bool:
        """Return whether reads of the listing have failed for long."""
        return self._reader.failures >= ENGINE_DOWN_FAILURES

    def start(self) -> None:
        """Begin recovery and the reading of listings."""
        self._started_ms = self._clock.now_ms()
        self._state = IssuerState.RECOVERING
        self._reader.start()

    def stop(self) -> None:
        """Stop reading the listing and issue no more orders.

        The callback of an open order is not called.
        """
        self._state = IssuerState.STOPPED
        self._reader.stop()

    def issue(
        self,
        action: str,
        spec: model_copy.CopySpec,
        callback: Callable[[OrderOutcome, result_code.ResultCode], None],
    ) -> None:
        """Send an order; call back when its outcome is certain.

        Raise RuntimeError unless `is_idle` is true.
        """
        if not self.is_idle:
            raise RuntimeError(
                "cannot issue an order while one is open or during recovery"
            )
        order = self._make_order(action, spec)
        self._open_order = _OpenOrder(
            order, self._clock.now_ms(), callback, self._reader.next_number
        )
        self._clock.call_later(
            ANSWER_TIMEOUT_MS,
            self._on_answer,
            order.order_id,
            result_code.ResultCode.ORDER_OUTCOME_UNKNOWN,
        )
        self._engine.order(
            order, lambda code: self._on_answer(order.order_id, code)
        )
        self._reader.poll()

    def read_listing(
        self,
        callback: Callable[[backend_server.EngineListing | None], None],
    ) -> None:
        """Call back with a listing that is read after this call."""
        self._reader.wait_for_next(callback)

    def _make_order(
        self, action: str, spec: model_copy.CopySpec
    ) -> backend_server.EngineOrder:
        self._order_number += 1
        return backend_server.EngineOrder(
            f"{self._vm}-{self._incarnation}-{self._order_number}",
            self._fence,
            action,
            spec.name,
            spec.kind,
            spec.version,
            spec.base,
            spec.memory_bytes,
        )

    def _on_answer(self, order_id: str, code: result_code.ResultCode) -> None:
        """Handle the answer or timeout of an order.

        Answers to other orders or after the acceptance are ignored.
        """
        open_order = self._open_order
        if open_order is None or open_order.order.order_id != order_id:
            return
        if open_order.is_accepted or self._state is IssuerState.STOPPED:
            return
        if code is result_code.ResultCode.OK:
            open_order.is_accepted = True
            open_order.min_listing_number = self._reader.next_number
        elif code is result_code.ResultCode.ORDER_STALE_FENCE:
            self._settle(OrderOutcome.NOT_DONE, code)
            self._recover_fence()
        elif code.is_certified_not_run:
            self._settle(OrderOutcome.NOT_DONE, code)
        elif self._is_fence_checked and not open_order.invalidating_fence:
            self._fence += 1
            open_order.invalidating_fence = self._fence
            self._send_fence()
        self._reader.poll()

    @property
    def _is_fence_checked(self) -> bool:
        listing = self._last_listing
        return listing is not None and listing.is_fence_checked

    def _recover_fence(self) -> None:
        """Raise the fence above that of the engine before the next order."""
        self._state = IssuerState.RECOVERING
        self._needs_new_fence = True

    def _send_fence(self) -> None:
        """Send the current fence, at most once per FENCE_RETRY_MS.

        Callers repeat this until a listing shows the fence.
        """
        now_ms = self._clock.now_ms()
        last_ms = self._fence_sent_ms
        if last_ms is not None and now_ms - last_ms < FENCE_RETRY_MS:
            return
        self._fence_sent_ms = now_ms
        self._order_number += 1
        order = backend_server.EngineOrder(
            f"{self._vm}-{self._incarnation}-{self._order_number}",
            self._fence,
            "fence",
            "",
            "",
            "",
            "",
            0,
        )
        self._engine.order(order, lambda code: self._reader.poll())

    def _on_listing(
        self,
        listing: backend_server.EngineListing,
        number: int,
        requested_ms: int,
    ) -> None:
        self._last_listing = listing
        self._observer.on_listing(listing, requested_ms)
        self._check_fence(listing)
        self._settle_by_listing(listing, number, requested_ms)
        if self._state is IssuerState.RECOVERING:
            self._continue_recovery(listing, requested_ms)

    def _check_fence(self, listing: backend_server.EngineListing) -> None:
        """Raise the fence again if a crash of the engine has reset it."""
        if self._state is not IssuerState.READY:
            return
        open_order = self._open_order
        if not listing.is_fence_checked or listing.fence >= self._fence:
            return
        if open_order is not None and open_order.invalidating_fence:
            self._send_fence()
        elif open_order is None:
            self._state = IssuerState.RECOVERING

    def _continue_recovery(
        self, listing: backend_server.EngineListing, requested_ms: int
    ) -> None:
        if self._needs_new_fence:
            self._needs_new_fence = False
            self._fence = max(
                listing.fence + 1, self._fence, self._clock.wall_ms()
            )
            if listing.is_fence_checked:
                self._send_fence()
                return
        if listing.is_fence_checked:
            if listing.fence < self._fence:
                self._send_fence()
                return
            if listing.fence > self._fence:
                self._needs_new_fence = True
                return
        elif requested_ms <= self._started_ms + self._max_order_delay_ms:
            return
        # Accepted orders of an earlier incarnation still change the memory
        # of the engine and must end before the next order.
        if listing.open_orders or self._open_order is not None:
            return
        if any(item.state != "ready" for item in listing.residents):
            return
        self._state = IssuerState.READY
        self._observer.on_issuer_ready()

    def _settle_by_listing(
        self,
        listing: backend_server.EngineListing,
        number: int,
        requested_ms: int,
    ) -> None:
        open_order = self._open_order
        if open_order is None or number < open_order.min_listing_number:
            return
        order = open_order.order
        if order.order_id in listing.open_orders:
            open_order.is_accepted = True
            return
        found = None
        for item in listing.residents:
            if (item.name, item.version) == (order.name, order.version):
                found = item.state
        if order.action == "load":
            is_done, is_under_way = found == "ready", found == "loading"
        elif order.action == "unload":
            is_done, is_under_way = found is None, found == "unloading"
        else:
            is_done = listing.role == order.name
            is_under_way = False
        if is_done:
            self._settle(OrderOutcome.DONE, result_code.ResultCode.OK)
        elif not is_under_way and self._is_expired(
            open_order, listing, requested_ms
        ):
            code = result_code.ResultCode.ORDER_OUTCOME_UNKNOWN
            self._settle(OrderOutcome.NOT_DONE, code)

    def _is_expired(
        self,
        open_order: _OpenOrder,
        listing: backend_server.EngineListing,
        requested_ms: int,
    ) -> bool:
        """Return whether an order can no longer take effect."""
        if open_order.is_accepted:
            return True
        if (
            open_order.invalidating_fence
            and listing.fence >= open_order.invalidating_fence
        ):
            return True
        return requested_ms > open_order.sent_ms + self._max_order_delay_ms

    def _settle(
        self, outcome: OrderOutcome, code: result_code.ResultCode
    ) -> None:
        open_order, self._open_order = self._open_order, None
        if open_order is not None:
            open_order.callback(outcome, code)
