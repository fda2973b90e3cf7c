"""Orders to engines that execute them whatever their fencing token is."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.placement import lease_keeper


class LeasedOrders:
    """Allow orders while the lease is valid.

    Load pattern: entries are turned away from the store, frozen, killed and
    started again, so that the lease changes hands within seconds. Nothing at
    the engine stops orders of a former holder.
    """

    __slots__ = ("_lease",)

    def __init__(self, lease: lease_keeper.LeaseKeeper) -> None:
        self._lease = lease

    @property
    def may_send(self) -> bool:
        """Return whether an order may be sent now."""
        return self._lease.is_held

    @property
    def send_by_ms(self) -> int:
        """Return until when an order may be sent."""
        return self._lease.valid_until_ms
