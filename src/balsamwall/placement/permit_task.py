"""Granters of permits for the weight store, without a central process."""

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

FOLLOW_MS = 1_000
# Request numbers end with 0 for the lease holder and with k for share k - 1.
POOL_ID_MODULUS = 64


def split_limits(
    rate_per_s: float, concurrency: int
) -> tuple[tuple[float, int], tuple[float, int]]:
    """Return rate and concurrency of the lease holder and of each share.

    A third of the concurrency, at least one, is always set apart for fixed
    shares, one load at a time each. So lease holder and shares together stay
    under the limit, even while permits of one are in use and the other takes
    over.
    """
    shares = max(1, concurrency // 3)
    if shares == concurrency:
        return (0.0, 0), (rate_per_s, 1)
    share_rate = rate_per_s / 3 / shares
    central_rate = rate_per_s - share_rate * shares
    return (central_rate, concurrency - shares), (share_rate, shares)


class PermitTask:
    """Grant permits as lease holder and as owner of fixed shares."""

    __slots__ = ("_clock", "_pool", "_shares", "_timer")

    def __init__(
        self,
        clock: clock_module.Clock,
        outbox: outbox_module.Outbox,
        lease: lease_keeper.LeaseKeeper,
        rate_per_s: float,
        concurrency: int,
        owns_share: Callable[[int], bool],
    ) -> None:
        """Take owns_share, which tells whether this VM has a fixed share.

        Owners are selected by rendezvous hashing over the VM list.
        """
        self._clock = clock
        self._timer: clock_module.Timer | None = None
        central, (share_rate, shares) = split_limits(rate_per_s, concurrency)
        self._pool = permit_pool.PermitPool(
            clock, outbox, central[0], central[1], lambda: lease.is_held
        )
        self._shares = [
            permit_pool.PermitPool(
                clock, outbox, share_rate, 1, _share_check(owns_share, index)
            )
            for index in range(shares)
        ]

    @property
    def in_use_count(self) -> int:
        """Return the number of permits in use as far as is known here."""
        count = self._pool.in_use_count
        return count + sum(pool.in_use_count for pool in self._shares)

    def start(self) -> None:
        """Follow who grants, so that learning ends before it is needed."""
        for pool in (self._pool, *self._shares):
            pool.follow_activity()
        self._timer = self._clock.call_later(FOLLOW_MS, self.start)

    def stop(self) -> None:
        """Follow no more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def on_message(self, peer: str, item: message.Message) -> bool:
        """Handle a permit message; tell whether it was one."""
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
        """Return the pool that a request asks: its number ends with it."""
        index = request_id % POOL_ID_MODULUS
        if index == 0:
            return self._pool
        if index <= len(self._shares):
            return self._shares[index - 1]
        return None


def _share_check(
    owns_share: Callable[[int], bool], index: int
) -> Callable[[], bool]:
    return lambda: owns_share(index)
