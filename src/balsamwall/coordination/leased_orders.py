"""Orders to engines that execute them whatever their fencing token is."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.coordination import engine_control

if TYPE_CHECKING:
    from balsamwall.placement import lease_keeper
    from balsamwall.timing import clock as clock_module


class LeasedOrders:
    """Allow orders while the lease is valid, and apart from other holders.

    Load pattern: entries are turned away from the store, frozen, killed and
    started again, so that the lease changes hands within seconds. Nothing at
    the engine stops orders of a former holder. Two processes that hold the
    lease in turn would each evict what the other one has loaded; a holder that
    returns, or has just started, sends no order until its last ones, or those
    of the process before it on this VM, are `lease_ms` ago.
    """

    __slots__ = (
        "_clock",
        "_lease",
        "_pause_ms",
        "_revision",
        "_sent_by_ms",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        lease: lease_keeper.LeaseKeeper,
        lease_ms: int,
    ) -> None:
        self._clock = clock
        self._lease = lease
        self._pause_ms = lease_ms + engine_control.ORDER_TIMEOUT_MS
        # Revision of the lease under which orders are allowed, 0 for none.
        self._revision = 0
        # Until when the last order may have been sent.
        self._sent_by_ms = clock.now_ms()

    @property
    def may_send(self) -> bool:
        """Return whether an order may be sent now."""
        return self._lease.is_held and self._lease.revision == self._revision

    @property
    def send_by_ms(self) -> int:
        """Return until when an order may be sent."""
        return self._lease.valid_until_ms

    def update(self) -> None:
        """Allow orders under a new lease once the pause is over."""
        if not self._lease.is_held:
            return
        if self._clock.now_ms() - self._sent_by_ms >= self._pause_ms:
            self._revision = self._lease.revision
        if self.may_send:
            self._sent_by_ms = self.send_by_ms
