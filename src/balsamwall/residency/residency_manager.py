"""Manage the models and adapters resident on one engine."""

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
from balsamwall.residency import version_rollout
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

# A sent order can take effect for at most this long, unless set otherwise.
MAX_ORDER_DELAY_MS = 30_000
# Steps carry their planning time; older ones come from a paused planner and
# are based on outdated state.
MAX_STEP_AGE_MS = 30_000
# A step identifier divided by this is its planning time in milliseconds.
STEP_IDS_PER_MS = 1_000

_Kind = residency_task.TaskKind
_Code = result_code.ResultCode


@dataclasses.dataclass(slots=True, frozen=True)
class ResidentNames:
    """List the names that an engine serves or is loading."""

    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    loading: tuple[str, ...] = ()


class ResidencyManager:
    """Control which models and adapters are resident on one engine."""

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
        "_rollout",
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
        """Initialize; weights always leave kv_floor_bytes free.

        Raises ValueError if an order could take effect after the retention
        grant that allowed it has expired.
        """
        if max_order_delay_ms + retention.UNLOAD_START_WINDOW_MS >= (
            retention.GRANT_DURATION_MS
        ):
            raise ValueError(
                "maximum order delay is too long for a retention grant"
            )
        self._clock = clock
        self._outbox = outbox
        self._ledger = ledger
        self._vm = vm
        self._random_source = random_source
        self._hooks = hooks or residency_hooks.ResidencyHooks()
        self._permits = permits or permit.UnlimitedPermitSource()
        self._catalogue = model_catalogue.ModelCatalogue()
        self._listeners: list[Callable[[ResidentNames], None]] = []
        self._names = ResidentNames()
        # The first listing is announced even if it is empty, because peers
        # may still list the copies of an earlier incarnation.
        self._is_announced = False
        self._handover: handover.Handover | None = None
        self._retention = retention.RetentionTable(
            clock, outbox, random_source, vm, self._verify_copy
        )
        self._issuer = order_issuer.OrderIssuer(
            clock, engine, self, vm, incarnation, max_order_delay_ms
        )
        self._table = copy_table.CopyTable(
            clock,
            ledger,
            max_order_delay_ms,
            self._on_copies_changed,
            self._pump,
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
        self._rollout = version_rollout.VersionRollout(
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
        """Return the names that the engine serves or is loading."""
        return self._names

    @property
    def is_recovered(self) -> bool:
        """Return whether orders may be issued."""
        return self._issuer.state is order_issuer.IssuerState.READY

    @property
    def has_listing(self) -> bool:
        """Return whether a listing of the engine was read since the start."""
        return self._table.has_listing

    @property
    def ready_versions(self) -> tuple[str, ...]:
        """Return "name@version" of each ready copy, sorted."""
        return tuple(
            sorted(
                f"{copy.spec.name}@{copy.spec.version}"
                for copy in self._table.copies()
                if copy.state is model_copy.CopyState.READY
            )
        )

    @property
    def is_engine_responding(self) -> bool:
        """Return whether recent reads of the engine's listing succeeded."""
        return self._issuer.is_engine_responding

    @property
    def is_leaving(self) -> bool:
        """Return whether a handover was started."""
        return self._handover is not None

    @property
    def handover_missing(self) -> list[str]:
        """Return the names without a grant of another holder."""
        return self._handover.missing if self._handover is not None else []

    @property
    def lost_count(self) -> int:
        """Return the number of copies that disappeared without an order."""
        return self._table.lost_count

    def is_served(self, name: str) -> bool:
        """Return whether new requests may use a name on this engine."""
        return self._table.is_served(name)

    def add_listener(self, listener: Callable[[ResidentNames], None]) -> None:
        """Add a listener that is called on each change of the residents."""
        self._listeners.append(listener)

    def set_configuration(
        self, configuration: tenant_configuration.TenantConfiguration
    ) -> None:
        """Apply the active configuration and reset rollout delays."""
        self._catalogue.set_configuration(configuration)
        self._rollout.retry()
        self._pump()

    def start_recovery(self) -> None:
        """Read the engine's listing; issue orders once recovery has ended."""
        self._issuer.start()
        self._rollout.start()

    def stop(self) -> None:
        """Stop the timers and issue no more orders."""
        self._issuer.stop()
        self._rollout.stop()

    def ensure(
        self,
        name: str,
        urgency: int = urgency_levels.UNREACHABLE,
        on_done: Callable[[result_code.ResultCode], None] | None = None,
    ) -> None:
        """Load a model, or an adapter with its base, unless it is ready."""
        if self._refuse_if_leaving(on_done):
            return
        self._runner.add(_Kind.LOAD, name, "", urgency, on_done)

    def evict(
        self,
        name: str,
        on_done: Callable[[result_code.ResultCode], None] | None = None,
    ) -> None:
        """Unload all versions of a name if another holder grants retention."""
        if self._refuse_if_leaving(on_done):
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
        """Replace one name by another, loading first if both fit."""
        if self._refuse_if_leaving(on_done):
            return
        self._runner.add(
            _Kind.LOAD, new, "", urgency, on_done, replaced_name=old
        )

    def change_role(
        self,
        role: str,
        on_done: Callable[[result_code.ResultCode], None] | None = None,
    ) -> None:
        """Change the role of the engine."""
        if self._refuse_if_leaving(on_done):
            return
        urgency = urgency_levels.DEFERRABLE
        self._runner.add(_Kind.ROLE, role, "", urgency, on_done)

    def start_handover(self, on_done: Callable[[], None]) -> None:
        """Hand every configured name over to other holders, then call back."""
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
        """Handle a message; return whether it concerned residency."""
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
        """Stop waiting for answers of a peer that went down."""
        self._retention.on_peer_down(peer)

    def on_listing(
        self, listing: backend_server.EngineListing, requested_ms: int
    ) -> None:
        """Update the copies from a listing and handle lost ones."""
        if not self.is_recovered:
            self._table.release_hold()
        open_order = self._issuer.open_order
        lost = self._table.on_listing(listing, open_order, requested_ms)
        if not self.is_recovered:
            self._table.hold_for_earlier_orders(
                self._catalogue.largest_weight_bytes()
            )
        for name in lost:
            self._on_copy_lost(name)

    def on_issuer_ready(self) -> None:
        """Release the recovery reserve and start to issue orders."""
        self._table.release_hold()
        self._clock.call_later(0, self._pump)

    def _pump(self) -> None:
        self._runner.pump()

    def _refuse_if_leaving(
        self, on_done: Callable[[result_code.ResultCode], None] | None
    ) -> bool:
        if self._handover is None:
            return False
        if on_done is not None:
            on_done(_Code.LEAVING)
        return True

    def _on_ensure(self, item: messages_residency.EnsureResident) -> None:
        if not self._catalogue.is_configured(item.name):
            return
        level = urgency_levels.UNREACHABLE
        if item.is_urgent:
            level = urgency_levels.UNREACHABLE_URGENT
        self.ensure(item.name, level)

    def _on_step(self, item: messages_residency.PlacementStep) -> None:
        """Execute a planned step unless it is out of date.

        Repeated steps are merged with the queued task.
        """
        planned_ms = item.step_id // STEP_IDS_PER_MS
        if abs(self._clock.wall_ms() - planned_ms) > MAX_STEP_AGE_MS:
            return
        urgency = min(max(item.urgency, 0), urgency_levels.UNREACHABLE_URGENT)
        if item.action == "load" and self._catalogue.is_configured(item.name):
            self.ensure(item.name, urgency)
        elif item.action == "evict":
            self.evict(item.name)
        elif item.action == "swap" and self._catalogue.is_configured(
            item.name
        ):
            self.swap(item.other, item.name, urgency)

    def _verify_copy(
        self, name: str, callback: Callable[[bool], None]
    ) -> None:
        """Call back whether a new listing shows that a name is served."""
        if not self.is_recovered:
            callback(False)
            return

        def on_read(listing: backend_server.EngineListing | None) -> None:
            is_here = listing is not None and self.is_recovered
            callback(is_here and self._table.is_served(name))

        self._issuer.read_listing(on_read)

    def _names_to_hand_over(self) -> list[str] | None:
        """Return the configured names of all copies, None while unknown.

        Copies that are still loading are included, because they may become
        ready during the handover.
        """
        if not self._table.has_listing and not self._issuer.is_engine_down:
            return None
        names = {copy.spec.name for copy in self._table.copies()}
        return sorted(n for n in names if self._catalogue.may_be_configured(n))

    def _on_copy_lost(self, name: str) -> None:
        """Revoke grants of a lost copy; reload it if no other VM has one."""
        if self._table.ready(name) is not None:
            return
        self._retention.on_copy_lost(name)
        if self._handover is not None or not self._catalogue.is_configured(
            name
        ):
            return
        if not self._hooks.holders(name):
            self._runner.add(_Kind.LOAD, name, "", urgency_levels.UNREACHABLE)

    def _on_copies_changed(self) -> None:
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
