"""Issue of orders to one engine, one at a time, and their settlement."""

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

ANSWER_TIMEOUT_MS = 5_000
FENCE_REPEAT_MS = 1_000
ENGINE_DOWN_FAILURES = 40


class IssuerState(enum.Enum):
    """Phase of the issuer."""

    STOPPED = "stopped"
    RECOVERING = "recovering"
    READY = "ready"


class OrderOutcome(enum.Enum):
    """What is certain about an order once it is settled."""

    DONE = "done"
    NOT_DONE = "not_done"


class ListingObserver(Protocol):
    """Receiver of the engine's account."""

    def on_listing(
        self, listing: backend_server.EngineListing, number: int
    ) -> None:
        """Receive a listing before the orders are settled by it."""

    def on_issuer_ready(self) -> None:
        """Learn that orders may be issued, after start or a new fence."""


@dataclasses.dataclass(slots=True)
class _OpenOrder:
    """Order that may still take effect."""

    order: backend_server.EngineOrder
    sent_ms: int
    callback: Callable[[OrderOutcome, result_code.ResultCode], None]
    # Only a listing with this number or a higher one was read after the
    # answer; an earlier one may show the state before the order.
    first_listing: int = 0
    is_accepted: bool = False
    fence_to_kill: int = 0


class OrderIssuer:
    """Send one order at a time and settle it by the engine's listing.

    An engine that checks fencing numbers must not accept, after a crash, an
    order that was sent before the crash: it keeps its fence or loses the
    orders that it had not accepted.
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
        "_open",
        "_order_number",
        "_reader",
        "_reset_fence",
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
        self._reset_fence = True
        self._fence_sent_ms: int | None = None
        self._open: _OpenOrder | None = None
        self._order_number = 0
        self._last_listing: backend_server.EngineListing | None = None
        self._reader = listing_reader.ListingReader(
            clock, engine, lambda: not self.is_idle, self._on_listing
        )

    @property
    def state(self) -> IssuerState:
        """Return the phase."""
        return self._state

    @property
    def is_idle(self) -> bool:
        """Tell whether an order may be issued now."""
        return self._state is IssuerState.READY and self._open is None

    @property
    def open_order(self) -> backend_server.EngineOrder | None:
        """Return the order that may still take effect, or None."""
        return self._open.order if self._open is not None else None

    @property
    def is_engine_answering(self) -> bool:
        """Tell whether the last readings of the listing succeeded."""
        return self._last_listing is not None and self._reader.failures < 3

    @property
    def is_engine_down(self) -> bool:
        """Tell whether readings of the listing have failed for long."""
        return self._reader.failures >= ENGINE_DOWN_FAILURES

    def start(self) -> None:
        """Begin recovery: find out what the engine holds."""
        self._started_ms = self._clock.now_ms()
        self._state = IssuerState.RECOVERING
        self._reader.start()

    def stop(self) -> None:
        """Stop reading the listing and issue no more orders."""
        self._state = IssuerState.STOPPED
        self._reader.stop()

    def issue(
        self,
        action: str,
        spec: model_copy.CopySpec,
        callback: Callable[[OrderOutcome, result_code.ResultCode], None],
    ) -> None:
        """Send an order; raise RuntimeError while another one is open."""
        if not self.is_idle:
            raise RuntimeError("an order is open or recovery has not ended")
        order = self._make_order(action, spec)
        self._open = _OpenOrder(order, self._clock.now_ms(), callback)
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
        """Take an answer; a second one changes nothing."""
        opened = self._open
        if opened is None or opened.order.order_id != order_id:
            return
        if opened.is_accepted or self._state is IssuerState.STOPPED:
            return
        if code is result_code.ResultCode.OK:
            opened.is_accepted = True
            opened.first_listing = self._reader.next_number
        elif code is result_code.ResultCode.ORDER_STALE_FENCE:
            self._settle(OrderOutcome.NOT_DONE, code)
            self._recover_fence()
        elif code.is_certified_not_run:
            self._settle(OrderOutcome.NOT_DONE, code)
        elif self._is_fence_checked and not opened.fence_to_kill:
            self._fence += 1
            opened.fence_to_kill = self._fence
            self._send_fence()
        self._reader.poll()

    @property
    def _is_fence_checked(self) -> bool:
        listing = self._last_listing
        return listing is not None and listing.is_fence_checked

    def _recover_fence(self) -> None:
        """Raise the fence above the engine's before the next order."""
        self._state = IssuerState.RECOVERING
        self._reset_fence = True

    def _send_fence(self) -> None:
        """Order the current fence; repeated until the listing shows it."""
        now_ms = self._clock.now_ms()
        last_ms = self._fence_sent_ms
        if last_ms is not None and now_ms - last_ms < FENCE_REPEAT_MS:
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
        asked_ms: int,
    ) -> None:
        self._last_listing = listing
        self._observer.on_listing(listing, number)
        self._check_fence(listing)
        self._settle_by(listing, number, asked_ms)
        if self._state is IssuerState.RECOVERING:
            self._continue_recovery(listing, asked_ms)

    def _check_fence(self, listing: backend_server.EngineListing) -> None:
        """Raise the fence again after a crash of the engine reset it."""
        if self._state is not IssuerState.READY:
            return
        opened = self._open
        if not listing.is_fence_checked or listing.fence >= self._fence:
            return
        if opened is not None and opened.fence_to_kill:
            self._send_fence()
        elif opened is None:
            self._state = IssuerState.RECOVERING

    def _continue_recovery(
        self, listing: backend_server.EngineListing, asked_ms: int
    ) -> None:
        if self._reset_fence:
            self._reset_fence = False
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
                self._reset_fence = True
                return
        elif asked_ms <= self._started_ms + self._max_order_delay_ms:
            return
        # Orders of the earlier incarnation that the engine has accepted
        # still change its memory; they end before the next order.
        if listing.open_orders or self._open is not None:
            return
        if any(item.state != "ready" for item in listing.residents):
            return
        self._state = IssuerState.READY
        self._observer.on_issuer_ready()

    def _settle_by(
        self,
        listing: backend_server.EngineListing,
        number: int,
        asked_ms: int,
    ) -> None:
        opened = self._open
        if opened is None:
            return
        order = opened.order
        if order.order_id in listing.open_orders:
            opened.is_accepted = True
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
        elif not is_under_way and self._is_dead(
            opened, listing, number, asked_ms
        ):
            code = result_code.ResultCode.ORDER_OUTCOME_UNKNOWN
            self._settle(OrderOutcome.NOT_DONE, code)

    def _is_dead(
        self,
        opened: _OpenOrder,
        listing: backend_server.EngineListing,
        number: int,
        asked_ms: int,
    ) -> bool:
        """Tell whether an order without effect can have none later."""
        if opened.is_accepted:
            return number >= opened.first_listing
        if opened.fence_to_kill and listing.fence >= opened.fence_to_kill:
            return True
        return asked_ms > opened.sent_ms + self._max_order_delay_ms

    def _settle(
        self, outcome: OrderOutcome, code: result_code.ResultCode
    ) -> None:
        opened, self._open = self._open, None
        if opened is not None:
            opened.callback(outcome, code)
