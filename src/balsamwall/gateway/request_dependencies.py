"""Hold the dependencies that the requests of a gateway share."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.gateway import admission as admission_module
from balsamwall.gateway import assignment_client
from balsamwall.gateway import authentication
from balsamwall.gateway import crash_suspects
from balsamwall.gateway import request_outcomes
from balsamwall.gateway import request_priority
from balsamwall.gateway import residency_waits
from balsamwall.gateway import retry_policy as retry_policy_module
from balsamwall.gateway import room_queue
from balsamwall.gateway import running_streams
from balsamwall.gateway import server_announcements
from balsamwall.gateway import wait_forecast
from balsamwall.gateway import wait_policy
from balsamwall.limits import retry_budget as retry_budget_module

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from balsamwall.gateway import backend_directory
    from balsamwall.gateway import configuration_freshness
    from balsamwall.gateway import configuration_holder
    from balsamwall.gateway import connection_pool
    from balsamwall.gateway import gateway_metrics
    from balsamwall.gateway import incoming_request
    from balsamwall.gateway import route as route_module
    from balsamwall.gateway import server_backoff
    from balsamwall.gateway import server_choice
    from balsamwall.gateway import server_health
    from balsamwall.gateway import server_limits
    from balsamwall.gateway import software_versions
    from balsamwall.gateway import stream_origins
    from balsamwall.gateway import version_proof
    from balsamwall.gateway import workspace as workspace_module
    from balsamwall.gateway import workspace_quotas
    from balsamwall.logs import decision_log
    from balsamwall.timing import clock as clock_module


class RetryBudgetSettings:
    """Set the retry budget of the fleet, shared by all entries.

    The share is the fraction of requests that may be retried; extra retries
    are allowed on top of it in each window.
    """

    __slots__ = ("extra", "share", "window_ms")

    def __init__(self, share: float, extra: float, window_ms: int) -> None:
        self.share = share
        self.extra = extra
        self.window_ms = window_ms


class RequestDependencies:
    """Hold the policies, queues, pools and outputs that all requests use."""

    __slots__ = (
        "_budgets",
        "_configuration",
        "_entries",
        "_priorities",
        "_retry_settings",
        "admission",
        "announcements",
        "assignments",
        "authenticator",
        "backoff",
        "choice",
        "clock",
        "codec",
        "directory",
        "forecast",
        "health",
        "limits",
        "log",
        "metrics",
        "origins",
        "outcomes",
        "pool",
        "quotas",
        "retry_policy",
        "room",
        "running_streams",
        "suspects",
        "wait_policy",
        "waits",
        "request_load",
        "version_proof",
        "versions",
        "zone",
    )

    # Fraction of the fleet's retry budget that is allocated. The rest covers
    # entries that have started but are not counted yet.
    BUDGET_SHARE = 0.6

    def __init__(
        self,
        clock: clock_module.Clock,
        zone: str,
        configuration: configuration_holder.ConfigurationHolder,
        choice: server_choice.ServerChoice,
        health: server_health.ServerHealth,
        pool: connection_pool.ConnectionPool,
        codec: incoming_request.RequestCodec,
        waits: residency_waits.ResidencyWaits,
        log: decision_log.DecisionLog,
        metrics: gateway_metrics.GatewayMetrics,
        retry_settings: RetryBudgetSettings,
        entries: int,
        directory: backend_directory.BackendDirectory,
        limits: server_limits.ServerLimits,
        backoff: server_backoff.ServerBackoff,
        quotas: workspace_quotas.WorkspaceQuotas,
        request_load: Callable[[residency_waits.WantedModel], None],
        random_source: random.Random,
        versions: software_versions.SoftwareVersions,
        origins: stream_origins.StreamOrigins,
        proof: version_proof.VersionProof,
        freshness: configuration_freshness.ConfigurationFreshness
        | None = None,
    ) -> None:
        self.authenticator = authentication.Authenticator(
            configuration, freshness
        )
        self._priorities = request_priority.EnginePriorities()
        self.suspects = crash_suspects.CrashSuspects(clock, log)
        self.directory = directory
        self.versions = versions
        self.origins = origins
        self.version_proof = proof
        self.request_load = request_load
        self.clock = clock
        self.zone = zone
        self.choice = choice
        self.health = health
        self.pool = pool
        self.codec = codec
        self.waits = waits
        self.log = log
        self.metrics = metrics
        self.retry_policy = retry_policy_module.RetryPolicy()
        self.assignments = assignment_client.AssignmentClient(clock)
        self.admission = admission_module.Admission(clock, random_source)
        self.room = room_queue.RoomQueue(clock)
        self.running_streams = running_streams.RunningStreams(directory)
        self.forecast = wait_forecast.WaitForecast(clock)
        self.limits = limits
        self.backoff = backoff
        self.announcements = server_announcements.ServerAnnouncements(
            clock, directory, limits, backoff, self.suspects, log
        )
        self.quotas = quotas
        self.wait_policy = wait_policy.WaitPolicy(random_source)
        self.outcomes = request_outcomes.RequestOutcomes(
            clock, log, metrics, self.forecast, self.suspects, configuration
        )
        self._configuration = configuration
        self._retry_settings = retry_settings
        self._entries = max(1, entries)
        self._budgets: dict[str, retry_budget_module.RetryBudget] = {}

    @property
    def entries(self) -> int:
        """Return the number of entries of the fleet."""
        return self._entries

    def set_entries(self, entries: int) -> None:
        """Set the number of entries that share the retry budget."""
        self._entries = max(1, entries)
        self.assignments.set_entries(entries)
        for budget in self._budgets.values():
            budget.set_min_per_s(self._min_retries_per_s())

    def retry_budget_for(
        self, service: str
    ) -> retry_budget_module.RetryBudget:
        """Return the retry budget of a service, created on first use."""
        budget = self._budgets.get(service)
        if budget is None:
            settings = self._retry_settings
            budget = retry_budget_module.RetryBudget(
                self.clock,
                settings.share * self.BUDGET_SHARE,
                self._min_retries_per_s(),
                settings.window_ms,
            )
            self._budgets[service] = budget
        return budget

    def _min_retries_per_s(self) -> float:
        settings = self._retry_settings
        per_window = settings.extra * self.BUDGET_SHARE / self._entries
        return per_window * 1_000 / settings.window_ms

    def is_model_known(
        self, service: str, request: incoming_request.IncomingRequest
    ) -> bool:
        """Return whether the configuration has the model of a request."""
        current = self._configuration.current
        spec = current.services.get(service) if current else None
        return (
            spec is not None
            and spec.engine is not None
            and request.model in spec.engine.models
        )

    def priority_for(
        self,
        route: route_module.Route,
        workspace: workspace_module.Workspace | None = None,
    ) -> int | None:
        """Return the priority to send to the engine, None if not a stream."""
        return self._priorities.priority(
            self._configuration.current, route, workspace
        )

    def on_model_missing(
        self,
        service: str,
        request: incoming_request.IncomingRequest,
        server: backend_directory.BackendServer,
    ) -> None:
        """Handle a server's reply that it does not hold the model."""
        self.directory.drop_model(
            server.server_id, request.model, request.adapter
        )
        self.request_load(
            residency_waits.WantedModel(
                service, request.model, request.adapter
            )
        )
