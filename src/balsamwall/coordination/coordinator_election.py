"""Election of the coordinator by a lease in the store."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

from returns.result import Success

from balsamwall.coordination import election_delay
from balsamwall.placement import lease_keeper

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from balsamwall.infrastructure import key_value_service
    from balsamwall.timing import clock as clock_module

# Key of the lease whose holder, the coordinator, sends orders to engines.
COORDINATOR_KEY = "balsamwall/order-holder"
# Key with the last era of the store in which a coordinator was elected.
ELECTED_ERA_KEY = "balsamwall/elected-era"
MAX_ERA_DIGITS = 18
LEASE_RENEW_INTERVAL_MS = 700
# All entries start together. The first attempts to acquire the lease are
# spread over this time, so that most entries see a holder before they try.
ELECTION_SPREAD_MS = 400
# The coordinator stops this long before its lease may expire in the store.
# It exceeds engine_control.ORDER_TIMEOUT_MS, so that the last order arrives
# before another process can hold the lease.
LEASE_MARGIN_MS = 500


class StoreState(Protocol):
    """State of the connection to the store."""

    @property
    def is_connected(self) -> bool:
        """Return whether the last call received a response."""

    @property
    def is_synced(self) -> bool:
        """Return whether all keys have been read at least once."""

    @property
    def era(self) -> int:
        """Return the era of the store, 0 if it states none."""

    def add_restore_listener(self, listener: Callable[[], None]) -> None:
        """Call back when the store returns from a copy, before it is read."""


class CoordinatorElection:
    """Acquire the lease while there is no coordinator, and follow its record.

    An entry that is stopping, or has not read the store yet, is no candidate.

    Load pattern: an entry starts while the store has just been restored, and
    an earlier holder does not know of it. The new entry has seen no restore;
    it delays its election unless one has taken place in this era.
    """

    __slots__ = (
        "_address",
        "_clock",
        "_connection",
        "_delay",
        "_elected_era",
        "_holder",
        "_is_stopping",
        "_on_holder",
        "_own_restored_revision",
        "_random",
        "_store",
        "_written_era",
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
        release_delay_ms: int,
    ) -> None:
        """Set the own address, and whom to tell that of each coordinator.

        It is empty while there is none. The lease is revoked after
        `release_delay_ms` once this process is no candidate any more.
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
        self._elected_era = 0
        self._written_era = 0  # by this process
        # Revision of a restored record that names this process, 0 for none.
        self._own_restored_revision = 0
        self.lease = lease_keeper.LeaseKeeper(
            clock,
            store,
            COORDINATOR_KEY,
            address,
            self._is_candidate,
            lease_keeper.LeaseTimes(
                lease_ms,
                LEASE_RENEW_INTERVAL_MS,
                LEASE_MARGIN_MS,
                release_delay_ms,
            ),
            self._expected_revision,
        )

    def follow(self) -> None:
        """Follow the record of the coordinator, and restores of the store."""
        self._connection.add_restore_listener(self._on_store_restored)
        self._store.watch(ELECTED_ERA_KEY, self._on_elected_era)
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
            self._record_era()
            return True
        if self._holder and not self._own_restored_revision:
            return False
        is_era_new = self._connection.era != self._elected_era
        if is_era_new and not self._delay.has_begun:
            self._delay.on_restored(is_holder=False)
        return self._delay.is_over

    def _expected_revision(self) -> int | None:
        """Return the revision at which to write the record, None for not.

        The grant of the lease may have shown that the store was restored.
        """
        return self._own_restored_revision if self._is_candidate() else None

    def _on_store_restored(self) -> None:
        self._delay.on_restored(is_holder=self.lease.is_held)

    def _on_record(self, item: key_value_service.KeyValue) -> None:
        self._holder = (item.value or b"").decode("utf-8", "replace")
        is_own = item.is_restored and self._holder == self._address
        self._own_restored_revision = item.revision if is_own else 0
        self._on_holder(self._holder)

    def _on_elected_era(self, item: key_value_service.KeyValue) -> None:
        text = item.value or b""
        is_number = text.isdigit() and len(text) <= MAX_ERA_DIGITS
        self._elected_era = int(text) if is_number else 0

    def _record_era(self) -> None:
        """Record the era of an election that this process has won.

        A record that is lost, or written late in another era, only delays the
        election of an entry that starts later.
        """
        era = self._connection.era
        if era in (self._elected_era, self._written_era):
            return
        self._written_era = era
        self._store.put(ELECTED_ERA_KEY, b"%d" % era, self._on_era_written)

    def _on_era_written(
        self, result: key_value_service.RevisionResult
    ) -> None:
        if not isinstance(result, Success):
            self._written_era = 0
