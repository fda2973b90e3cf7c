"""Control the requests in progress at an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.dispatch import active_request
from balsamwall.dispatch import answer_assembler
from balsamwall.dispatch import attempt_sender
from balsamwall.dispatch import caller_request
from balsamwall.dispatch import request_control
from balsamwall.dispatch import request_table
from balsamwall.dispatch import target_choice
from balsamwall.protocol import messages_request
from balsamwall.results import result_code

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from balsamwall.limits import request_limits
    from balsamwall.protocol import message
    from balsamwall.protocol import outbox as outbox_module
    from balsamwall.routing import router as router_module
    from balsamwall.timing import clock as clock_module

_Code = result_code.ResultCode
_State = active_request.State
_Active = active_request.ActiveRequest
# Refusals that are retried without using the retry budget: their cause is
# temporary or specific to one agent.
_BUDGET_EXEMPT_CODES = frozenset(
    (
        _Code.LEAVING,
        _Code.WRONG_INCARNATION,
        _Code.CANCELLED_NOT_RUN,
        _Code.NOT_HOME,
        _Code.NOT_READY,
        _Code.NO_REPLICA,
        _Code.BACKEND_DOWN,
    )
)


def _never_quarantined(fingerprint: bytes) -> bool:
    return False


class Dispatcher:
    """Dispatch the requests of one entry and handle agents' messages.

    `home_of(service, key)` names the agent that may run a non-repeatable
    service request. `on_no_replica(target, is_urgent)` is called while no
    ready replica of a target is known, `dial(peer)` when a connection to an
    agent is needed.
    """

    __slots__ = (
        "_clock",
        "_control",
        "_is_quarantined",
        "_limits",
        "_router",
        "_sender",
        "_table",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        outbox: outbox_module.Outbox,
        router: router_module.Router,
        limits: request_limits.RequestLimits,
        random_source: random.Random,
        home_of: Callable[[str, str], str | None] | None = None,
        is_quarantined: Callable[[bytes], bool] = _never_quarantined,
        on_no_replica: Callable[[str, bool], None] | None = None,
        dial: Callable[[str], None] | None = None,
    ) -> None:
        self._clock = clock
        self._router = router
        self._limits = limits
        self._is_quarantined = is_quarantined
        self._table = request_table.RequestTable()
        self._sender = attempt_sender.AttemptSender(clock, outbox)
        self._control = request_control.RequestControl(
            clock,
            router,
            limits,
            random_source,
            self._table,
            self._sender,
            target_choice.TargetChoice(
                clock, router, self._sender, home_of, on_no_replica, dial
            ),
        )

    @property
    def active_count(self) -> int:
        """Return the number of requests in progress."""
        return len(self._table)

    def submit(
        self,
        request: caller_request.CallerRequest,
        listener: caller_request.AnswerListener,
    ) -> None:
        """Start or queue a request; the listener gets the answer.

        A refusal is reported to the listener before this method returns.
        """
        active = _Active(request, listener)
        remaining_ms = request.deadline_ms - self._clock.now_ms()
        if self._table.get(request.request_id) is not None:
            self._reject(
                active,
                _Code.MALFORMED_REQUEST,
                "the request id is already in use",
            )
            return
        if remaining_ms <= 0:
            self._reject(
                active, _Code.DEADLINE_UNREACHABLE, "the deadline has passed"
            )
            return
        if self._is_quarantined(request.fingerprint):
            self._reject(
                active,
                _Code.QUARANTINED,
                "the request body has crashed backend servers",
            )
            return
        admission = self._limits.admit(
            request.tenant,
            request.workspace,
            request.request_id,
            request.is_urgent,
        )
        if admission.code is not _Code.OK:
            self._reject(
                active,
                admission.code,
                "the workspace exceeds its limit",
                admission.retry_after_ms,
            )
            return
        self._table.add(active)
        active.deadline_timer = self._clock.call_later(
            remaining_ms, self._control.on_deadline, active
        )
        if not admission.is_queued:
            active.has_slot = True
            self._control.advance(active)

    def cancel(self, request_id: str) -> None:
        """Cancel a request whose caller has disconnected."""
        active = self._table.get(request_id)
        if active is not None:
            self._sender.cancel(active)
            self._control.fail(
                active, _Code.CALLER_GONE, "the caller has disconnected"
            )

    def on_peer_up(self, peer: str, incarnation: int) -> None:
        """Reattach to the attempts of a reconnected agent.

        Attempts at an earlier incarnation are lost.
        """
        self._sender.on_peer_up(peer, incarnation)
        for active in self._table.assigned_to(peer):
            attempt = active.attempt
            if attempt is None or not self._is_assigned_to(active, peer):
                continue
            if attempt.incarnation != incarnation:
                self._control.on_incarnation_lost(active)
            elif active.state is _State.CANCELLING:
                self._sender.cancel(active)
            else:
                self._control.reattach(active)
        # Requests that wait for a home or a replica are retried at once.
        for active in self._table.parked():
            if active.state is _State.PARKED:
                self._control.advance(active)

    def on_peer_down(self, peer: str) -> None:
        """Retry at other agents, or wait for the agent to reconnect."""
        self._sender.on_peer_down(peer)
        for active in self._table.assigned_to(peer):
            if self._is_assigned_to(active, peer):
                self._control.on_attempt_lost(active)

    def on_message(self, peer: str, item: message.Message) -> None:
        """Handle an agent's message about an attempt; ignore other types."""
        if isinstance(item, messages_request.Chunk):
            self._on_chunk(peer, item)
        elif isinstance(item, messages_request.End):
            self._on_end(peer, item)
        elif isinstance(item, messages_request.Accepted):
            self._on_accepted(peer, item)
        elif isinstance(item, messages_request.Refused):
            self._on_refused(peer, item)
        elif isinstance(item, messages_request.Failed):
            self._on_failed(peer, item)
        elif isinstance(item, messages_request.Cancelled):
            self._on_cancelled(peer, item)

    def _on_accepted(self, peer: str, item: messages_request.Accepted) -> None:
        active = self._current(peer, item.request_id, item.attempt)
        if active is not None and active.state is not _State.CANCELLING:
            self._control.record_progress(active)

    def _on_chunk(self, peer: str, item: messages_request.Chunk) -> None:
        active = self._current(peer, item.request_id, item.attempt)
        if active is None:
            return
        is_first = not active.has_output
        if not active.answer.append(item):
            if active.answer.is_gap(item):
                self._control.on_gap(active)
            return
        self._control.record_progress(active)
        attempt = active.attempt
        if is_first and attempt is not None and active.request.is_urgent:
            self._router.on_first_token(
                attempt.peer,
                attempt.predicted_ms,
                self._clock.now_ms() - attempt.sent_ms,
            )
        if active.answer.is_acknowledgement_due():
            self._sender.acknowledge(active)
        active.listener.on_chunk(item.data)

    def _on_end(self, peer: str, item: messages_request.End) -> None:
        active = self._current(peer, item.request_id, item.attempt)
        if active is None:
            # No request waits for this answer, so the agent may discard it.
            self._sender.acknowledge_unclaimed(peer, item)
            return
        verification = active.answer.verify(item)
        if verification is answer_assembler.Verification.INCOMPLETE:
            self._control.on_gap(active)
        elif verification is answer_assembler.Verification.CORRUPT:
            self._sender.cancel(active)
            self._control.fail(
                active,
                _Code.ANSWER_INTERRUPTED,
                "the answer does not match its size or digest",
            )
        else:
            self._sender.acknowledge(active)
            attempt = active.attempt
            if attempt is not None:
                duration_ms = self._clock.now_ms() - attempt.sent_ms
                self._router.on_done(
                    attempt.peer, duration_ms, active.request.is_urgent
                )
            end = caller_request.AnswerEnd(
                http_status=item.http_status,
                headers=item.headers,
                total_bytes=item.total_bytes,
                output_tokens=item.output_tokens,
            )
            self._control.close(active, lambda: active.listener.on_end(end))

    def _on_refused(self, peer: str, item: messages_request.Refused) -> None:
        active = self._record_not_run(peer, item.request_id, item.attempt)
        if active is None:
            return
        code = result_code.from_number(item.code)
        self._control.record_failure(active, code)
        can_retry = (
            active.is_retryable
            and code.is_certified_not_run
            and code.repeat is not result_code.RetryAdvice.NEVER
            and code is not _Code.DEADLINE_UNREACHABLE
        )
        if can_retry and (
            code in _BUDGET_EXEMPT_CODES or self._control.take_retry(active)
        ):
            self._control.retry(active)
            return
        wait_ms = item.retry_after_ms
        if code.repeat is result_code.RetryAdvice.LATER:
            wait_ms = wait_ms or request_control.RETRY_AFTER_MS
        self._control.fail(active, code, item.detail, wait_ms, item.scope)

    def _on_cancelled(
        self, peer: str, item: messages_request.Cancelled
    ) -> None:
        if not item.ran:
            active = self._record_not_run(peer, item.request_id, item.attempt)
            if active is not None:
                self._control.record_failure(active, _Code.CANCELLED_NOT_RUN)
                self._control.retry(active)
            return
        active = self._current(peer, item.request_id, item.attempt)
        if active is None:
            return
        if not active.request.is_repeatable and not active.is_cancel_answered:
            # The agent runs the request to completion; request its answer.
            active.is_cancel_answered = True
            self._control.reattach(active)
        else:
            code = _Code.CANCELLED_AFTER_START
            self._control.on_attempt_ended(
                active, code, "the agent cancelled the request after its start"
            )

    def _on_failed(self, peer: str, item: messages_request.Failed) -> None:
        active = self._current(peer, item.request_id, item.attempt)
        if active is not None:
            code = result_code.from_number(item.code)
            self._control.on_attempt_ended(active, code, item.detail)

    def _is_assigned_to(self, active: _Active, peer: str) -> bool:
        """Return whether a request still has its attempt at an agent.

        A callback for another request may have moved or ended it.
        """
        if active.state is _State.FINISHED or active.attempt is None:
            return False
        return active.attempt.peer == peer

    def _current(
        self, peer: str, request_id: str, number: int
    ) -> _Active | None:
        """Return the request if `number` is its current attempt at a peer."""
        active = self._table.get(request_id)
        if active is None or active.attempt is None:
            return None
        attempt = active.attempt
        if attempt.number != number or attempt.peer != peer:
            return None
        return active

    def _record_not_run(
        self, peer: str, request_id: str, number: int
    ) -> _Active | None:
        """Record that an attempt was not run; return as `_current` does."""
        active = self._table.get(request_id)
        if active is not None:
            active.uncertified_attempts.discard(number)
        return self._current(peer, request_id, number)

    def _reject(
        self,
        active: _Active,
        code: _Code,
        detail: str,
        retry_after_ms: int = 0,
    ) -> None:
        active.state = _State.FINISHED
        active.listener.on_failure(
            caller_request.AnswerFailure(code, detail, retry_after_ms)
        )
