"""Election of the coordinator by a lease in the store."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

from balsamwall.coordination import election_delay
from balsamwall.placement import lease_keeper

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from balsamwall.infrastructure import key_value_service
    from balsamwall.timing import clock as clock_module

# Key of the lease whose holder, the coordinator, sends orders to engines.
COORDINATOR_KEY = "balsamwall/order-holder"
LEASE_RENEW_INTERVAL_MS = 700
# All entries start together. The first attempts to acquire the lease are
# spread over this time, so that most entries see a holder before they try.
ELECTION_SPREAD_MS = 400
# The coordinator stops this long before its lease may expire in the store.
LEASE_MARGIN_MS = 500


class StoreState(Protocol):
    """State of the connection to the store."""

    @property
    def is_connected(self) -> bool:
        """Return whether the last call received a response."""

    @property
    def is_synced(self) -> bool:
        """Return whether all keys have been read at least once."""

    def add_restore_listener(self, listener: Callable[[], None]) -> None:
        """Call back when the store returns from a copy, before it is read."""


class CoordinatorElection:
    """Acquire the lease while there is no coordinator, and follow its record.

    An entry that is stopping, or has not read the store yet, is no candidate.
    """

    __slots__ = (
        "_address",
        "_clock",
        "_connection",
        "_delay",
        "_holder",
        "_is_stopping",
        "_on_holder",
        "_own_restored_revision",
        "_random",
        "_store",
        "lease",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        random_source: random.Random,
        store: key_value_service.KeyValueService,
        connection: StoreState,
        address: str,
        lease_ms: int,
        on_holder: Callable[[str], None],
    ) -> None:
        """Set the own address, and whom to tell that of each coordinator.

        It is empty while there is none.
        """
        self._clock = clock
        self._random = random_source
        self._store = store
        self._connection = connection
        self._address = address
        self._on_holder = on_holder
        self._is_stopping = False
        self._holder = ""
        self._delay = election_delay.ElectionDelay(clock, lease_ms)
        # Revision of a restored record that names this process, 0 for none.
        self._own_restored_revision = 0
        self.lease = lease_keeper.LeaseKeeper(
            clock,
            store,
            COORDINATOR_KEY,
            address,
            self._is_candidate,
            lease_keeper.LeaseTimes(
                lease_ms, LEASE_RENEW_INTERVAL_MS, LEASE_MARGIN_MS
            ),
            lambda: self._own_restored_revision,
        )

    def follow(self) -> None:
        """Follow the record of the coordinator, and restores of the store."""
        self._connection.add_restore_listener(self._on_store_restored)
        self._store.watch(COORDINATOR_KEY, self._on_record)

    def start(self) -> None:
        """Begin to acquire the lease after a random delay."""
        self._clock.call_later(
            int(ELECTION_SPREAD_MS * self._random.random()), self.lease.start
        )

    def stop(self) -> None:
        """Be no candidate any more; a lease that is held is released."""
        self._is_stopping = True

    @property
    def is_store_available(self) -> bool:
        """Return whether the store can confirm who is coordinator.

        A failed lease renewal reveals the loss of the store sooner than the
        watch, which is idle most of the time.
        """
        is_failing = self.lease.is_renewal_failing
        return self._connection.is_connected and not is_failing

    def _is_candidate(self) -> bool:
        """Return whether this entry may become or stay coordinator."""
        if self._is_stopping or not self._connection.is_synced:
            return False
        if self.lease.is_held:
            return True
        if self._holder and not self._own_restored_revision:
            return False
        return self._delay.is_over

    def _on_store_restored(self) -> None:
        self._delay.on_restored(is_holder=self.lease.is_held)

    def _on_record(self, item: key_value_service.KeyValue) -> None:
        self._holder = (item.value or b"").decode("utf-8", "replace")
        is_own = item.is_restored and self._holder == self._address
        self._own_restored_revision = item.revision if is_own else 0
        self._on_holder(self._holder)
