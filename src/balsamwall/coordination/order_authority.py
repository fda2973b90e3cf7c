"""Right of this process to coordinate the entries and to order engines."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.coordination import leased_orders as leased_orders_module
    from balsamwall.logs import decision_log
    from balsamwall.placement import lease_keeper
    from balsamwall.timing import clock as clock_module

# Longest time without the lease during which a term may continue.
# A longer outage of the store is treated as a partition of this VM alone.
MAX_WITHOUT_LEASE_MS = 30_000


class OrderAuthority:
    """Decide whether a term goes on, and whether orders may be sent.

    A term is the time during which this process is the active coordinator.
    Load pattern: the lease ends, since the store is away from all entries or
    turns this one away. The term goes on as long as most entries stay
    connected, so that they get answers. Orders go on only where engines reject
    those of a former coordinator: who is connected tells nothing of an entry
    that has just started and may hold the lease.
    """

    __slots__ = (
        "_clock",
        "_count_entries",
        "_entries_with_lease",
        "_fenced_revision",
        "_has_lease",
        "_is_in_term",
        "_is_store_connected",
        "_lease",
        "_lease_held_ms",
        "_leased_orders",
        "_log",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        lease: lease_keeper.LeaseKeeper,
        count_entries: Callable[[], int],
        is_store_connected: Callable[[], bool],
        log: decision_log.DecisionLog,
        leased_orders: leased_orders_module.LeasedOrders | None,
    ) -> None:
        """Set the lease, and what counts the connected entries.

        `leased_orders` is None where engines check fencing tokens.
        """
        self._clock = clock
        self._lease = lease
        self._count_entries = count_entries
        self._is_store_connected = is_store_connected
        self._log = log
        self._leased_orders = leased_orders
        self._lease_held_ms = 0
        self._entries_with_lease = 0
        self._has_lease = False
        # Newest token that an engine has rejected, 0 for none.
        self._fenced_revision = 0
        self._is_in_term = False

    @property
    def is_in_term(self) -> bool:
        """Return whether a term has begun, and was not found to have ended."""
        return self._is_in_term

    @property
    def may_coordinate(self) -> bool:
        """Return whether this process may answer the entries."""
        if self._lease.revision <= self._fenced_revision:
            return False
        return self._lease.is_held or self._may_continue_without_lease()

    @property
    def fencing_token(self) -> int:
        """Return the fencing token for orders, 0 if none may be sent.

        Engines that check tokens reject those below one they have seen, so
        that there the lease only avoids wasted work.
        """
        leased_orders = self._leased_orders
        if leased_orders is not None and not leased_orders.may_send:
            return 0
        return self._lease.revision if self.may_coordinate else 0

    @property
    def send_by_ms(self) -> int | None:
        """Return until when an order may be sent, None without a bound."""
        if self._leased_orders is None:
            return None
        return self._leased_orders.send_by_ms

    def update(self) -> bool:
        """Begin or end the term; return whether that has changed."""
        if self._leased_orders is not None:
            self._leased_orders.update()
        has_lease = self._lease.is_held
        if has_lease:
            self._lease_held_ms = self._clock.now_ms()
            self._entries_with_lease = self._count_entries()
        may_coordinate = self.may_coordinate
        if may_coordinate and has_lease != self._has_lease:
            self._log_lease(has_lease)
        self._has_lease = has_lease
        if may_coordinate == self._is_in_term:
            return False
        self._is_in_term = may_coordinate
        self._log.write(
            "orders_taken" if may_coordinate else "orders_given_up",
            token=self._lease.revision,
        )
        return True

    def on_fenced(self) -> None:
        """Stop sending orders: an engine has seen a newer fencing token."""
        self._log.write("orders_fenced", token=self._lease.revision)
        self._fenced_revision = self._lease.revision

    def _may_continue_without_lease(self) -> bool:
        """Return whether the term continues after the lease has expired."""
        if not self._is_in_term or self._is_store_connected():
            return False
        # Entries that reach the store disconnect to follow a new coordinator.
        if self._count_entries() * 2 <= self._entries_with_lease:
            return False
        return (
            self._clock.now_ms() - self._lease_held_ms < MAX_WITHOUT_LEASE_MS
        )

    def _log_lease(self, has_lease: bool) -> None:
        self._log.write(
            "term_with_lease" if has_lease else "term_without_lease",
            token=self._lease.revision,
            entries=self._count_entries(),
            entries_with_lease=self._entries_with_lease,
            order_token=self.fencing_token,
        )
