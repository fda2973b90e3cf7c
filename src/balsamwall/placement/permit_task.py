"""Granting of weight store permits without a central process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.placement import permit_pool
from balsamwall.protocol import messages_residency

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.placement import lease_keeper
    from balsamwall.protocol import message
    from balsamwall.protocol import outbox as outbox_module
    from balsamwall.timing import clock as clock_module

# Interval at which each pool checks whether it is active.
REFRESH_INTERVAL_MS = 1_000
# A request identifier modulo this value is 0 for the pool of the lease holder
# and k for share k - 1.
POOL_ID_MODULUS = 64


def split_limits(
    rate_per_s: float, concurrency: int
) -> tuple[tuple[float, int], tuple[float, int]]:
    """Return (rate, concurrency) of the lease and (rate, count) of shares.

    A third of the concurrency, at least one, is reserved for fixed shares,
    which run one load at a time each and need no key-value service. Lease
    holder and shares together stay within the limit, even while permits of
    one are in use and the other takes over. Rates are in loads per second,
    that of the shares for each share. With a concurrency of 1 the only permit
    belongs to a share.
    """
    shares = max(1, concurrency // 3)
    if shares == concurrency:
        return (0.0, 0), (rate_per_s, 1)
    share_rate = rate_per_s / 3 / shares
    lease_rate = rate_per_s - share_rate * shares
    return (lease_rate, concurrency - shares), (share_rate, shares)


class PermitTask:
    """Grant permits while holding the lease or owning a fixed share."""

    __slots__ = ("_clock", "_lease_pool", "_share_pools", "_timer")

    def __init__(
        self,
        clock: clock_module.Clock,
        outbox: outbox_module.Outbox,
        lease: lease_keeper.LeaseKeeper,
        rate_per_s: float,
        concurrency: int,
        owns_share: Callable[[int], bool],
    ) -> None:
        """Create the pools; `owns_share` selects the shares of this VM.

        Owners are selected by rendezvous hashing over the VM list.
        """
        self._clock = clock
        self._timer: clock_module.Timer | None = None
        lease_limits, (share_rate, shares) = split_limits(
            rate_per_s, concurrency
        )
        self._lease_pool = permit_pool.PermitPool(
            clock,
            outbox,
            lease_limits[0],
            lease_limits[1],
            lambda: lease.is_held,
        )
        self._share_pools = [
            permit_pool.PermitPool(
                clock,
                outbox,
                share_rate,
                1,
                _share_owner_check(owns_share, index),
            )
            for index in range(shares)
        ]

    @property
    def in_use_count(self) -> int:
        """Return the number of permits known here to be in use."""
        count = self._lease_pool.in_use_count
        return count + sum(pool.in_use_count for pool in self._share_pools)

    def start(self) -> None:
        """Start to track the active pools, so that discovery ends in time."""
        for pool in (self._lease_pool, *self._share_pools):
            pool.update_activity()
        self._timer = self._clock.call_later(REFRESH_INTERVAL_MS, self.start)

    def stop(self) -> None:
        """Stop tracking the active pools."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def on_message(self, peer: str, item: message.Message) -> bool:
        """Handle a permit message; return False for other messages."""
        if isinstance(item, messages_residency.PermitRequest):
            pool = self._pool_of(item.request_id)
            if pool is not None:
                pool.on_request(peer, item.request_id, item.urgency)
        elif isinstance(item, messages_residency.PermitInUse):
            pool = self._pool_of(item.request_id)
            if pool is not None:
                pool.on_in_use(peer, item.request_id)
        elif isinstance(item, messages_residency.PermitReturned):
            pool = self._pool_of(item.request_id)
            if pool is not None:
                pool.on_returned(peer, item.request_id)
        else:
            return False
        return True

    def _pool_of(self, request_id: int) -> permit_pool.PermitPool | None:
        """Return the pool that is encoded in a request identifier."""
        index = request_id % POOL_ID_MODULUS
        if index == 0:
            return self._lease_pool
        if index <= len(self._share_pools):
            return self._share_pools[index - 1]
        return None


def _share_owner_check(
    owns_share: Callable[[int], bool], index: int
) -> Callable[[], bool]:
    return lambda: owns_share(index)
