"""Log and measure the outcomes of requests and of their attempts."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

from balsamwall.gateway import attempt as attempt_module
from balsamwall.gateway import connection_source
from balsamwall.gateway import execution_log

if TYPE_CHECKING:
    from collections.abc import Sequence

    from balsamwall.gateway import backend_directory
    from balsamwall.gateway import configuration_holder
    from balsamwall.gateway import crash_suspects
    from balsamwall.gateway import fingerprints as fingerprints_module
    from balsamwall.gateway import gateway_metrics
    from balsamwall.gateway import incoming_request
    from balsamwall.gateway import response_body
    from balsamwall.gateway import server_choice
    from balsamwall.gateway import stream_meter
    from balsamwall.gateway import stream_parts
    from balsamwall.gateway import stream_progress
    from balsamwall.gateway import wait_forecast
    from balsamwall.gateway import workspace as workspace_module
    from balsamwall.logs import decision_log
    from balsamwall.results import result_code
    from balsamwall.timing import clock as clock_module


class SentAttempts(Protocol):
    """Provide what is known of the attempts of a request."""

    @property
    def sends(self) -> int:
        """Return how often the request was sent."""

    @property
    def connection(self) -> connection_source.ConnectionSource | None:
        """Return the connection of the last attempt that has ended."""

    @property
    def meter(self) -> stream_meter.StreamMeter | None:
        """Return the meter of the last send."""

    @property
    def parts(self) -> Sequence[stream_parts.StreamPart]:
        """Return the events by the server process that wrote them."""


class ServerWaits(Protocol):
    """Provide the choice of a server, and the time until it was used."""

    @property
    def choice(self) -> server_choice.Choice | None:
        """Return the last choice of a server."""

    @property
    def waited_ms(self) -> int:
        """Return the total time that the request was queued before sending."""

    @property
    def room_waited_ms(self) -> int:
        """Return the part of waited_ms spent waiting for room at a server."""


class RequestOutcome(execution_log.AnsweredRequest, Protocol):
    """Provide the values of a request that are logged and measured."""

    request: incoming_request.IncomingRequest
    workspace: workspace_module.Workspace | None
    progress: stream_progress.StreamProgress
    body: response_body.ResponseBody

    @property
    def attempts(self) -> SentAttempts:
        """Return what is known of the attempts."""

    @property
    def dispatch(self) -> ServerWaits:
        """Return what is known of the choice of a server."""

    @property
    def fingerprints(self) -> fingerprints_module.RequestFingerprints:
        """Return digests of the request and of the parts of its prompt."""


class RequestOutcomes:
    """Log and measure outcomes, and pass them on to forecasts and suspects."""

    __slots__ = (
        "_clock",
        "_configuration",
        "_execution_log",
        "_forecast",
        "_log",
        "_metrics",
        "_suspects",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        log: decision_log.DecisionLog,
        metrics: gateway_metrics.GatewayMetrics,
        forecast: wait_forecast.WaitForecast,
        suspects: crash_suspects.CrashSuspects,
        configuration: configuration_holder.ConfigurationHolder,
    ) -> None:
        self._clock = clock
        self._configuration = configuration
        self._execution_log = execution_log.ExecutionLog(log, metrics)
        self._forecast = forecast
        self._log = log
        self._metrics = metrics
        self._suspects = suspects

    def on_send_withheld(
        self,
        handler: RequestOutcome,
        server: backend_directory.BackendServer,
    ) -> None:
        """Log and count a send that came too late."""
        self._execution_log.on_withheld(handler, server.server_id)

    def on_first_response(self, handler: RequestOutcome) -> None:
        """Record the time to the head of the response."""
        waited_ms = self._clock.now_ms() - handler.arrived_ms
        self._metrics.observe_first_response(handler.route.name, waited_ms)
        choice = handler.dispatch.choice
        if choice is not None and choice.server is not None:
            self._forecast.on_first_response(
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
        self._log.write(
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
        self._metrics.count_attempt(failure.value)
        server = attempt.server
        if failure is attempt_module.AttemptFailure.NOT_CONNECTED:
            server.on_not_connected(self._clock.now_ms())
            self._suspects.on_server_lost(server.record)
        elif failure is attempt_module.AttemptFailure.BROKEN:
            self._on_broken(handler, attempt)
        self._log.write(
            "attempt_failed",
            request=handler.request_id,
            server=server.server_id,
            failure=failure.value,
            detail=detail,
            after_ms=self._clock.now_ms() - attempt.sent_ms,
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
        server.on_broken(self._clock.now_ms())
        if was_gone or handler.body.is_proven:
            return
        is_at_begin = attempt.status != 0 and not handler.body.has_data
        self._suspects.on_broken_response(
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
        duration_ms = self._clock.now_ms() - handler.arrived_ms
        self._metrics.observe_end(handler.route.name, code, duration_ms)
        self._execution_log.on_finished(handler)
        if handler.workspace is not None:
            self._metrics.workspaces.count_end(
                handler.workspace,
                handler.request,
                handler.attempts.sends > 0,
            )
        if server is not None and handler.route.is_stream:
            served_ms = duration_ms - handler.dispatch.waited_ms
            self._forecast.on_stream_ended(server.record.service, served_ms)
        current = self._configuration.current
        source = handler.attempts.connection
        choice = handler.dispatch.choice
        self._log.write(
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
