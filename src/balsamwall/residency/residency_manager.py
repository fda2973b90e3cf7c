"""Models and adapters of one engine, and the orders that change them."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from balsamwall.protocol import messages_residency
from balsamwall.residency import copy_table
from balsamwall.residency import handover
from balsamwall.residency import model_catalogue
from balsamwall.residency import model_copy
from balsamwall.residency import order_issuer
from balsamwall.residency import permit
from balsamwall.residency import residency_hooks
from balsamwall.residency import residency_task
from balsamwall.residency import retention
from balsamwall.residency import task_runner
from balsamwall.residency import urgency as urgency_levels
from balsamwall.residency import version_roll
from balsamwall.results import result_code

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from balsamwall.backend import backend_server
    from balsamwall.configuration import tenant_configuration
    from balsamwall.protocol import message
    from balsamwall.protocol import outbox as outbox_module
    from balsamwall.residency import memory_ledger
    from balsamwall.timing import clock as clock_module

MAX_ORDER_DELAY_MS = 30_000
# A step names its time of planning; a paused planner's late steps are moves
# that nobody wants any more.
STEP_VALID_MS = 30_000
STEP_IDS_PER_MS = 1_000

_Kind = residency_task.TaskKind
_Code = result_code.ResultCode


@dataclasses.dataclass(slots=True, frozen=True)
class ResidentNames:
    """Names that an engine serves, and those that it is loading."""

    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    loading: tuple[str, ...] = ()


class ResidencyManager:
    """Decide and order what one engine holds."""

    __slots__ = (
        "_catalogue",
        "_clock",
        "_handover",
        "_hooks",
        "_is_announced",
        "_issuer",
        "_ledger",
        "_listeners",
        "_names",
        "_outbox",
        "_permits",
        "_random_source",
        "_retention",
        "_roll",
        "_runner",
        "_table",
        "_vm",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        outbox: outbox_module.Outbox,
        engine: backend_server.EngineControl,
        ledger: memory_ledger.MemoryLedger,
        vm: str,
        incarnation: int,
        random_source: random.Random,
        hooks: residency_hooks.ResidencyHooks | None = None,
        permits: permit.PermitSource | None = None,
        max_order_delay_ms: int = MAX_ORDER_DELAY_MS,
        kv_floor_bytes: int = 0,
    ) -> None:
        """Take kv_floor_bytes, which weights never occupy."""
        if max_order_delay_ms + retention.START_WINDOW_MS >= (
            retention.PROMISE_MS
        ):
            raise ValueError("an order could outlast a retention grant")
        self._clock = clock
        self._outbox = outbox
        self._ledger = ledger
        self._vm = vm
        self._random_source = random_source
        self._hooks = hooks or residency_hooks.ResidencyHooks()
        self._permits = permits or permit.OpenPermitSource()
        self._catalogue = model_catalogue.ModelCatalogue()
        self._listeners: list[Callable[[ResidentNames], None]] = []
        self._names = ResidentNames()
        # The first listing is announced even if it is empty, because peers
        # may know what an earlier incarnation held.
        self._is_announced = False
        self._handover: handover.Handover | None = None
        self._retention = retention.RetentionTable(
            clock, outbox, random_source, vm, self._verify
        )
        self._issuer = order_issuer.OrderIssuer(
            clock, engine, self, vm, incarnation, max_order_delay_ms
        )
        self._table = copy_table.CopyTable(
            clock, ledger, max_order_delay_ms, self._on_change, self._pump
        )
        self._runner = task_runner.TaskRunner(
            clock,
            random_source,
            self._catalogue,
            ledger,
            self._table,
            self._issuer,
            self._retention,
            self._permits,
            self._hooks,
            kv_floor_bytes,
        )
        self._roll = version_roll.VersionRoll(
            clock,
            outbox,
            random_source,
            self._catalogue,
            self._table,
            self._runner,
            self._hooks,
            lambda: self.is_recovered and not self.is_leaving,
        )

    @property
    def residents(self) -> ResidentNames:
        """Return what the engine serves now."""
        return self._names

    @property
    def is_recovered(self) -> bool:
        """Tell whether orders may be issued."""
        return self._issuer.state is order_issuer.IssuerState.READY

    @property
    def has_listing(self) -> bool:
        """Tell whether the engine's listing was read since the start."""
        return self._table.has_listing

    @property
    def ready_versions(self) -> tuple[str, ...]:
        """Return "name@version" of each copy that is ready."""
        return tuple(
            sorted(
                f"{copy.spec.name}@{copy.spec.version}"
                for copy in self._table.copies()
                if copy.state is model_copy.CopyState.READY
            )
        )

    @property
    def is_engine_answering(self) -> bool:
        """Tell whether the engine answers readings of its listing."""
        return self._issuer.is_engine_answering

    @property
    def is_leaving(self) -> bool:
        """Tell whether a handover was started."""
        return self._handover is not None

    @property
    def handover_missing(self) -> list[str]:
        """Return the names that a handover still waits for."""
        return self._handover.missing if self._handover is not None else []

    @property
    def lost_count(self) -> int:
        """Return the number of copies that vanished without an order."""
        return self._table.lost_count

    def is_served(self, name: str) -> bool:
        """Tell whether new requests may use a name here."""
        return self._table.is_served(name)

    def add_listener(self, listener: Callable[[ResidentNames], None]) -> None:
        """Call a listener whenever the residents change."""
        self._listeners.append(listener)

    def set_configuration(
        self, configuration: tenant_configuration.TenantConfiguration
    ) -> None:
        """Take the configuration in force."""
        self._catalogue.set_configuration(configuration)
        self._roll.retry()
        self._pump()

    def start_recovery(self) -> None:
        """Read what the engine holds; give orders when that is certain."""
        self._issuer.start()
        self._roll.start()

    def stop(self) -> None:
        """Stop timers of the manager; give no more orders."""
        self._issuer.stop()
        self._roll.stop()

    def ensure(
        self,
        name: str,
        urgency: int = urgency_levels.UNREACHABLE,
        on_done: Callable[[result_code.ResultCode], None] | None = None,
    ) -> None:
        """Load a model or adapter, with its base, unless it is here."""
        if self._is_refused_leaving(on_done):
            return
        self._runner.add(_Kind.LOAD, name, "", urgency, on_done)

    def evict(
        self,
        name: str,
        on_done: Callable[[result_code.ResultCode], None] | None = None,
    ) -> None:
        """Unload every version of a name, if another holder keeps it."""
        if self._is_refused_leaving(on_done):
            return
        copies = self._table.versions(name)
        if not copies and on_done is not None:
            on_done(_Code.OK)
        for index, copy in enumerate(copies):
            is_last = index == len(copies) - 1
            self._runner.add(
                _Kind.UNLOAD,
                name,
                copy.spec.version,
                urgency_levels.REBALANCING,
                on_done if is_last else None,
            )

    def swap(
        self,
        old: str,
        new: str,
        urgency: int = urgency_levels.REBALANCING,
        on_done: Callable[[result_code.ResultCode], None] | None = None,
    ) -> None:
        """Load one name and drop another, first the load if both fit."""
        if self._is_refused_leaving(on_done):
            return
        self._runner.add(_Kind.LOAD, new, "", urgency, on_done, drop=old)

    def change_role(
        self,
        role: str,
        on_done: Callable[[result_code.ResultCode], None] | None = None,
    ) -> None:
        """Order another role of the engine."""
        if self._is_refused_leaving(on_done):
            return
        urgency = urgency_levels.DEFERRABLE
        self._runner.add(_Kind.ROLE, role, "", urgency, on_done)

    def start_handover(self, on_done: Callable[[], None]) -> None:
        """Make sure that other holders keep everything served here."""
        if self._handover is not None:
            return
        self._retention.set_leaving()
        self._handover = handover.Handover(
            self._clock,
            self._outbox,
            self._retention,
            self._hooks,
            self._names_to_hand_over,
            on_done,
        )
        self._runner.clear()
        self._handover.step()

    def on_message(self, peer: str, item: message.Message) -> bool:
        """Handle a message; tell whether it concerned residency."""
        if isinstance(item, messages_residency.EnsureResident):
            self._on_ensure(item)
            return True
        if isinstance(item, messages_residency.PlacementStep):
            self._on_step(item)
            return True
        if self._retention.on_message(peer, item):
            return True
        return self._permits.on_message(peer, item)

    def on_peer_down(self, peer: str) -> None:
        """Stop waiting for a peer that went down."""
        self._retention.on_peer_down(peer)

    def on_listing(
        self, listing: backend_server.EngineListing, asked_ms: int
    ) -> None:
        """Follow the engine's account."""
        if not self.is_recovered:
            self._table.release_hold()
        opened = self._issuer.open_order
        lost = self._table.on_listing(listing, opened, asked_ms)
        if not self.is_recovered:
            self._table.hold_for_earlier_orders(
                self._catalogue.largest_bytes()
            )
        for name in lost:
            self._on_lost(name)

    def on_issuer_ready(self) -> None:
        """Start to give orders."""
        self._table.release_hold()
        self._clock.call_later(0, self._pump)

    def _pump(self) -> None:
        self._runner.pump()

    def _is_refused_leaving(
        self, on_done: Callable[[result_code.ResultCode], None] | None
    ) -> bool:
        if self._handover is None:
            return False
        if on_done is not None:
            on_done(_Code.LEAVING)
        return True

    def _on_ensure(self, item: messages_residency.EnsureResident) -> None:
        if not self._catalogue.has(item.name):
            return
        level = urgency_levels.UNREACHABLE
        if item.is_urgent:
            level = urgency_levels.UNREACHABLE_URGENT
        self.ensure(item.name, level)

    def _on_step(self, item: messages_residency.PlacementStep) -> None:
        """Check a proposed step; a late or repeated one does no harm."""
        planned_ms = item.step_id // STEP_IDS_PER_MS
        if abs(self._clock.wall_ms() - planned_ms) > STEP_VALID_MS:
            return
        urgency = min(max(item.urgency, 0), urgency_levels.UNREACHABLE_URGENT)
        if item.action == "load" and self._catalogue.has(item.name):
            self.ensure(item.name, urgency)
        elif item.action == "evict":
            self.evict(item.name)
        elif item.action == "swap" and self._catalogue.has(item.name):
            self.swap(item.other, item.name, urgency)

    def _verify(self, name: str, callback: Callable[[bool], None]) -> None:
        """Call back whether the engine serves a name and will keep it."""
        if not self.is_recovered:
            callback(False)
            return

        def on_read(listing: backend_server.EngineListing | None) -> None:
            is_here = listing is not None and self.is_recovered
            callback(is_here and self._table.is_served(name))

        self._issuer.read_listing(on_read)

    def _names_to_hand_over(self) -> list[str] | None:
        """Return what is here, with copies that may just become ready."""
        if not self._table.has_listing and not self._issuer.is_engine_down:
            return None
        names = {copy.spec.name for copy in self._table.copies()}
        return sorted(n for n in names if self._catalogue.must_stay(n))

    def _on_lost(self, name: str) -> None:
        """React to a copy that vanished, as after a crash of the engine."""
        if self._table.ready(name) is not None:
            return
        self._retention.on_copy_lost(name)
        if self._handover is not None or not self._catalogue.has(name):
            return
        if not self._hooks.holders(name):
            self._runner.add(_Kind.LOAD, name, "", urgency_levels.UNREACHABLE)

    def _on_change(self) -> None:
        models: list[str] = []
        adapters: list[str] = []
        loading: list[str] = []
        for copy in self._table.copies():
            name = copy.spec.name
            if copy.state is model_copy.CopyState.LOADING:
                loading.append(name)
            elif self._table.is_served(name):
                kind = adapters if copy.spec.base else models
                if name not in kind:
                    kind.append(name)
        names = ResidentNames(
            tuple(sorted(models)),
            tuple(sorted(adapters)),
            tuple(sorted(loading)),
        )
        if names != self._names or not self._is_announced:
            self._is_announced = self._table.has_listing
            self._names = names
            for listener in self._listeners:
                listener(names)
