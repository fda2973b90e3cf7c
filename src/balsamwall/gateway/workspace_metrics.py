"""Export the Prometheus metrics of workspaces."""

from __future__ import annotations

from typing import TYPE_CHECKING

import prometheus_client

if TYPE_CHECKING:
    from prometheus_client import registry as registry_module

    from balsamwall.gateway import incoming_request
    from balsamwall.gateway import workspace as workspace_module
    from balsamwall.results import result_code

# Bounds the memory for a configuration with many workspaces; further ones
# share one label.
MAX_WORKSPACES = 64
OTHER_WORKSPACES = "other"
ADMITTED = "admitted"
REFUSED = "refused"


class WorkspaceMetrics:
    """Count the requests and tokens of each workspace, and show its quota."""

    __slots__ = (
        "_charged",
        "_names",
        "_quota_grants",
        "_quota_left",
        "_quota_refusals",
        "_requests",
        "_tokens",
        "_unknown",
    )

    def __init__(self, registry: registry_module.CollectorRegistry) -> None:
        self._names: set[str] = set()
        self._requests = prometheus_client.Counter(
            "balsamwall_gateway_workspace_requests",
            "Requests by outcome: admitted or refused",
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
            "balsamwall_gateway_quota_left",
            "Tokens or requests left to a workspace, at the coordinator",
            ("workspace",),
            registry=registry,
        )
        self._quota_refusals = prometheus_client.Counter(
            "balsamwall_gateway_quota_refusals",
            "Requests refused since the workspace is over its quota",
            ("workspace",),
            registry=registry,
        )
        self._quota_grants = prometheus_client.Counter(
            "balsamwall_gateway_quota_grants",
            "Grants of tokens by this process, as coordinator or standby",
            ("workspace", "by"),
            registry=registry,
        )
        self._charged = prometheus_client.Counter(
            "balsamwall_gateway_workspace_charged_tokens",
            "Tokens served while requests waited, by all entries",
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
        is_sent: bool,
    ) -> None:
        """Count a finished request; one that was sent has been admitted."""
        label = self._label(workspace.name)
        if is_sent:
            outcome = ADMITTED
            self._tokens.labels(label).inc(_tokens(workspace, request))
        else:
            outcome = REFUSED
        self._requests.labels(label, outcome).inc()

    def count_unauthenticated(self, code: result_code.ResultCode) -> None:
        """Count a request that belongs to no workspace and was refused."""
        self._unknown.labels(code.name.lower()).inc()

    def count_quota_refusal(self, name: str) -> None:
        """Count a request refused since its workspace is over its quota."""
        self._quota_refusals.labels(self._label(name)).inc()

    def count_quota_grant(self, name: str, by: str) -> None:
        """Count a grant of this process, as coordinator or standby."""
        self._quota_grants.labels(self._label(name), by).inc()

    def count_charged(self, name: str, tokens: float) -> None:
        """Count tokens charged in the fair order, here or elsewhere."""
        self._charged.labels(self._label(name)).inc(tokens)

    def set_quota_left(self, name: str, left: float | None) -> None:
        """Export what is left to a workspace; None removes it.

        Only the coordinator knows it. The workspaces beyond the label limit
        are left out, since their sum would tell nothing.
        """
        label = self._label(name)
        if label != name:
            return
        if left is None:
            self._quota_left.remove(label)
        else:
            self._quota_left.labels(label).set(left)


def _tokens(
    workspace: workspace_module.Workspace,
    request: incoming_request.IncomingRequest,
) -> int:
    """Return the tokens that a request states, else those of its quota."""
    if not request.has_token_usage and workspace.quota is not None:
        return workspace.quota.plain_tokens
    return request.prompt_tokens + request.max_output_tokens
