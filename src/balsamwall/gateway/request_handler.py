"""Handle one request, from its head to the end of its response."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.gateway import attempt as attempt_module
from balsamwall.gateway import event_relay
from balsamwall.gateway import execution_record
from balsamwall.gateway import http_fields
from balsamwall.gateway import incoming_request
from balsamwall.gateway import quota_gate
from balsamwall.gateway import refusal
from balsamwall.gateway import request_attempts
from balsamwall.gateway import request_content
from balsamwall.gateway import request_dispatch
from balsamwall.gateway import response_body
from balsamwall.gateway import response_writer
from balsamwall.gateway import stream_progress
from balsamwall.gateway import stream_resumption
from balsamwall.results import result_code

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.gateway import backend_directory
    from balsamwall.gateway import caller_exchange
    from balsamwall.gateway import fingerprints as fingerprints_module
    from balsamwall.gateway import request_dependencies
    from balsamwall.gateway import route as route_module
    from balsamwall.gateway import workspace as workspace_module
    from balsamwall.timing import clock as clock_module

_Code = result_code.ResultCode
# A response with this status or a higher one is a failure of the server.
SERVER_ERROR_STATUS = 500


class RequestHandler:
    """Send a request, retry if allowed, and relay the response.

    A response that has begun is only continued by resuming its event stream;
    otherwise it is cut off.
    """

    __slots__ = (
        "_arrived_ms",
        "_deadline_timer",
        "_end_ms",
        "_exchange",
        "_is_finished",
        "_on_finished",
        "_dependencies",
        "_quota",
        "_response",
        "_service",
        "attempts",
        "body",
        "content",
        "dispatch",
        "execution",
        "progress",
        "request",
        "resumption",
        "route",
        "workspace",
    )

    def __init__(
        self,
        dependencies: request_dependencies.RequestDependencies,
        exchange: caller_exchange.CallerExchange,
        request: incoming_request.IncomingRequest,
        route: route_module.Route,
        service: str,
        on_finished: Callable[[RequestHandler], None],
        workspace: workspace_module.Workspace | None = None,
    ) -> None:
        self._dependencies = dependencies
        self._exchange = exchange
        self.request = request
        self.route = route
        self.workspace = workspace
        self._service = service
        self._on_finished = on_finished
        self.execution = execution_record.ExecutionRecord(
            dependencies.clock, route.is_repeatable
        )
        self._response = response_writer.ResponseWriter(
            exchange, self.execution
        )
        self.progress = stream_progress.StreamProgress()
        self._is_finished = False
        self.content = request_content.RequestContent(
            dependencies, exchange, request
        )
        self.body = response_body.ResponseBody(route, request.resumes_after)
        wait_ms = route.timeout_ms
        if request.deadline_ms is not None:
            wait_ms = min(wait_ms, request.deadline_ms)
        self._arrived_ms = exchange.arrived_ms
        self._end_ms = self._arrived_ms + wait_ms
        self._deadline_timer: clock_module.Timer | None = None
        self.dispatch = request_dispatch.RequestDispatch(
            dependencies, self, service, self._refuse
        )
        self._quota = quota_gate.QuotaGate(
            dependencies.quotas, self, self.dispatch.dispatch, self._refuse
        )
        self.resumption = stream_resumption.StreamResumption(
            dependencies, self, service, self._quota.start, self._refuse
        )
        self.attempts = request_attempts.RequestAttempts(
            dependencies, self, exchange, service, self._response
        )

    @property
    def fingerprints(self) -> fingerprints_module.RequestFingerprints:
        """Return digests of the request and of the parts of its prompt."""
        return self.content.compute()

    @property
    def is_finished(self) -> bool:
        """Return whether the request has ended in any way."""
        return self._is_finished

    @property
    def has_begun(self) -> bool:
        """Return whether a part of the response was relayed."""
        return self._response.is_relayed

    @property
    def request_id(self) -> str:
        """Return the caller's request identifier as text for logs."""
        return self.request.attempt_id.decode("latin-1")

    @property
    def arrived_ms(self) -> int:
        """Return when the first byte of the request was read."""
        return self._arrived_ms

    @property
    def answered_status(self) -> int:
        """Return the status that the caller got, 0 without one."""
        return self._response.status

    @property
    def server_id(self) -> str:
        """Return the server of the current attempt, or an empty string."""
        attempt = self.attempts.current
        return attempt.server.server_id if attempt else ""

    @property
    def left_ms(self) -> int:
        """Return the time left until the deadline of the response."""
        return self._end_ms - self._dependencies.clock.now_ms()

    def start(self) -> None:
        """Send, queue or refuse the request."""
        self._exchange.set_listener(self)
        self._deadline_timer = self._dependencies.clock.call_later(
            self.left_ms, self.on_deadline
        )
        self.resumption.start()

    def refuse_quarantined(self) -> bool:
        """End the request if servers crash when they respond to it.

        A running response with data goes on, since it may prove that the
        content is sound. Return whether the request has ended.
        """
        if self._is_finished:
            return False
        if self.attempts.current is not None and self.body.has_data:
            return False
        left_ms = self.content.held_back_ms
        if not left_ms:
            return False
        self.attempts.abandon(is_failure=False)
        self._refuse(
            _Code.QUARANTINED,
            "servers crash when they respond to this content",
            left_ms,
        )
        return True

    def refuse_unauthenticated(self) -> bool:
        """End a request that is not sent yet if its key is not in force."""
        attempt = self.attempts.current
        if self._is_finished or (attempt is not None and attempt.is_sent):
            return False
        try:
            self.workspace = self._dependencies.authenticator.authenticate(
                self.request, self.route
            )
        except refusal.RefusalError as error:
            self.attempts.abandon(is_failure=False)
            self._refuse(error.code, str(error))
        return self._is_finished

    # Sending

    def send(self, server: backend_directory.BackendServer) -> None:
        """Send the request to a server, unless it must be refused now."""
        if self.attempts.current is not None or not self.execution.may_send:
            self._withhold(server)
            return
        if self.refuse_quarantined() or self.refuse_unauthenticated():
            return
        is_usable = self.resumption.may_send(server)
        if not is_usable or self.content.is_kept_from(server):
            self.dispatch.dispatch()
            return
        self.resumption.on_send(server)
        self.attempts.send(server)

    def _withhold(self, server: backend_directory.BackendServer) -> None:
        """Send nothing; end a request that no other attempt can end."""
        self._dependencies.outcomes.on_send_withheld(self, server)
        if not self._is_finished and self.attempts.current is None:
            self._refuse(
                _Code.OUTCOME_UNKNOWN, "a server may have run the request"
            )

    def on_written(self, attempt: attempt_module.Attempt) -> None:
        """Release the body if it will not be sent again."""
        if attempt is self.attempts.current:
            self.attempts.release_body()

    def on_response_head(
        self,
        attempt: attempt_module.Attempt,
        status: int,
        fields: http_fields.Fields,
    ) -> None:
        """Begin the response, or retry after a 5xx status.

        When a stream is resumed, a status other than 200 or another media
        type cuts it off.
        """
        if attempt is not self.attempts.current:
            return
        self.body.on_head(status, attempt.framing)
        if self.body.is_event_stream:
            self.attempts.event_deadline.start()
            if not self.resumption.may_send(attempt.server):
                attempt.abandon()
                self.on_failed(
                    attempt,
                    attempt_module.AttemptFailure.INVALID,
                    "the software version of the server has changed",
                )
                return
        if self.has_begun:
            media_type = http_fields.media_type(fields)
            if not self.body.can_continue(status, media_type):
                self.attempts.finish(True)
                attempt.abandon()
                self._cut(
                    _Code.ANSWER_INTERRUPTED,
                    f"resuming the stream got status {status}, "
                    f"media type {media_type[:100]!r}",
                )
            else:
                self.resumption.on_head(attempt)
            return
        if status >= SERVER_ERROR_STATUS and self.attempts.may_retry(
            attempt_module.AttemptFailure.INVALID
        ):
            self.attempts.finish(True)
            attempt.detach(self.left_ms)
            self.dispatch.exclude(attempt.server)
            self.dispatch.dispatch()
            return
        self._begin(attempt, fields)

    def _begin(
        self, attempt: attempt_module.Attempt, fields: http_fields.Fields
    ) -> None:
        """Begin the response, or replace a status that is no proof."""
        self.resumption.on_head(attempt)
        if self.attempts.begin_response(attempt, fields):
            self.body.begin(http_fields.media_type(fields))
            return
        self.attempts.finish(True)
        attempt.detach(self.left_ms)
        self._refuse(
            _Code.OUTCOME_UNKNOWN,
            f"uncertified status {attempt.status} of the server",
        )

    def on_response_data(
        self, attempt: attempt_module.Attempt, data: bytes
    ) -> None:
        """Relay a part of the response body."""
        if attempt is not self.attempts.current:
            return
        now_ms = self._dependencies.clock.now_ms()
        events = self.body.event_count
        try:
            data = self.body.feed(data, now_ms)
        except event_relay.EventTooLongError as error:
            self.attempts.finish(True)
            attempt.abandon()
            self._cut(_Code.ANSWER_INTERRUPTED, str(error))
            return
        if self.body.event_count > events:
            self.attempts.event_deadline.on_event()
            if not events:
                self._dependencies.outcomes.on_events_begun(self, attempt)
        if data:
            self.progress.record(now_ms, self._arrived_ms)
            self._response.write(data)
            if self.body.has_gone_on(now_ms):
                self.content.prove(self.body)

    def on_done(self, attempt: attempt_module.Attempt) -> None:
        """Finish a complete response, or handle a stream that is not whole."""
        if attempt is not self.attempts.current:
            return
        fault = self.body.fault()
        if fault:
            self.on_failed(attempt, attempt.break_failure, fault)
            return
        is_failure = attempt.status >= SERVER_ERROR_STATUS
        self.attempts.finish(is_failure)
        if not is_failure:
            self.content.prove(self.body)
        self._end()
        self._response.finish()
        self._report(_Code.OK, f"status {attempt.status}", attempt.server)

    def on_failed(
        self,
        attempt: attempt_module.Attempt,
        failure: attempt_module.AttemptFailure,
        detail: str,
    ) -> None:
        """Retry, resume or fail the request."""
        if attempt is not self.attempts.current:
            return
        self.attempts.finish(failure not in attempt_module.BLAMELESS)
        if failure is not attempt_module.AttemptFailure.UNREAD:
            self.dispatch.exclude(attempt.server)
        self._dependencies.outcomes.on_attempt_failed(
            self, attempt, failure, detail
        )
        if attempt.status == incoming_request.WRONG_SERVER_STATUS:
            self._dependencies.on_model_missing(
                self._service, self.request, attempt.server
            )
        if self._is_finished:
            # The report of the failure may have quarantined its content.
            return
        if self.has_begun and not self.body.is_resumable:
            self._cut(_Code.ANSWER_INTERRUPTED, detail)
        elif not self.attempts.may_retry(failure):
            if self.has_begun:
                self._cut(_Code.ANSWER_INTERRUPTED, detail)
            else:
                self._refuse(
                    _Code.BACKEND_DOWN,
                    f"{failure.value}: {detail}",
                    self.dispatch.retry_after_ms,
                )
        elif self.resumption.is_ambiguous:
            self.resumption.refuse_ambiguous()
        elif failure is attempt_module.AttemptFailure.NOT_RUN:
            self.dispatch.dispatch_later()
        else:
            self.dispatch.dispatch()

    # End of the request

    def on_deadline(self) -> None:
        """End the request with what is known of its outcome."""
        self.attempts.on_deadline()
        if self.has_begun:
            self._cut(
                _Code.DEADLINE_EXCEEDED,
                "deadline exceeded while sending the response",
            )
        else:
            self._refuse(_Code.DEADLINE_EXCEEDED, "deadline exceeded")

    def refuse_unsent(self, code: _Code, detail: str) -> bool:
        """Refuse the request if it is queued or about to be retried.

        A running attempt and a response that has begun are left alone. Return
        whether it was refused.
        """
        if self._is_finished or self.has_begun or self.attempts.current:
            return False
        self.dispatch.stop_wait()
        self._refuse(code, detail)
        return True

    def refuse_unrun(self, code: _Code, detail: str) -> bool:
        """Refuse the request unless a server may have run it."""
        if self.execution.may_have_run:
            return False
        return self.refuse_unsent(code, detail)

    def drop_body(self) -> bool:
        """Release the body if it is kept only for a certified refusal."""
        return self.attempts.drop_body()

    def terminate(self) -> None:
        """End the request in any state, since the process is exiting."""
        self.attempts.abandon(is_failure=False)
        self._refuse(_Code.LEAVING, "the process is exiting")

    def on_caller_disconnected(self) -> None:
        """End the request; its server may be left to finish it."""
        if self._is_finished:
            return
        self.attempts.on_caller_disconnected()
        self._end()
        self._report(
            _Code.CALLER_GONE, "the caller closed the connection", None
        )

    def on_caller_blocked(self, is_blocked: bool) -> None:
        """Apply the caller's back-pressure to the backend connection."""
        self.attempts.set_blocked(is_blocked)

    def _refuse(
        self,
        code: _Code,
        detail: str,
        retry_after_ms: int = refusal.RETRY_AFTER_MS,
    ) -> None:
        """Respond with an error that states whether the request has run.

        A response that has begun is cut off instead.
        """
        if self._is_finished:
            return
        if self.has_begun:
            self._cut(_Code.ANSWER_INTERRUPTED, detail)
            return
        self._end()
        code = self._response.refuse(code, detail, retry_after_ms)
        self._report(code, detail, None)

    def _cut(self, code: _Code, detail: str) -> None:
        if self._is_finished:
            return
        self._end()
        self._response.cut()
        self._report(code, detail, None)

    def _end(self) -> None:
        """End all waits and sends, before the response ends.

        The caller's next request is handled within the end of the response,
        and may be what the waits of this one are for.
        """
        self._is_finished = True
        self.execution.end()
        self.resumption.stop()
        self.dispatch.stop()
        self._quota.on_finished(self.execution)
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()

    def _report(
        self,
        code: _Code,
        detail: str,
        server: backend_directory.BackendServer | None,
    ) -> None:
        """Log and measure the request that has ended."""
        self._dependencies.outcomes.on_finished(self, code, detail, server)
        self._on_finished(self)
