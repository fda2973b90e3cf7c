"""Copies on one engine and the memory charged for them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.residency import model_copy

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.backend import backend_server
    from balsamwall.residency import memory_ledger
    from balsamwall.timing import clock as clock_module

EARLIER_KEY = "engine:earlier"
HOLD_KEY = "recovery:hold"


class CopyTable:
    """Follow the engine's listing; release charges only after it.

    The charge of a removed copy stays until a listing that was read when no
    duplicate of its load order could arrive any more does not show it.
    """

    __slots__ = (
        "_asked_ms",
        "_clock",
        "_copies",
        "_has_listing",
        "_ledger",
        "_load_sent_ms",
        "_lost",
        "_max_order_delay_ms",
        "_on_change",
        "_on_release",
        "_remains",
        "_shown",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        ledger: memory_ledger.MemoryLedger,
        max_order_delay_ms: int,
        on_change: Callable[[], None],
        on_release: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._ledger = ledger
        self._max_order_delay_ms = max_order_delay_ms
        self._on_change = on_change
        self._on_release = on_release
        self._copies: dict[model_copy.CopyKey, model_copy.ModelCopy] = {}
        self._load_sent_ms: dict[str, int] = {}
        # Charges of copies that are gone, by ledger key.
        self._remains: dict[str, model_copy.CopySpec] = {}
        # Time and content of the last listing.
        self._asked_ms = 0
        self._shown: set[model_copy.CopyKey] = set()
        self._has_listing = False
        self._lost = 0

    @property
    def has_listing(self) -> bool:
        """Tell whether the engine's account was read since the start."""
        return self._has_listing

    @property
    def lost_count(self) -> int:
        """Return the number of copies that vanished without an order."""
        return self._lost

    @property
    def weight_bytes(self) -> int:
        """Return the charges of all copies, and of those just removed."""
        keys = {copy.spec.ledger_key for copy in self._copies.values()}
        return sum(
            self._ledger.charged_bytes(key)
            for key in keys | self._remains.keys()
        )

    def remaining_bytes(self, spec: model_copy.CopySpec) -> int:
        """Return what is still charged for a removed copy, in bytes."""
        if spec.ledger_key not in self._remains:
            return 0
        return self._ledger.charged_bytes(spec.ledger_key)

    def get(self, key: model_copy.CopyKey) -> model_copy.ModelCopy | None:
        """Return a copy, or None."""
        return self._copies.get(key)

    def copies(self) -> list[model_copy.ModelCopy]:
        """Return all copies."""
        return list(self._copies.values())

    def versions(self, name: str) -> list[model_copy.ModelCopy]:
        """Return the copies of a name."""
        return [c for c in self._copies.values() if c.spec.name == name]

    def ready(self, name: str) -> model_copy.ModelCopy | None:
        """Return a ready copy that was not withdrawn, or None."""
        for copy in self.versions(name):
            if copy.state is model_copy.CopyState.READY:
                if not copy.is_withdrawn:
                    return copy
        return None

    def is_served(self, name: str) -> bool:
        """Tell whether a name is ready, and its base model with it."""
        copy = self.ready(name)
        if copy is None:
            return False
        return not copy.spec.base or self.ready(copy.spec.base) is not None

    def dependents(self, base: str) -> list[model_copy.ModelCopy]:
        """Return the adapters of a base model."""
        return [c for c in self._copies.values() if c.spec.base == base]

    def may_gain_dependents(self, base: str) -> bool:
        """Tell whether a repeated order could load an adapter of a base."""
        return any(spec.base == base for spec in self._remains.values())

    def begin_load(self, spec: model_copy.CopySpec) -> None:
        """Note that a load order is sent; its memory is charged."""
        state = model_copy.CopyState.LOADING
        self._copies[spec.key] = model_copy.ModelCopy(spec, state)
        self._remains.pop(spec.ledger_key, None)
        self._load_sent_ms[spec.ledger_key] = self._clock.now_ms()
        self._on_change()

    def begin_unload(self, key: model_copy.CopyKey) -> None:
        """Note that an unload order is sent."""
        self._copies[key].state = model_copy.CopyState.UNLOADING
        self._on_change()

    def unload_failed(self, key: model_copy.CopyKey) -> None:
        """Note that an unload had no effect and can have none later."""
        copy = self._copies.get(key)
        if copy is not None:
            copy.state = model_copy.CopyState.READY
            copy.is_withdrawn = False
            self._on_change()

    def withdraw(self, key: model_copy.CopyKey, is_withdrawn: bool) -> None:
        """Stop or resume offering a copy to new requests."""
        copy = self._copies.get(key)
        if copy is not None and copy.is_withdrawn != is_withdrawn:
            copy.is_withdrawn = is_withdrawn
            self._on_change()

    def remove(self, key: model_copy.CopyKey) -> None:
        """Remove a copy that a listing no longer shows."""
        copy = self._copies.pop(key, None)
        if copy is None:
            return
        self._remains[copy.spec.ledger_key] = copy.spec
        self._release_remains()
        self._on_change()

    def drop_claim(self, spec: model_copy.CopySpec) -> None:
        """Release memory charged for a load that was not ordered."""
        key = spec.ledger_key
        if spec.key not in self._copies and key not in self._remains:
            self._ledger.release(key)

    def on_listing(
        self,
        listing: backend_server.EngineListing,
        open_order: backend_server.EngineOrder | None,
        asked_ms: int,
    ) -> list[str]:
        """Follow a listing; return names that vanished without an order."""
        self._ledger.set_capacity(listing.capacity_bytes)
        target = None
        if open_order is not None and open_order.action != "role":
            target = (open_order.name, open_order.version)
        is_first = not self._has_listing
        is_changed = is_first
        self._has_listing = True
        self._asked_ms = asked_ms
        self._shown = {(r.name, r.version) for r in listing.residents}
        for item in listing.residents:
            if self._follow(item, target):
                is_changed = True
        lost = []
        for key in list(self._copies):
            if key not in self._shown and key != target:
                lost.append(key[0])
                self.remove(key)
        self._lost += len(lost)
        self._release_remains()
        self._charge_earlier(listing, is_first)
        if is_changed:
            self._on_change()
        return lost

    def hold_for_earlier_orders(self, size_bytes: int | None) -> None:
        """Keep memory free for a load of an earlier incarnation.

        None holds all that is free, because no size is known.
        """
        size = self._ledger.free_bytes if size_bytes is None else size_bytes
        self._ledger.charge_up_to(HOLD_KEY, size)

    def release_hold(self) -> None:
        """Release the memory held for earlier orders."""
        self._ledger.release(HOLD_KEY)

    def _follow(
        self,
        item: backend_server.Resident,
        target: model_copy.CopyKey | None,
    ) -> bool:
        """Follow one line of a listing; tell whether the copy changed."""
        key = (item.name, item.version)
        state = model_copy.CopyState(item.state)
        copy = self._copies.get(key)
        if copy is None:
            spec = model_copy.CopySpec(
                item.name,
                item.kind,
                item.version,
                item.base,
                item.memory_bytes,
            )
            copy = model_copy.ModelCopy(spec, state)
            copy.ready_ms = self._clock.now_ms()
            self._copies[key] = copy
            self._remains.pop(spec.ledger_key, None)
            self._ledger.adopt(spec.ledger_key, item.memory_bytes)
            return True
        self._ledger.adopt(copy.spec.ledger_key, item.memory_bytes)
        is_unloading = copy.state is model_copy.CopyState.UNLOADING
        if copy.state is state or (is_unloading and key == target):
            return False
        copy.state = state
        if state is model_copy.CopyState.READY:
            copy.ready_ms = self._clock.now_ms()
        return True

    def _charge_earlier(
        self, listing: backend_server.EngineListing, is_first: bool
    ) -> None:
        """Charge what requests of an earlier incarnation still use."""
        shown = sum(item.memory_bytes for item in listing.residents)
        other = max(0, listing.used_bytes - shown)
        if is_first:
            self._ledger.adopt(EARLIER_KEY, other)
        elif other == 0:
            self._ledger.release(EARLIER_KEY)
        else:
            self._ledger.shrink(EARLIER_KEY, other)

    def _release_remains(self) -> None:
        """Release charges that the last listing shows to be unused."""
        released = False
        for ledger_key, spec in list(self._remains.items()):
            sent_ms = self._load_sent_ms.get(ledger_key)
            if spec.key in self._shown:
                continue
            if sent_ms is not None and self._asked_ms <= (
                sent_ms + self._max_order_delay_ms
            ):
                continue
            del self._remains[ledger_key]
            self._load_sent_ms.pop(ledger_key, None)
            self._ledger.release(ledger_key)
            released = True
        if released:
            self._on_release()
