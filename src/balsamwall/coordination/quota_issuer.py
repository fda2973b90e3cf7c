"""Tokens of the coordinator for the requests of workspaces with a quota."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from balsamwall.gateway import workspace as workspace_module
from balsamwall.gateway import workspace_balance
from balsamwall.limits import quota_decision
from balsamwall.limits import token_bucket

if TYPE_CHECKING:
    from balsamwall.gateway import configuration_holder
    from balsamwall.gateway import workspace_metrics
    from balsamwall.limits import fleet_size as fleet_size_module
    from balsamwall.limits import quota_tolerance
    from balsamwall.timing import clock as clock_module

# Time for which the highest number of entries sets the shares. An entry that
# is cut off uses its own share all along.
FLEET_MEMORY_MS = 60_000
# A workspace is scarce with less than this fraction of its burst left.
SCARCE_FRACTION = 0.5
# Time in which the buckets of a new term fill at the usual demand.
TERM_GRACE_MS = 2_000
# Fraction of the slack up to which later tokens may pay for a request. Large
# requests would otherwise never find enough tokens among small ones, and those
# above the burst never at all.
ADVANCE_FRACTION = 0.5
# After a longer time between ticks this process was frozen, and the entries
# used shares of their own. What accrued in that time is not granted.
MAX_TICK_GAP_MS = 500
# Highest part of a burst in the bucket of a standby at its begin. The
# coordinator may have granted the other part after its last report.
STANDBY_BURST_FRACTION = 0.5
# An entry that is connected and was not heard from for this time, five report
# intervals, uses a share of its own.
SILENCE_MS = 1_000


class Role(enum.Enum):
    """As what this process grants tokens."""

    NONE = "none"
    COORDINATOR = "coordinator"
    STANDBY = "standby"


class QuotaIssuer:
    """Grant the tokens of each workspace to all entries together.

    Load pattern: a workspace sends many times its quota, through all entries
    or through one, while others of its requests find quota available.
    """

    __slots__ = (
        "_buckets",
        "_clock",
        "_configuration",
        "_fleet_size",
        "_heard_ms",
        "_last_tick_ms",
        "_metrics",
        "_granted_fraction",
        "_rate_fraction",
        "_role",
        "_term_started_ms",
        "_tolerance",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        configuration: configuration_holder.ConfigurationHolder,
        fleet_size: fleet_size_module.FleetSize,
        metrics: workspace_metrics.WorkspaceMetrics,
        tolerance: quota_tolerance.QuotaTolerance,
    ) -> None:
        self._clock = clock
        self._configuration = configuration
        self._fleet_size = fleet_size
        self._metrics = metrics
        self._tolerance = tolerance
        self._buckets: dict[str, token_bucket.TokenBucket] = {}
        self._heard_ms: dict[str, int] = {}  # by VM of the entry
        self._last_tick_ms = clock.now_ms()
        self._granted_fraction = 0.0  # of each rate, granted here
        self._term_started_ms = clock.now_ms()
        self._rate_fraction = 1.0  # that the entries connected may use
        self._role = Role.NONE

    def restart(self) -> None:
        """Begin a term of the coordinator with empty buckets.

        The grants of the coordinator before may have been used just now. If
        this process has granted as the standby, its buckets are continued.
        """
        if self._role is not Role.STANDBY:
            self._begin()
        self._role = Role.COORDINATOR
        self._rate_fraction = 1.0

    def begin_as_standby(
        self, levels: dict[str, float], rate_fraction: float
    ) -> None:
        """Begin to grant a fraction of the rates as the standby.

        A bucket begins with half of its burst at most, as the coordinator may
        have granted tokens since then, and empty without a level.
        """
        self._rate_fraction = rate_fraction
        self._begin()
        self._role = Role.STANDBY
        current = self._configuration.current
        for item in (current.workspaces if current else None) or ():
            bucket = self._buckets.get(item.name)
            if item.quota is not None and bucket is not None:
                level = levels.get(item.name, 0.0)
                most = STANDBY_BURST_FRACTION * item.quota.burst
                bucket.set_tokens(min(level, most))

    def levels(self) -> dict[str, float]:
        """Return the tokens left by workspace, below 0 after an advance."""
        return {name: item.tokens for name, item in self._buckets.items()}

    def _begin(self) -> None:
        self._buckets.clear()
        self._heard_ms.clear()
        self._last_tick_ms = self._term_started_ms = self._clock.now_ms()
        self._update_buckets()

    def stop(self) -> None:
        """End the term; the quota left is not known here any more."""
        self._role = Role.NONE
        for workspace in self._buckets:
            self._metrics.set_quota_left(workspace, None)
        self._buckets.clear()

    def on_heard(self, vm: str) -> None:
        """Record that an entry has sent a message.

        In a new term the granted fraction rises with each entry at once: the
        entry asks for tokens before the next tick.
        """
        self._skip_pause()
        is_new = vm not in self._heard_ms
        self._heard_ms[vm] = self._clock.now_ms()
        if is_new:
            self._set_granted_fraction(len(self._heard_ms))

    def remove_entry(self, vm: str) -> None:
        """Discard an entry that no longer takes tokens here."""
        self._heard_ms.pop(vm, None)

    def count_heard(self) -> int:
        """Return the number of entries that are not silent."""
        self._drop_silent()
        return len(self._heard_ms)

    def set_connected(self, count: int) -> None:
        """Set the number of entries that take tokens here, at each tick.

        The others use shares of their own, which are left to them.
        """
        self._skip_pause()
        self._last_tick_ms = self._clock.now_ms()
        self._drop_silent()
        self._fleet_size.observe(count)
        self._set_granted_fraction(min(count, len(self._heard_ms)))
        for name, bucket in self._buckets.items():
            self._metrics.set_quota_left(name, max(0.0, bucket.tokens))

    def grant(
        self, workspace: str, cost: int, reserve: int
    ) -> quota_decision.QuotaDecision:
        """Grant the cost and as much of the reserve as the bucket holds.

        If the cost can't be granted, return the wait for it.
        """
        self._skip_pause()
        quota = self._quota(workspace)
        bucket = self._buckets.get(workspace)
        if quota is None or bucket is None or cost < 0 or reserve < 0:
            return quota_decision.QuotaDecision(0, 0, False)
        if cost > workspace_balance.largest_cost(quota, self._tolerance):
            return quota_decision.QuotaDecision(
                0, workspace_balance.TOO_LARGE_RETRY_AFTER_MS, False
            )
        is_scarce = self._is_scarce(quota, bucket)
        wait_ms = bucket.wait_ms(self._needed(quota, cost))
        if wait_ms:
            return quota_decision.QuotaDecision(0, wait_ms, is_scarce)
        bucket.charge(cost)
        extra = min(reserve, max(0, int(bucket.tokens)))
        bucket.charge(extra)
        self._metrics.count_quota_grant(workspace, self._role.value)
        return quota_decision.QuotaDecision(cost + extra, 0, is_scarce)

    def _drop_silent(self) -> None:
        oldest_ms = self._clock.now_ms() - SILENCE_MS
        self._heard_ms = {
            vm: heard_ms
            for vm, heard_ms in self._heard_ms.items()
            if heard_ms >= oldest_ms
        }

    def _is_scarce(
        self,
        quota: workspace_module.WorkspaceQuota,
        bucket: token_bucket.TokenBucket,
    ) -> bool:
        """Return whether little of the burst is left.

        The buckets of a new term are low because they began empty.
        """
        if self._clock.now_ms() - self._term_started_ms < TERM_GRACE_MS:
            return False
        return bucket.tokens < SCARCE_FRACTION * quota.burst

    def _needed(
        self, quota: workspace_module.WorkspaceQuota, cost: int
    ) -> float:
        """Return the tokens that the bucket must hold to grant a cost."""
        if quota.unit is workspace_module.QuotaUnit.REQUESTS:
            return cost
        advance = ADVANCE_FRACTION * self._tolerance.slack
        return min(max(0, cost - advance), quota.burst)

    def _set_granted_fraction(self, connected: int) -> None:
        """Grant the fraction of the rates that belongs to these entries."""
        # The entry in this process is connected before it is heard.
        self._granted_fraction = min(
            1.0, max(1, connected) / self._fleet_size.count
        )
        self._granted_fraction *= self._rate_fraction
        self._update_buckets()

    def _skip_pause(self) -> None:
        """Drop what accrued while this process was frozen."""
        now_ms = self._clock.now_ms()
        if now_ms - self._last_tick_ms > MAX_TICK_GAP_MS:
            self._last_tick_ms = now_ms
            for bucket in self._buckets.values():
                bucket.skip_refill()

    def _quota(self, workspace: str) -> workspace_module.WorkspaceQuota | None:
        current = self._configuration.current
        if current is None or current.workspaces is None:
            return None
        found = current.workspaces.get(workspace)
        return found.quota if found is not None else None

    def _update_buckets(self) -> None:
        """Apply the rates in force; a new bucket is empty."""
        current = self._configuration.current
        quotas = {
            item.name: item.quota
            for item in (current.workspaces if current else None) or ()
            if item.quota is not None
        }
        for name in self._buckets.keys() - quotas.keys():
            del self._buckets[name]
            self._metrics.set_quota_left(name, None)
        for name, quota in quotas.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                bucket = token_bucket.TokenBucket(self._clock, 0.0, 1)
                bucket.drain()
                self._buckets[name] = bucket
            bucket.set_rate(
                quota.rate_per_s * self._granted_fraction, quota.burst
            )
