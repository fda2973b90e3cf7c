"""Export the Prometheus metrics of workspaces."""

from __future__ import annotations

from typing import TYPE_CHECKING

import prometheus_client

from balsamwall.results import result_code

if TYPE_CHECKING:
    from prometheus_client import registry as registry_module

    from balsamwall.gateway import incoming_request
    from balsamwall.gateway import workspace as workspace_module

# Bounds the memory for a configuration with many workspaces; further ones
# share one label.
MAX_WORKSPACES = 64
OTHER_WORKSPACES = "other"
ADMITTED = "admitted"
OVER_QUOTA = "over_quota"
REFUSED = "refused"


class WorkspaceMetrics:
    """Count the requests and tokens of each workspace."""

    __slots__ = ("_names", "_quota_left", "_requests", "_tokens", "_unknown")

    def __init__(self, registry: registry_module.CollectorRegistry) -> None:
        self._names: set[str] = set()
        self._requests = prometheus_client.Counter(
            "balsamwall_gateway_workspace_requests",
            "Requests by outcome: admitted, over_quota or refused otherwise",
            ("workspace", "outcome"),
            registry=registry,
        )
        self._tokens = prometheus_client.Counter(
            "balsamwall_gateway_workspace_tokens",
            "Prompt and output tokens of admitted requests",
            ("workspace",),
            registry=registry,
        )
        self._quota_left = prometheus_client.Gauge(
            "balsamwall_gateway_workspace_quota_left",
            "Requests or tokens that this entry may admit without a query",
            ("workspace",),
            registry=registry,
        )
        self._unknown = prometheus_client.Counter(
            "balsamwall_gateway_unauthenticated_requests",
            "Requests refused before routing for want of a valid key",
            ("code",),
            registry=registry,
        )

    def _label(self, name: str) -> str:
        if name not in self._names and len(self._names) >= MAX_WORKSPACES:
            return OTHER_WORKSPACES
        self._names.add(name)
        return name

    def count_end(
        self,
        workspace: workspace_module.Workspace,
        request: incoming_request.IncomingRequest,
        code: result_code.ResultCode,
        is_sent: bool,
    ) -> None:
        """Count a finished request; one that was sent has been admitted."""
        label = self._label(workspace.name)
        if is_sent:
            outcome = ADMITTED
            self._tokens.labels(label).inc(_tokens(workspace, request))
        elif code is result_code.ResultCode.RATE_LIMITED:
            outcome = OVER_QUOTA
        else:
            outcome = REFUSED
        self._requests.labels(label, outcome).inc()

    def count_unauthenticated(self, code: result_code.ResultCode) -> None:
        """Count a request that belongs to no workspace and was refused."""
        self._unknown.labels(code.name.lower()).inc()

    def set_quota_left(self, name: str, amount: float) -> None:
        """Export what the quota of a workspace has left at this entry.

        The workspaces beyond the label limit are left out, since their sum
        would tell nothing.
        """
        label = self._label(name)
        if label == name:
            self._quota_left.labels(label).set(amount)


def _tokens(
    workspace: workspace_module.Workspace,
    request: incoming_request.IncomingRequest,
) -> int:
    """Return the tokens that a request states, else those of its quota."""
    if not request.has_token_usage and workspace.quota is not None:
        return workspace.quota.plain_tokens
    return request.prompt_tokens + request.max_output_tokens
