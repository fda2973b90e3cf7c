"""Request limits of all workspaces at one entry."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from balsamwall.limits import class_queue
from balsamwall.limits import concurrency_limit
from balsamwall.limits import retry_budget
from balsamwall.limits import token_bucket
from balsamwall.results import result_code

if TYPE_CHECKING:
    from balsamwall.configuration import tenant_configuration
    from balsamwall.timing import clock as clock_module

# Wait before a retry that a caller is told if the queue is full.
QUEUE_RETRY_AFTER_MS = 1_000


@dataclasses.dataclass(slots=True, frozen=True)
class AdmissionDecision:
    """Whether a new request starts, waits in the queue or is refused.

    It is refused if the code is not OK. `retry_after_ms` is 0 unless it is
    refused.
    """

    code: result_code.ResultCode
    is_queued: bool = False
    retry_after_ms: int = 0


class WorkspaceLimits:
    """Rate, concurrency and retry limits of one workspace."""

    __slots__ = ("buckets", "budget", "slots", "queue")

    def __init__(
        self,
        clock: clock_module.Clock,
        spec: tenant_configuration.WorkspaceSpec,
    ) -> None:
        rate, burst = spec.requests_per_second, spec.burst
        # Each class has its own bucket and limit, so that deferrable requests
        # cannot use up the capacity of urgent ones.
        self.buckets = {
            is_urgent: token_bucket.TokenBucket(clock, rate, burst)
            for is_urgent in (True, False)
        }
        self.slots = {
            is_urgent: concurrency_limit.ConcurrencyLimit(spec.max_concurrent)
            for is_urgent in (True, False)
        }
        self.budget = retry_budget.RetryBudget(clock)
        self.queue = class_queue.ClassQueue()

    def update(self, spec: tenant_configuration.WorkspaceSpec) -> None:
        """Apply changed settings; requests in progress continue."""
        for bucket in self.buckets.values():
            bucket.set_rate(spec.requests_per_second, spec.burst)
        for slots in self.slots.values():
            slots.set_limit(spec.max_concurrent)


class RequestLimits:
    """Admission of requests by workspace and class."""

    __slots__ = ("_clock", "_workspaces")

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._workspaces: dict[tuple[str, str], WorkspaceLimits] = {}

    def apply(
        self, configuration: tenant_configuration.TenantConfiguration
    ) -> None:
        """Apply the limits of a tenant's active configuration.

        A workspace that the configuration no longer has is removed unless it
        still has requests in progress or in its queue.
        """
        tenant = configuration.tenant
        for name, spec in configuration.workspaces.items():
            existing = self._workspaces.get((tenant, name))
            if existing is None:
                self._workspaces[tenant, name] = WorkspaceLimits(
                    self._clock, spec
                )
            else:
                existing.update(spec)
        for key in list(self._workspaces):
            if key[0] == tenant and key[1] not in configuration.workspaces:
                limits = self._workspaces[key]
                if not len(limits.queue) and not any(
                    slots.in_use for slots in limits.slots.values()
                ):
                    del self._workspaces[key]

    def admit(
        self, tenant: str, workspace: str, request_id: str, is_urgent: bool
    ) -> AdmissionDecision:
        """Admit, queue or refuse a request.

        A request of an unknown workspace is admitted without limits. A request
        that is refused because the queue is full still uses a token.
        """
        limits = self._workspaces.get((tenant, workspace))
        if limits is None:
            return AdmissionDecision(result_code.ResultCode.OK)
        bucket = limits.buckets[is_urgent]
        if not bucket.take():
            return AdmissionDecision(
                result_code.ResultCode.RATE_LIMITED,
                retry_after_ms=bucket.wait_ms(),
            )
        limits.budget.on_request()
        if not limits.queue.waiting(is_urgent):
            if limits.slots[is_urgent].acquire():
                return AdmissionDecision(result_code.ResultCode.OK)
        if limits.queue.push(request_id, is_urgent):
            return AdmissionDecision(result_code.ResultCode.OK, is_queued=True)
        return AdmissionDecision(
            result_code.ResultCode.CONCURRENCY_LIMITED,
            retry_after_ms=QUEUE_RETRY_AFTER_MS,
        )

    def remove_from_queue(
        self, tenant: str, workspace: str, request_id: str
    ) -> None:
        """Remove a request that has not started from the queue."""
        limits = self._workspaces.get((tenant, workspace))
        if limits is not None:
            limits.queue.remove(request_id)

    def release_slot(
        self, tenant: str, workspace: str, is_urgent: bool
    ) -> list[str]:
        """Release a slot and return the queued requests that may start.

        Each returned request already holds a slot.
        """
        limits = self._workspaces.get((tenant, workspace))
        if limits is None:
            return []
        limits.slots[is_urgent].release()
        started: list[str] = []
        while limits.queue.waiting(is_urgent):
            if not limits.slots[is_urgent].acquire():
                break
            request_id = limits.queue.pop(is_urgent)
            if request_id is not None:
                started.append(request_id)
        return started

    def take_retry(self, tenant: str, workspace: str) -> bool:
        """Take one retry from the budget; return False if it is exhausted.

        Retries of an unknown workspace are not limited.
        """
        limits = self._workspaces.get((tenant, workspace))
        return limits is None or limits.budget.take()

    def retry_wait_ms(self, tenant: str, workspace: str) -> int:
        """Return the milliseconds until the next retry is allowed, or 0."""
        limits = self._workspaces.get((tenant, workspace))
        return 0 if limits is None else limits.budget.wait_ms()
