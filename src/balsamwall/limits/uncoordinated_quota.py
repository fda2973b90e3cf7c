"""Share of one entry in the quota of a workspace, without a coordinator."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.limits import token_bucket

if TYPE_CHECKING:
    from balsamwall.gateway import workspace as workspace_module
    from balsamwall.limits import fleet_size as fleet_size_module
    from balsamwall.timing import clock as clock_module

# Fraction of the rate that entries use without the coordinator. Tokens granted
# by a lost coordinator were just used.
UNCOORDINATED_FRACTION = 0.75
# Fraction of the burst that is known to be left if the workspace was not
# scarce.
KNOWN_LEFT_FRACTION = 0.5


class UncoordinatedQuota:
    """Bucket with the share of this entry, empty at each begin.

    Load pattern: for the 3 to 5 s of an election no coordinator grants
    tokens, and the share of an entry is less than one request of a small
    workspace. Requests may be admitted in advance up to the share of
    half of the burst; the bucket repays them, also if the coordinator returns
    and is lost again.
    """

    __slots__ = (
        "_allowed_excess",
        "_bucket",
        "_fleet_size",
        "_largest",
        "_may_advance",
        "_random_fraction",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        fleet_size: fleet_size_module.FleetSize,
        random_fraction: float,
    ) -> None:
        """Set the random fraction, from 0 to below 1, of this entry.

        It decides at how many of the entries a request may be admitted in
        advance before any coordinator has counted them.
        """
        self._fleet_size = fleet_size
        self._random_fraction = random_fraction
        self._bucket = token_bucket.TokenBucket(clock, 0.0, 1)
        self._bucket.drain()
        self._largest = 0
        self._allowed_excess = 0.0
        self._may_advance = False

    def begin(self, may_advance: bool, allowed_excess: float) -> None:
        """Begin to use the bucket; a debt of an earlier use remains.

        The allowed excess is what all entries may use above the limit.
        """
        self._allowed_excess = allowed_excess
        self._bucket.drain()
        self._largest = 0
        self._may_advance = may_advance

    def take_or_wait_ms(
        self, quota: workspace_module.WorkspaceQuota, cost: int
    ) -> int:
        """Charge a request and return 0, or return the wait for its turn."""
        self._update(quota, cost)
        needed: float = cost
        if self._is_advance_allowed(cost):
            left = KNOWN_LEFT_FRACTION * quota.burst
            needed = -left * self._share if self._fleet_size.is_counted else 0
        wait_ms = self._bucket.wait_ms(needed)
        if wait_ms == 0:
            self._bucket.charge(cost)
        return wait_ms

    def put_back(self, cost: int) -> None:
        """Return the cost of a request that did not run."""
        self._bucket.put_back(cost)

    @property
    def _share(self) -> float:
        """Return the share of this entry, as a fraction of a quota."""
        return UNCOORDINATED_FRACTION / self._fleet_size.count

    def _update(
        self, quota: workspace_module.WorkspaceQuota, cost: int
    ) -> None:
        """Set the rate of the share.

        The bucket holds the share of the burst, or one request if that is
        more: else a small share would never admit any.
        """
        self._largest = max(self._largest, cost)
        self._bucket.set_rate(
            quota.rate_per_s * self._share,
            max(quota.burst * self._share, self._largest),
        )

    def _is_advance_allowed(self, cost: int) -> bool:
        """Return whether a request may be admitted before its share accrues.

        After a start of all entries at once nothing is known of the quota
        used before. Then only some of the entries may, at random, so that
        together they are expected to stay within the allowed excess.
        """
        if self._fleet_size.is_counted:
            return self._may_advance
        of_all = cost * self._fleet_size.count
        return self._random_fraction * of_all < self._allowed_excess
