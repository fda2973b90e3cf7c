"""Track the copies on one engine and the memory charged for them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.residency import model_copy

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.backend import backend_server
    from balsamwall.residency import memory_ledger
    from balsamwall.timing import clock as clock_module

# Ledger key of the memory that requests of an earlier incarnation use.
EARLIER_REQUESTS_KEY = "engine:earlier"
# Ledger key of the memory reserved for loads that an earlier incarnation
# may have ordered.
RECOVERY_HOLD_KEY = "recovery:hold"


class CopyTable:
    """Track the copies in the engine's listing and charge their memory.

    The charge of a removed copy is released only when a listing no longer
    contains the copy and was read after the last time at which a duplicate of
    its load order could arrive.
    """

    __slots__ = (
        "_listing_requested_ms",
        "_clock",
        "_copies",
        "_has_listing",
        "_ledger",
        "_load_sent_ms",
        "_lost_count",
        "_max_order_delay_ms",
        "_on_change",
        "_on_release",
        "_removed",
        "_listed_keys",
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
        # Removed copies that are still charged, by ledger key.
        self._removed: dict[str, model_copy.CopySpec] = {}
        # Request time and content of the last listing.
        self._listing_requested_ms = 0
        self._listed_keys: set[model_copy.CopyKey] = set()
        self._has_listing = False
        self._lost_count = 0

    @property
    def has_listing(self) -> bool:
        """Return whether a listing was read since the start."""
        return self._has_listing

    @property
    def lost_count(self) -> int:
        """Return the number of copies that disappeared without an order."""
        return self._lost_count

    @property
    def weight_bytes(self) -> int:
        """Return the charges of all copies and of removed ones in bytes."""
        keys = {copy.spec.ledger_key for copy in self._copies.values()}
        return sum(
            self._ledger.charged_bytes(key)
            for key in keys | self._removed.keys()
        )

    def removed_charge_bytes(self, spec: model_copy.CopySpec) -> int:
        """Return what is still charged for a removed copy in bytes."""
        if spec.ledger_key not in self._removed:
            return 0
        return self._ledger.charged_bytes(spec.ledger_key)

    def get(self, key: model_copy.CopyKey) -> model_copy.ModelCopy | None:
        """Return a copy, or None."""
        return self._copies.get(key)

    def copies(self) -> list[model_copy.ModelCopy]:
        """Return all copies."""
        return list(self._copies.values())

    def versions(self, name: str) -> list[model_copy.ModelCopy]:
        """Return the copies of a name in all versions and states."""
        return [c for c in self._copies.values() if c.spec.name == name]

    def ready(self, name: str) -> model_copy.ModelCopy | None:
        """Return a ready copy that was not withdrawn, or None."""
        for copy in self.versions(name):
            if copy.state is model_copy.CopyState.READY:
                if not copy.is_withdrawn:
                    return copy
        return None

    def is_served(self, name: str) -> bool:
        """Return whether a name and its base model are ready."""
        copy = self.ready(name)
        if copy is None:
            return False
        return not copy.spec.base or self.ready(copy.spec.base) is not None

    def dependents(self, base: str) -> list[model_copy.ModelCopy]:
        """Return the adapters of a base model."""
        return [c for c in self._copies.values() if c.spec.base == base]

    def may_gain_dependents(self, base: str) -> bool:
        """Return whether a repeated order could load an adapter of a base."""
        return any(spec.base == base for spec in self._removed.values())

    def begin_load(self, spec: model_copy.CopySpec) -> None:
        """Record that a load order is sent; its memory is charged already."""
        state = model_copy.CopyState.LOADING
        self._copies[spec.key] = model_copy.ModelCopy(spec, state)
        self._removed.pop(spec.ledger_key, None)
        self._load_sent_ms[spec.ledger_key] = self._clock.now_ms()
        self._on_change()

    def begin_unload(self, key: model_copy.CopyKey) -> None:
        """Record that an unload order is sent."""
        self._copies[key].state = model_copy.CopyState.UNLOADING
        self._on_change()

    def mark_unload_failed(self, key: model_copy.CopyKey) -> None:
        """Record that an unload had no effect and can have none later."""
        copy = self._copies.get(key)
        if copy is not None:
            copy.state = model_copy.CopyState.READY
            copy.is_withdrawn = False
            self._on_change()

    def set_withdrawn(
        self, key: model_copy.CopyKey, is_withdrawn: bool
    ) -> None:
        """Stop or resume the use of a copy for new requests."""
        copy = self._copies.get(key)
        if copy is not None and copy.is_withdrawn != is_withdrawn:
            copy.is_withdrawn = is_withdrawn
            self._on_change()

    def remove(self, key: model_copy.CopyKey) -> None:
        """Remove a copy that is no longer in the listing."""
        copy = self._copies.pop(key, None)
        if copy is None:
            return
        self._removed[copy.spec.ledger_key] = copy.spec
        self._release_removed()
        self._on_change()

    def release_unordered(self, spec: model_copy.CopySpec) -> None:
        """Release memory that was charged for a load but never ordered."""
        key = spec.ledger_key
        if spec.key not in self._copies and key not in self._removed:
            self._ledger.release(key)

    def on_listing(
        self,
        listing: backend_server.EngineListing,
        open_order: backend_server.EngineOrder | None,
        requested_ms: int,
    ) -> list[str]:
        """Update from a listing; return names that disappeared unordered."""
        self._ledger.set_capacity(listing.capacity_bytes)
        target = None
        if open_order is not None and open_order.action != "role":
            target = (open_order.name, open_order.version)
        is_first = not self._has_listing
        is_changed = is_first
        self._has_listing = True
        self._listing_requested_ms = requested_ms
        self._listed_keys = {(r.name, r.version) for r in listing.residents}
        for item in listing.residents:
            if self._update_copy(item, target):
                is_changed = True
        lost = []
        for key in list(self._copies):
            if key not in self._listed_keys and key != target:
                lost.append(key[0])
                self.remove(key)
        self._lost_count += len(lost)
        self._release_removed()
        self._charge_earlier_requests(listing, is_first)
        if is_changed:
            self._on_change()
        return lost

    def hold_for_earlier_orders(self, size_bytes: int | None) -> None:
        """Reserve memory for a load ordered by an earlier incarnation.

        None reserves all free memory, because the size is not known.
        """
        size = self._ledger.free_bytes if size_bytes is None else size_bytes
        self._ledger.charge_up_to(RECOVERY_HOLD_KEY, size)

    def release_hold(self) -> None:
        """Release the memory reserved for earlier orders."""
        self._ledger.release(RECOVERY_HOLD_KEY)

    def _update_copy(
        self,
        item: backend_server.Resident,
        target: model_copy.CopyKey | None,
    ) -> bool:
        """Update one copy from a listing; return whether it changed."""
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
            self._removed.pop(spec.ledger_key, None)
            self._ledger.charge_existing(spec.ledger_key, item.memory_bytes)
            return True
        self._ledger.charge_existing(copy.spec.ledger_key, item.memory_bytes)
        is_unloading = copy.state is model_copy.CopyState.UNLOADING
        if copy.state is state or (is_unloading and key == target):
            return False
        copy.state = state
        if state is model_copy.CopyState.READY:
            copy.ready_ms = self._clock.now_ms()
        return True

    def _charge_earlier_requests(
        self, listing: backend_server.EngineListing, is_first: bool
    ) -> None:
        """Charge memory still used by requests of an earlier incarnation."""
        shown = sum(item.memory_bytes for item in listing.residents)
        other = max(0, listing.used_bytes - shown)
        if is_first:
            self._ledger.charge_existing(EARLIER_REQUESTS_KEY, other)
        elif other == 0:
            self._ledger.release(EARLIER_REQUESTS_KEY)
        else:
            self._ledger.shrink(EARLIER_REQUESTS_KEY, other)

    def _release_removed(self) -> None:
        """Release charges of removed copies that can no longer reappear."""
        released = False
        for ledger_key, spec in list(self._removed.items()):
            sent_ms = self._load_sent_ms.get(ledger_key)
            if spec.key in self._listed_keys:
                continue
            if sent_ms is not None and self._listing_requested_ms <= (
                sent_ms + self._max_order_delay_ms
            ):
                continue
            del self._removed[ledger_key]
            self._load_sent_ms.pop(ledger_key, None)
            self._ledger.release(ledger_key)
            released = True
        if released:
            self._on_release()
