"""Decide whether the quota of a workspace has room for a request."""

from __future__ import annotations

import dataclasses
from typing import Protocol
from typing import TYPE_CHECKING

from balsamwall.gateway import coordinator_queries
from balsamwall.gateway import workspace_balance
from balsamwall.limits import quota_decision
from balsamwall.limits import uncoordinated_quota

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from balsamwall.gateway import configuration_holder
    from balsamwall.gateway import workspace as workspace_module
    from balsamwall.gateway import workspace_metrics
    from balsamwall.limits import fleet_size as fleet_size_module
    from balsamwall.limits import quota_tolerance
    from balsamwall.logs import decision_log
    from balsamwall.timing import clock as clock_module

# Interval of the log lines on refused requests of a workspace.
REFUSAL_LOG_INTERVAL_MS = 1_000

QuotaOutcome = workspace_balance.QuotaOutcome


@dataclasses.dataclass(slots=True)
class _Refusals:
    """Refused requests of a workspace since its last log line."""

    count: int = 0
    logged_ms: int | None = None


class QuotaLink(Protocol):
    """Connection to the coordinator, which grants the tokens."""

    def send_quota_query(
        self, number: int, workspace: str, cost: int, reserve: int
    ) -> bool:
        """Ask for tokens; return False without a coordinator."""


class WorkspaceQuotas:
    """Admit requests from granted tokens, or from a share of this entry.

    Load pattern: one workspace sends many times its quota through all
    entries. Waiting requests are decided in the order of arrival, though a new
    one may take tokens that are already granted. Only the first waiting one
    asks the coordinator, so that the number of queries is bounded.
    """

    __slots__ = (
        "_balances",
        "_clock",
        "_configuration",
        "_fleet_size",
        "_link",
        "_log",
        "_metrics",
        "_queries",
        "_random",
        "_refusals",
        "_tolerance",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        random_source: random.Random,
        configuration: configuration_holder.ConfigurationHolder,
        fleet_size: fleet_size_module.FleetSize,
        log: decision_log.DecisionLog,
        metrics: workspace_metrics.WorkspaceMetrics,
        tolerance: quota_tolerance.QuotaTolerance,
    ) -> None:
        self._clock = clock
        self._random = random_source
        self._configuration = configuration
        self._fleet_size = fleet_size
        self._log = log
        self._metrics = metrics
        self._tolerance = tolerance
        self._link: QuotaLink | None = None
        self._queries: coordinator_queries.CoordinatorQueries[
            quota_decision.QuotaDecision
        ] = coordinator_queries.CoordinatorQueries(clock)
        self._balances: dict[str, workspace_balance.WorkspaceBalance] = {}
        self._refusals: dict[str, _Refusals] = {}

    def set_link(self, link: QuotaLink) -> None:
        """Set the connection to the coordinator."""
        self._link = link

    def request(
        self,
        workspace: workspace_module.Workspace,
        cost: int,
        on_decided: Callable[[QuotaOutcome], None],
        is_urgent: bool = True,
    ) -> workspace_balance.QuotaWait:
        """Charge a request or refuse it.

        `on_decided` may be called before this returns.
        """
        end_ms = self._clock.now_ms() + workspace_balance.MAX_WAIT_MS
        wait = workspace_balance.QuotaWait(cost, end_ms, on_decided)
        quota = self._quota(workspace)
        if quota is None:
            outcome = QuotaOutcome(True, 0, workspace_balance.BY_COORDINATOR)
            wait.decide(outcome)
            return wait
        if cost > workspace_balance.largest_cost(quota, self._tolerance):
            never_ms = workspace_balance.TOO_LARGE_RETRY_AFTER_MS
            reason = workspace_balance.BY_SIZE
            wait.decide(QuotaOutcome(False, never_ms, reason))
            return wait
        balance = self._balance(workspace.name, quota)
        if is_urgent:
            balance.on_urgent()
        elif balance.is_kept_for_urgent:
            reason = workspace_balance.BY_URGENCY
            retry_ms = workspace_balance.DEFERRABLE_RETRY_AFTER_MS
            wait.decide(QuotaOutcome(False, retry_ms, reason))
            return wait
        if balance.granted.take(cost):
            balance.admit(wait)
            return wait
        balance.waiting.append(wait)
        if not balance.is_asking:
            self._serve(workspace.name, balance)
        return wait

    def put_back(self, workspace: str, cost: int) -> None:
        """Return the cost of a request that did not run."""
        balance = self._balances.get(workspace)
        if balance is None:
            return
        if balance.is_local:
            balance.local.put_back(cost)
        else:
            balance.granted.put_back(cost)
        if balance.waiting and not balance.is_asking:
            self._serve(workspace, balance)

    def on_grant(
        self, number: int, tokens: int, wait_ms: int, is_scarce: bool
    ) -> None:
        """Handle the coordinator's response to a query."""
        self._queries.resolve(
            number, quota_decision.QuotaDecision(tokens, wait_ms, is_scarce)
        )

    def on_refused(
        self, request_id: str, workspace: str, cost: int, outcome: QuotaOutcome
    ) -> None:
        """Count a refused request; log one per second with the count."""
        self._metrics.count_quota_refusal(workspace)
        refusals = self._refusals.setdefault(workspace, _Refusals())
        refusals.count += 1
        now_ms = self._clock.now_ms()
        logged_ms = refusals.logged_ms
        if (
            logged_ms is not None
            and now_ms - logged_ms < REFUSAL_LOG_INTERVAL_MS
        ):
            return
        self._log.write(
            "quota_refused",
            request=request_id,
            workspace=workspace,
            cost=cost,
            wait_ms=outcome.retry_after_ms,
            reason=outcome.reason,
            refused_since_last_line=refusals.count,
        )
        refusals.logged_ms, refusals.count = now_ms, 0

    def _quota(
        self, workspace: workspace_module.Workspace
    ) -> workspace_module.WorkspaceQuota | None:
        """Return the quota in force, which may be newer than the request."""
        current = self._configuration.current
        table = current.workspaces if current is not None else None
        found = table.get(workspace.name) if table is not None else None
        return found.quota if found is not None else workspace.quota

    def _balance(
        self, name: str, quota: workspace_module.WorkspaceQuota
    ) -> workspace_balance.WorkspaceBalance:
        balance = self._balances.get(name)
        if balance is None:
            local = uncoordinated_quota.UncoordinatedQuota(
                self._clock, self._fleet_size, self._random.random()
            )
            balance = workspace_balance.WorkspaceBalance(
                self._clock, local, quota, self._tolerance
            )
            self._balances[name] = balance
        balance.quota = quota
        return balance

    def _serve(
        self, name: str, balance: workspace_balance.WorkspaceBalance
    ) -> None:
        """Decide the waiting requests in order, as far as possible now."""
        if balance.timer is not None:
            balance.timer.cancel()
            balance.timer = None
        while balance.waiting and not balance.is_asking:
            wait = balance.waiting[0]
            if not wait.is_open:
                balance.waiting.popleft()
            elif balance.granted.take(wait.cost):
                balance.waiting.popleft()
                balance.admit(wait)
            elif not balance.is_denied(wait.cost):
                self._ask(name, balance, wait)
            else:
                balance.refuse_late()
                waiting = balance.waiting
                if waiting and balance.is_denied(waiting[0].cost):
                    break
        if balance.waiting and not balance.is_asking and balance.timer is None:
            delay_ms = max(1, balance.query_due_ms - self._clock.now_ms())
            balance.timer = self._clock.call_later(
                delay_ms, self._serve, name, balance
            )

    # Queries

    def _ask(
        self,
        name: str,
        balance: workspace_balance.WorkspaceBalance,
        wait: workspace_balance.QuotaWait,
    ) -> None:
        """Ask the coordinator for the first request, else decide locally.

        Those that waited behind a query without a response ask no more.
        """
        sent_ms = self._clock.now_ms()
        if balance.timed_out_ms == sent_ms:
            self._decide_locally(name, balance, wait)
            return

        def on_response(found: quota_decision.QuotaDecision | None) -> None:
            balance.is_asking = False
            if found is None:
                balance.timed_out_ms = self._clock.now_ms()
            self._apply(name, balance, wait, found, sent_ms)
            self._serve(name, balance)

        link = self._link
        reserve = balance.reserve()
        balance.is_asking = True
        is_asked = link is not None and self._queries.send(
            lambda number: link.send_quota_query(
                number, name, wait.cost, reserve
            ),
            on_response,
        )
        if not is_asked:
            balance.is_asking = False
            self._decide_locally(name, balance, wait)

    def _apply(
        self,
        name: str,
        balance: workspace_balance.WorkspaceBalance,
        wait: workspace_balance.QuotaWait,
        found: quota_decision.QuotaDecision | None,
        sent_ms: int,
    ) -> None:
        """Apply a response; its tokens expire by the time of the query.

        This process may have been frozen since it sent the query.
        """
        age_ms = self._clock.now_ms() - sent_ms
        is_late = age_ms >= self._tolerance.grant_lifetime_ms
        if found is None or is_late or not found.is_quota_known:
            self._decide_locally(name, balance, wait)
            return
        self._set_local(name, balance, False)
        balance.on_response(found.is_scarce)
        if found.wait_ms:
            balance.deny(wait.cost, found.wait_ms)
            return
        balance.clear_denial()
        balance.granted.add(found.tokens, sent_ms)

    def _decide_locally(
        self,
        name: str,
        balance: workspace_balance.WorkspaceBalance,
        wait: workspace_balance.QuotaWait,
    ) -> None:
        """Use the share of this entry for the first request."""
        self._set_local(name, balance, True)
        if not wait.is_open:
            return
        wait_ms = balance.local.take_or_wait_ms(balance.quota, wait.cost)
        if wait_ms:
            balance.deny(wait.cost, wait_ms)
            return
        balance.waiting.remove(wait)
        balance.admit(wait)

    def _set_local(
        self,
        name: str,
        balance: workspace_balance.WorkspaceBalance,
        is_local: bool,
    ) -> None:
        """Switch to the local bucket or back."""
        if balance.is_local == is_local:
            return
        balance.is_local = is_local
        balance.clear_denial()
        if not is_local:
            self._log.write("quota_decided_by_coordinator", workspace=name)
            return
        may_advance = balance.may_advance
        balance.local.begin(may_advance, balance.tolerance)
        self._log.write(
            "quota_decided_locally",
            workspace=name,
            may_advance=may_advance,
            entries=self._fleet_size.count,
        )
