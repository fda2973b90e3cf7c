"""Quota of one workspace as one entry knows it."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from balsamwall.gateway import workspace as workspace_module
from balsamwall.limits import leased_tokens

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.limits import quota_tolerance
    from balsamwall.limits import uncoordinated_quota
    from balsamwall.timing import clock as clock_module

# Longest time that a request waits for room in the quota.
MAX_WAIT_MS = 150
# Shortest time after a denial until the next query for the same workspace. It
# bounds the rate of queries in overload.
MIN_QUERY_INTERVAL_MS = 30
# Longest time until that query. A new coordinator, or one that is connected
# again, may have more room than was expected.
MAX_QUERY_INTERVAL_MS = 150
# A query also asks for the tokens that were used in this time before it.
RESERVE_MS = 250
# If the coordinator is lost within this time after it called a workspace
# scarce, no request of the workspace is admitted in advance.
SCARCE_MEMORY_MS = 10_000
# Requests that are not urgent are refused for this time after the last
# response that called the workspace scarce.
SCARCE_RESPONSE_MAX_AGE_MS = 1_000
# They are refused only if an urgent request has come within this time.
URGENT_MEMORY_MS = 1_000
# Their Retry-After time. A workspace exceeds its quota for some seconds, and a
# caller that returns sooner is most probably refused again.
DEFERRABLE_RETRY_AFTER_MS = 3_000
# Retry-After time of a request that is larger than its quota ever admits.
TOO_LARGE_RETRY_AFTER_MS = 60_000

BY_COORDINATOR = "coordinator"
BY_LOCAL_SHARE = "local share"
BY_SIZE = "its size"
BY_URGENCY = "urgent requests of the workspace"


@dataclasses.dataclass(slots=True, frozen=True)
class QuotaOutcome:
    """Whether a request is admitted, and who has decided it."""

    is_admitted: bool
    retry_after_ms: int  # 0 if it is admitted
    reason: str


class QuotaWait:
    """Request that waits for a decision."""

    __slots__ = ("_on_decided", "cost", "end_ms")

    def __init__(
        self,
        cost: int,
        end_ms: int,
        on_decided: Callable[[QuotaOutcome], None],
    ) -> None:
        self.cost = cost
        self.end_ms = end_ms
        self._on_decided: Callable[[QuotaOutcome], None] | None = on_decided

    @property
    def is_open(self) -> bool:
        """Return whether the request still waits."""
        return self._on_decided is not None

    def cancel(self) -> None:
        """Give up the request; it is neither charged nor called back."""
        self._on_decided = None

    def decide(self, outcome: QuotaOutcome) -> None:
        """Call back once, unless the request was given up."""
        on_decided, self._on_decided = self._on_decided, None
        if on_decided is not None:
            on_decided(outcome)


class WorkspaceBalance:
    """Granted tokens, local share and waiting requests of one workspace."""

    __slots__ = (
        "_clock",
        "_denied_cost",
        "_is_scarce",
        "_response_ms",
        "_room_due_ms",
        "_scarce_ms",
        "_urgent_ms",
        "_tolerance",
        "_used",
        "granted",
        "is_asking",
        "is_local",
        "local",
        "query_due_ms",
        "quota",
        "timed_out_ms",
        "timer",
        "waiting",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        local: uncoordinated_quota.UncoordinatedQuota,
        quota: workspace_module.WorkspaceQuota,
        tolerance: quota_tolerance.QuotaTolerance,
    ) -> None:
        self._clock = clock
        self._tolerance = tolerance
        self.granted = leased_tokens.LeasedTokens(
            clock, tolerance.grant_lifetime_ms
        )
        self.local = local
        self.quota = quota
        self.is_local = False
        self.is_asking = False  # whether a query is open
        # When the last query got no response in time.
        self.timed_out_ms: int | None = None
        self.timer: clock_module.Timer | None = None
        self.waiting: collections.deque[QuotaWait] = collections.deque()
        # When a response last called the workspace scarce, and whether the
        # last response did.
        self._scarce_ms: int | None = None
        self._is_scarce = False
        self._response_ms: int | None = None
        self._urgent_ms: int | None = None  # of the last urgent request
        # After a denial: when room is expected, and when to ask again.
        self._room_due_ms = 0
        self.query_due_ms = 0
        self._denied_cost = 0
        # Time and cost of the requests admitted in the last RESERVE_MS.
        self._used: collections.deque[tuple[int, int]] = collections.deque()

    @property
    def decided_by(self) -> str:
        """Return who decides at present, for logs and callers."""
        return BY_LOCAL_SHARE if self.is_local else BY_COORDINATOR

    @property
    def may_advance(self) -> bool:
        """Return whether a request may be admitted before its share accrues.

        It may unless a response of the last seconds said that the workspace
        is scarce.
        """
        if self._scarce_ms is None:
            return True
        return self._clock.now_ms() - self._scarce_ms > SCARCE_MEMORY_MS

    @property
    def is_kept_for_urgent(self) -> bool:
        """Return whether what is left of the quota goes to urgent requests.

        Without this, a workspace that exceeds its quota would have the same
        fraction of its urgent requests refused as of the others.
        """
        if not self._is_scarce or self._response_ms is None:
            return False
        if self._urgent_ms is None:
            return False
        now_ms = self._clock.now_ms()
        return (
            now_ms - self._response_ms <= SCARCE_RESPONSE_MAX_AGE_MS
            and now_ms - self._urgent_ms <= URGENT_MEMORY_MS
        )

    def on_urgent(self) -> None:
        """Record that an urgent request has arrived."""
        self._urgent_ms = self._clock.now_ms()

    @property
    def tolerance(self) -> float:
        """Return by how much requests in a window may exceed the limit."""
        quota = self.quota
        tolerance = self._tolerance
        window_s = tolerance.window_ms / 1_000
        in_window = quota.rate_per_s * window_s + quota.burst
        return tolerance.overshoot * in_window + slack(quota, tolerance)

    def admit(self, wait: QuotaWait) -> None:
        """Admit a request that has been charged."""
        self._used.append((self._clock.now_ms(), wait.cost))
        wait.decide(QuotaOutcome(True, 0, self.decided_by))

    def reserve(self) -> int:
        """Return the tokens to ask for in addition to those of a request.

        They are those used in the last RESERVE_MS, less those still granted.
        """
        oldest_ms = self._clock.now_ms() - RESERVE_MS
        while self._used and self._used[0][0] < oldest_ms:
            self._used.popleft()
        used = sum(cost for _, cost in self._used)
        return max(0, used - self.granted.available)

    def on_response(self, is_scarce: bool) -> None:
        """Record what a response tells of the workspace."""
        self._response_ms = self._clock.now_ms()
        self._is_scarce = is_scarce
        if is_scarce:
            self._scarce_ms = self._response_ms

    def is_denied(self, cost: int) -> bool:
        """Return whether there is no room yet for a cost.

        There may be room for less than what was denied.
        """
        is_waiting = self.query_due_ms > self._clock.now_ms()
        return is_waiting and cost >= self._denied_cost

    def deny(self, cost: int, wait_ms: int) -> None:
        """Expect room for a cost after a wait."""
        self._denied_cost = cost
        now_ms = self._clock.now_ms()
        wait_ms = max(MIN_QUERY_INTERVAL_MS, wait_ms)
        self._room_due_ms = now_ms + wait_ms
        self.query_due_ms = now_ms + min(MAX_QUERY_INTERVAL_MS, wait_ms)

    def clear_denial(self) -> None:
        """Expect room at once."""
        self._room_due_ms = self.query_due_ms = 0

    def refuse_late(self) -> None:
        """Refuse the waiting requests that no room is expected for in time.

        The costs of those before a request are due before its own turn, at
        the rate of the whole quota at most.
        """
        now_ms = self._clock.now_ms()
        due_ms = float(self._room_due_ms)
        kept: collections.deque[QuotaWait] = collections.deque()
        refused = []
        for wait in self.waiting:
            if not wait.is_open:
                continue
            is_first = not kept
            if is_first and wait.cost < self._denied_cost:
                due_ms = now_ms
            if due_ms > wait.end_ms:
                refused.append((wait, max(1, int(due_ms - now_ms))))
                continue
            kept.append(wait)
            due_ms += wait.cost * 1_000 / self.quota.rate_per_s
        self.waiting = kept
        for wait, wait_ms in refused:
            wait.decide(QuotaOutcome(False, wait_ms, self.decided_by))


def largest_cost(
    quota: workspace_module.WorkspaceQuota,
    tolerance: quota_tolerance.QuotaTolerance,
) -> float:
    """Return the largest cost of a request that a quota ever admits.

    The burst counts as at least 1, since a bucket holds at least that.
    """
    return max(1.0, quota.burst) + slack(quota, tolerance)


def slack(
    quota: workspace_module.WorkspaceQuota,
    tolerance: quota_tolerance.QuotaTolerance,
) -> int:
    """Return by how much a single request may exceed a quota."""
    is_tokens = quota.unit is workspace_module.QuotaUnit.TOKENS
    return tolerance.slack if is_tokens else 0
