"""Hold the dependencies that the requests of a gateway share."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

from balsamwall.gateway import admission as admission_module
from balsamwall.gateway import assignment_client
from balsamwall.gateway import attempt as attempt_module
from balsamwall.gateway import authentication
from balsamwall.gateway import connection_source
from balsamwall.gateway import crash_suspects
from balsamwall.gateway import execution_log
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
    from balsamwall.gateway import fingerprints as fingerprints_module
    from balsamwall.gateway import gateway_metrics
    from balsamwall.gateway import incoming_request
    from balsamwall.gateway import request_attempts
    from balsamwall.gateway import request_dispatch
    from balsamwall.gateway import response_body
    from balsamwall.gateway import route as route_module
    from balsamwall.gateway import server_backoff
    from balsamwall.gateway import server_choice
    from balsamwall.gateway import server_health
    from balsamwall.gateway import server_limits
    from balsamwall.gateway import software_versions
    from balsamwall.gateway import stream_origins
    from balsamwall.gateway import stream_progress
    from balsamwall.gateway import version_proof
    from balsamwall.gateway import workspace as workspace_module
    from balsamwall.gateway import workspace_quotas
    from balsamwall.logs import decision_log
    from balsamwall.results import result_code
    from balsamwall.timing import clock as clock_module


class RequestOutcome(execution_log.AnsweredRequest, Protocol):
    """Provide the values of a request that are logged and measured."""

    request: incoming_request.IncomingRequest
    workspace: workspace_module.Workspace | None
    progress: stream_progress.StreamProgress
    attempts: request_attempts.RequestAttempts
    body: response_body.ResponseBody
    dispatch: request_dispatch.RequestDispatch

    @property
    def fingerprints(self) -> fingerprints_module.RequestFingerprints:
        """Return digests of the request and of the parts of its prompt."""


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
        "execution_log",
        "forecast",
        "health",
        "limits",
        "log",
        "metrics",
        "origins",
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
            clock, directory, limits, backoff, log
        )
        self.quotas = quotas
        self.wait_policy = wait_policy.WaitPolicy(random_source)
        self.execution_log = execution_log.ExecutionLog(log, metrics)
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

    def on_first_response(self, handler: RequestOutcome) -> None:
        """Record the time to the head of the response."""
        waited_ms = self.clock.now_ms() - handler.arrived_ms
        self.metrics.observe_first_response(handler.route.name, waited_ms)
        choice = handler.dispatch.choice
        if choice is not None and choice.server is not None:
            self.forecast.on_first_response(
                choice.server.record.service,
                waited_ms - handler.dispatch.waited_ms,
            )

    def on_events_begun(
        self, handler: RequestOutcome, attempt: attempt_module.Attempt
    ) -> None:
        """Log which server process begins or continues a stream.

        An entry that is killed writes nothing later about its streams.
        """
        request, record = handler.request, attempt.record
        self.log.write(
            "stream_begun",
            request=handler.request_id,
            workspace=handler.workspace.name if handler.workspace else None,
            server=record.server_id,
            started_ms=record.started_ms,
            software_version=record.software_version,
            sends=handler.attempts.sends,
            resumes=_text(request.resumed_attempt_id),
            resumes_after=_text(request.resumes_after),
        )

    def on_attempt_failed(
        self,
        handler: RequestOutcome,
        attempt: attempt_module.Attempt,
        failure: attempt_module.AttemptFailure,
        detail: str,
    ) -> None:
        """Log a failed attempt and report it to the crash attribution.

        A response that broke at its begin makes the request a suspect. A
        failed connect counts as the loss of the server.
        """
        self.metrics.count_attempt(failure.value)
        server = attempt.server
        if failure is attempt_module.AttemptFailure.NOT_CONNECTED:
            server.on_not_connected(self.clock.now_ms())
            self.suspects.on_server_lost(server.record)
        elif failure is attempt_module.AttemptFailure.BROKEN:
            self._on_broken(handler, attempt)
        self.log.write(
            "attempt_failed",
            request=handler.request_id,
            server=server.server_id,
            failure=failure.value,
            detail=detail,
            after_ms=self.clock.now_ms() - attempt.sent_ms,
            status=attempt.status,
            has_data=handler.body.has_data,
            was_reused=attempt.was_reused,
            failure_share=round(server.failure_share, 2),
        )

    def _on_broken(
        self, handler: RequestOutcome, attempt: attempt_module.Attempt
    ) -> None:
        """Report a broken response, unless something else has broken it.

        A request that is sent to a process after its crash did not cause it.
        """
        server = attempt.server
        was_gone = server.had_broken_before(attempt.sent_ms)
        server.on_broken(self.clock.now_ms())
        if was_gone or handler.body.is_proven:
            return
        is_at_begin = attempt.status != 0 and not handler.body.has_data
        self.suspects.on_broken_response(
            server.record, handler.fingerprints, is_at_begin, attempt.sent_ms
        )

    def on_finished(
        self,
        handler: RequestOutcome,
        code: result_code.ResultCode,
        detail: str,
        server: backend_directory.BackendServer | None,
    ) -> None:
        """Log and measure the outcome of a request."""
        duration_ms = self.clock.now_ms() - handler.arrived_ms
        self.metrics.observe_end(handler.route.name, code, duration_ms)
        self.execution_log.on_finished(handler)
        if handler.workspace is not None:
            self.metrics.workspaces.count_end(
                handler.workspace,
                handler.request,
                handler.attempts.sends > 0,
            )
        if server is not None and handler.route.is_stream:
            served_ms = duration_ms - handler.dispatch.waited_ms
            self.forecast.on_stream_ended(server.record.service, served_ms)
        current = self._configuration.current
        source = handler.attempts.connection
        choice = handler.dispatch.choice
        self.log.write(
            "request_over",
            request=handler.request_id,
            route=handler.route.name,
            workspace=handler.workspace.name if handler.workspace else None,
            model=handler.request.model,
            adapter=handler.request.adapter,
            code=code.name,
            detail=detail,
            server=server.server_id if server else None,
            duration_ms=duration_ms,
            expected_ms=choice.expected_ms if choice else None,
            server_load=choice.load if choice else None,
            candidates=choice.candidates if choice else None,
            learned_factor=round(handler.attempts.meter.learned, 2)
            if handler.attempts.meter
            else None,
            work_time=round(handler.attempts.meter.work_time_factor, 2)
            if handler.attempts.meter
            else None,
            prompt_tokens=handler.request.prompt_tokens,
            sends=handler.attempts.sends,
            is_reused=source is connection_source.ConnectionSource.REUSED
            if source
            else None,
            connection=source.value if source else None,
            framing=handler.body.framing.value
            if handler.body.framing
            else None,
            is_inside_event=handler.body.is_inside_event,
            resumes=_text(handler.request.resumed_attempt_id),
            resumes_after=_text(handler.request.resumes_after),
            parts=[part.row() for part in handler.attempts.parts],
            waited_ms=handler.dispatch.waited_ms,
            room_waited_ms=handler.dispatch.room_waited_ms,
            first_data_ms=handler.progress.first_data_ms,
            longest_gap_ms=handler.progress.longest_gap_ms,
            configuration=current.version if current else None,
        )


def _text(field: bytes | None) -> str | None:
    """Return a header field as text for logs, None without a value."""
    return field.decode("latin-1") if field else None
