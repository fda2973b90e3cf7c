"""Charge one request to the quota of its workspace."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

from balsamwall.gateway import admission
from balsamwall.results import result_code

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.gateway import execution_record
    from balsamwall.gateway import incoming_request
    from balsamwall.gateway import route as route_module
    from balsamwall.gateway import workspace as workspace_module
    from balsamwall.gateway import workspace_balance
    from balsamwall.gateway import workspace_quotas


class ChargedRequest(Protocol):
    """Represent a request that may belong to a workspace."""

    request: incoming_request.IncomingRequest
    route: route_module.Route
    workspace: workspace_module.Workspace | None

    @property
    def request_id(self) -> str:
        """Return the caller's request identifier as text for logs."""


class QuotaGate:
    """Admit a request to its first dispatch, and return an unused charge.

    Load pattern: callers leave, and servers refuse, many of the requests that
    a workspace sends above the capacity of the servers; these cost it nothing.
    """

    __slots__ = (
        "_charged",
        "_charged_workspace",
        "_handler",
        "_on_admitted",
        "_on_refused",
        "_quotas",
        "_wait",
    )

    def __init__(
        self,
        quotas: workspace_quotas.WorkspaceQuotas,
        handler: ChargedRequest,
        on_admitted: Callable[[], None],
        on_refused: Callable[[result_code.ResultCode, str, int], None],
    ) -> None:
        self._quotas = quotas
        self._handler = handler
        self._on_admitted = on_admitted
        self._on_refused = on_refused
        self._charged = 0
        # The workspace of the request may change with the configuration.
        self._charged_workspace = ""
        self._wait: workspace_balance.QuotaWait | None = None

    def start(self) -> None:
        """Charge the request, then dispatch or refuse it."""
        workspace = self._handler.workspace
        if workspace is None or workspace.quota is None:
            self._on_admitted()
            return
        cost = workspace.quota.cost(self._handler.request)

        def on_decided(outcome: workspace_quotas.QuotaOutcome) -> None:
            if outcome.is_admitted:
                self._charged = cost
                self._charged_workspace = workspace.name
                self._on_admitted()
            else:
                self._refuse(workspace.name, cost, outcome)

        self._wait = self._quotas.request(
            workspace, cost, on_decided, not self._is_deferrable
        )

    @property
    def _is_deferrable(self) -> bool:
        """Return whether the request leaves a scarce quota to urgent ones.

        One without token usage costs little of a quota in tokens.
        """
        is_urgent = admission.is_route_urgent(self._handler.route.priority)
        return self._handler.request.has_token_usage and not is_urgent

    def on_finished(self, execution: execution_record.ExecutionRecord) -> None:
        """End the wait; return the cost if no server may have run it."""
        if self._wait is not None:
            self._wait.cancel()
        charged, self._charged = self._charged, 0
        if charged and not execution.may_have_run:
            self._quotas.put_back(self._charged_workspace, charged)

    def _refuse(
        self,
        workspace: str,
        cost: int,
        outcome: workspace_quotas.QuotaOutcome,
    ) -> None:
        self._quotas.on_refused(
            self._handler.request_id, workspace, cost, outcome
        )
        self._on_refused(
            result_code.ResultCode.RATE_LIMITED,
            f"the quota of the workspace is used up; retry in "
            f"{outcome.retry_after_ms} ms (decided by {outcome.reason})",
            outcome.retry_after_ms,
        )
