"""Send the attempts of one request, and record their outcomes."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

from balsamwall.gateway import attempt as attempt_module
from balsamwall.gateway import event_deadline
from balsamwall.gateway import http_fields
from balsamwall.gateway import outgoing_request
from balsamwall.gateway import refusal
from balsamwall.gateway import request_outcomes
from balsamwall.gateway import stream_parts

if TYPE_CHECKING:
    from balsamwall.gateway import backend_directory
    from balsamwall.gateway import caller_exchange
    from balsamwall.gateway import connection_source
    from balsamwall.gateway import request_content
    from balsamwall.gateway import request_dependencies
    from balsamwall.gateway import response_writer
    from balsamwall.gateway import stream_meter


class RetriedDispatch(request_outcomes.ServerWaits, Protocol):
    """Know when a refused request may be sent again."""

    @property
    def retry_after_ms(self) -> int:
        """Return when a refused request may be sent again."""


class AttemptedRequest(
    attempt_module.AttemptListener,
    outgoing_request.SentRequest,
    request_outcomes.RequestOutcome,
    Protocol,
):
    """Represent the request whose attempts are sent."""

    content: request_content.RequestContent

    @property
    def dispatch(self) -> RetriedDispatch:
        """Return what is known of the choice of a server."""

    @property
    def has_begun(self) -> bool:
        """Return whether a part of the response was relayed."""


class RequestAttempts:
    """Send the attempts of a request, of which one at most is current.

    A server counts its prompt as pending until the response begins or the
    attempt ends.
    """

    __slots__ = (
        "_dependencies",
        "_exchange",
        "_handler",
        "_has_response",
        "_is_blocked",
        "_pending_tokens",
        "_response",
        "_service",
        "connection",
        "current",
        "event_deadline",
        "meter",
        "parts",
        "sends",
    )

    def __init__(
        self,
        dependencies: request_dependencies.RequestDependencies,
        handler: AttemptedRequest,
        exchange: caller_exchange.CallerExchange,
        service: str,
        response: response_writer.ResponseWriter,
    ) -> None:
        self._dependencies = dependencies
        self._handler = handler
        self._exchange = exchange
        self._service = service
        self._response = response
        self._has_response = False  # of the current attempt, for the caller
        self._is_blocked = False  # whether the caller does not read
        self._pending_tokens = 0
        self.current: attempt_module.Attempt | None = None
        self.event_deadline = event_deadline.EventDeadline(
            dependencies.clock,
            handler.route.event_timeout_ms,
            self._on_stalled,
        )
        self.meter: stream_meter.StreamMeter | None = None  # of the last send
        self.sends = 0
        # Events of the response by the server process that wrote them.
        self.parts: list[stream_parts.StreamPart] = []
        # Connection of the last attempt that has ended.
        self.connection: connection_source.ConnectionSource | None = None

    def send(self, server: backend_directory.BackendServer) -> None:
        """Send the request to a server as the current attempt."""
        dependencies, handler = self._dependencies, self._handler
        attempt = attempt_module.Attempt(
            server,
            dependencies.codec,
            outgoing_request.build(
                dependencies, handler, self._exchange, server
            ),
            handler,
            dependencies.clock,
            dependencies.announcements,
            handler.execution.open_send(server.server_id),
        )
        attempt.meter = self.meter = dependencies.choice.meter(
            server, handler.request, handler.route
        )
        reason = "retry" if self.sends else "first"
        reason = "resume" if handler.has_begun else reason
        dependencies.metrics.count_send(reason)
        dependencies.backoff.on_send(server.record, handler.request_id, reason)
        self.sends += 1
        self._has_response = False
        handler.body.on_sent()
        self.current = attempt
        server.on_sent()
        self._pending_tokens = handler.request.prompt_tokens
        server.pending_tokens += self._pending_tokens
        dependencies.choice.record_sent(server, handler.request)
        is_fresh = outgoing_request.needs_new_connection(
            handler.route, self.sends
        )
        attempt.set_blocked(self._is_blocked)
        attempt.start(dependencies.pool, is_fresh, handler.route.is_repeatable)

    def release_pending_tokens(self) -> None:
        """Subtract the prompt from the server's pending tokens."""
        if self.current is not None:
            self.current.server.pending_tokens -= self._pending_tokens
        self._pending_tokens = 0

    def may_retry(self, failure: attempt_module.AttemptFailure) -> bool:
        """Return whether to send again after a failure."""
        if not self._exchange.body.may_be_sent or self._is_suspect(failure):
            return False
        return self._dependencies.retry_policy.may_retry(
            self._handler.route,
            self._handler.execution,
            failure,
            self._handler.left_ms,
            self._dependencies.retry_budget_for(self._service),
        )

    def _is_suspect(self, failure: attempt_module.AttemptFailure) -> bool:
        """Return whether the request may have crashed several servers.

        It is then left to its caller to send it again, so that the
        coordinator can decide before it crashes another server.
        """
        suspects = self._dependencies.suspects
        return (
            failure is attempt_module.AttemptFailure.BROKEN
            and suspects.has_watched
            and suspects.is_watched(self._handler.fingerprints.request)
        )

    def begin_response(
        self, attempt: attempt_module.Attempt, fields: http_fields.Fields
    ) -> bool:
        """Begin the response to the caller; return whether it is a true one.

        An event stream has no length for the caller, since the length would
        end it before its last event is known to be complete. A response that
        ends with the server's connection is chunked for the caller, so that
        the loss of this process does not look like its end.
        """
        length = None
        if not self._handler.body.is_event_stream:
            length = http_fields.content_length(fields)
        fields = self._dependencies.codec.response_fields(fields)
        if attempt.has_backed_off:
            # The server speaks for itself, and others may serve the caller.
            fields = refusal.with_retry_after(
                fields, self._handler.dispatch.retry_after_ms
            )
        if not self._response.relay(attempt.status, fields, length):
            return False
        self._has_response = True
        self.release_pending_tokens()
        self.release_body()
        self._dependencies.outcomes.on_first_response(self._handler)
        return True

    def release_body(self) -> None:
        """Release the caller's body if no failure allows another send.

        A response that has begun is only continued on another server.
        """
        handler = self._handler
        is_last = handler.has_begun and not handler.body.is_resumable
        if is_last or not self._dependencies.retry_policy.may_send_again(
            handler.route,
            handler.execution,
            handler.left_ms,
            self._has_response,
        ):
            self._release_body()

    def drop_body(self) -> bool:
        """Release a body that is kept only for a certified refusal.

        Return whether it was released.
        """
        attempt, body = self.current, self._exchange.body
        if attempt is None or not attempt.is_written or not body.size:
            return False
        if self._handler.route.is_repeatable or not body.may_be_sent:
            return False
        self._release_body()
        return True

    def _release_body(self) -> None:
        if self._exchange.body.size:
            # They are computed from the body, and may be needed later.
            self._handler.content.compute()
        self._exchange.release_body()

    def on_deadline(self) -> None:
        """Cancel the current attempt, since its response is late.

        A server that has not read the whole request fails this request only:
        large bodies say little about how it serves others.
        """
        attempt, has_begun = self.current, self._handler.has_begun
        is_unread = (
            attempt is not None and attempt.is_sent and not attempt.is_written
        )
        self.abandon(is_failure=not has_begun and not is_unread)

    def finish(self, is_failure: bool) -> None:
        """Record the outcome of the current attempt and clear it.

        A server that asks for a back-off has not failed.
        """
        attempt = self.current
        if attempt is None:
            return
        self._clear(attempt)
        if not attempt.has_backed_off:
            self._dependencies.health.on_outcome(attempt.server, is_failure)

    def abandon(self, is_failure: bool) -> None:
        """Cancel the current attempt, if there is one."""
        attempt = self.current
        if attempt is None:
            return
        self.finish(is_failure)
        attempt.abandon()

    def on_caller_disconnected(self) -> None:
        """Cancel the attempt of a stream or of a repeatable request.

        The outcome of another one matters although the caller is gone, so the
        server is left to finish it.
        """
        attempt, route = self.current, self._handler.route
        if attempt is None:
            return
        self._clear(attempt)
        if route.is_stream or route.is_repeatable:
            attempt.abandon()
        else:
            attempt.detach(self._handler.left_ms)

    def set_blocked(self, is_blocked: bool) -> None:
        """Apply the caller's back-pressure to the backend connection."""
        self._is_blocked = is_blocked
        self.event_deadline.set_blocked(is_blocked)
        if self.current is not None:
            self.current.set_blocked(is_blocked)

    def _clear(self, attempt: attempt_module.Attempt) -> None:
        """Count the current attempt no more at its server."""
        self.event_deadline.stop()
        self.release_pending_tokens()
        self._record_part(attempt)
        self._dependencies.running_streams.remove(attempt)
        self.current = None
        self.connection = attempt.source
        attempt.server.on_ended()

    def _record_part(self, attempt: attempt_module.Attempt) -> None:
        """Record which events of the response the server has written."""
        body = self._handler.body
        if body.event_count:
            self.parts.append(
                stream_parts.of_record(
                    attempt.record, body.first_event_id, body.last_event_id
                )
            )

    def _on_stalled(self) -> None:
        """Fail the attempt of a stream whose server completes no event."""
        attempt = self.current
        if attempt is not None:
            attempt.abandon()
            self._handler.on_failed(
                attempt,
                attempt_module.AttemptFailure.STALLED,
                "no event within the caller's timeout",
            )
