"""Limits of all workspaces at one entry."""

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

QUEUE_RETRY_AFTER_MS = 1_000


@dataclasses.dataclass(slots=True, frozen=True)
class Admittance:
    """Decision about a new request: start, wait in the queue or refuse."""

    code: result_code.ResultCode
    must_wait: bool = False
    retry_after_ms: int = 0


class WorkspaceLimits:
    """Limits of one workspace."""

    __slots__ = ("buckets", "budget", "places", "queue")

    def __init__(
        self,
        clock: clock_module.Clock,
        spec: tenant_configuration.WorkspaceSpec,
    ) -> None:
        rate, burst = spec.requests_per_second, spec.burst
        # One bucket and one limit per class, so that deferrable requests
        # cannot use up what urgent requests need.
        self.buckets = {
            is_urgent: token_bucket.TokenBucket(clock, rate, burst)
            for is_urgent in (True, False)
        }
        self.places = {
            is_urgent: concurrency_limit.ConcurrencyLimit(spec.max_concurrent)
            for is_urgent in (True, False)
        }
        self.budget = retry_budget.RetryBudget(clock)
        self.queue = class_queue.ClassQueue()

    def change(self, spec: tenant_configuration.WorkspaceSpec) -> None:
        """Take new parameters."""
        for bucket in self.buckets.values():
            bucket.set_rate(spec.requests_per_second, spec.burst)
        for places in self.places.values():
            places.change(spec.max_concurrent)


class RequestLimits:
    """Admission of requests by workspace and class."""

    __slots__ = ("_clock", "_workspaces")

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._workspaces: dict[tuple[str, str], WorkspaceLimits] = {}

    def apply(
        self, configuration: tenant_configuration.TenantConfiguration
    ) -> None:
        """Take the parameters of a configuration in force."""
        tenant = configuration.tenant
        for name, spec in configuration.workspaces.items():
            known = self._workspaces.get((tenant, name))
            if known is None:
                self._workspaces[tenant, name] = WorkspaceLimits(
                    self._clock, spec
                )
            else:
                known.change(spec)
        for key in list(self._workspaces):
            if key[0] == tenant and key[1] not in configuration.workspaces:
                limits = self._workspaces[key]
                if not len(limits.queue) and not any(
                    places.used for places in limits.places.values()
                ):
                    del self._workspaces[key]

    def admit(
        self, tenant: str, workspace: str, request_id: str, is_urgent: bool
    ) -> Admittance:
        """Admit, queue or refuse a new request; unknown ones are free."""
        limits = self._workspaces.get((tenant, workspace))
        if limits is None:
            return Admittance(result_code.ResultCode.OK)
        bucket = limits.buckets[is_urgent]
        if not bucket.take():
            return Admittance(
                result_code.ResultCode.RATE_LIMITED,
                retry_after_ms=bucket.wait_ms(),
            )
        limits.budget.on_request()
        if not limits.queue.waiting(is_urgent):
            if limits.places[is_urgent].take():
                return Admittance(result_code.ResultCode.OK)
        if limits.queue.push(request_id, is_urgent):
            return Admittance(result_code.ResultCode.OK, must_wait=True)
        return Admittance(
            result_code.ResultCode.CONCURRENCY_LIMITED,
            retry_after_ms=QUEUE_RETRY_AFTER_MS,
        )

    def leave_queue(
        self, tenant: str, workspace: str, request_id: str
    ) -> None:
        """Take a request out of the queue before it was started."""
        limits = self._workspaces.get((tenant, workspace))
        if limits is not None:
            limits.queue.remove(request_id)

    def finish(
        self, tenant: str, workspace: str, is_urgent: bool
    ) -> list[str]:
        """Give a place back and return the requests that may start now."""
        limits = self._workspaces.get((tenant, workspace))
        if limits is None:
            return []
        limits.places[is_urgent].give_back()
        started: list[str] = []
        while limits.queue.waiting(is_urgent):
            if not limits.places[is_urgent].take():
                break
            request_id = limits.queue.pop_class(is_urgent)
            if request_id is not None:
                started.append(request_id)
        return started

    def take_retry(self, tenant: str, workspace: str) -> bool:
        """Spend one retry of the workspace; return False without one."""
        limits = self._workspaces.get((tenant, workspace))
        return limits is None or limits.budget.take()

    def retry_wait_ms(self, tenant: str, workspace: str) -> int:
        """Return the time until the next retry is allowed."""
        limits = self._workspaces.get((tenant, workspace))
        return 0 if limits is None else limits.budget.wait_ms()
