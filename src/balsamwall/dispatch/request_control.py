"""Control the transitions of a request between its attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.dispatch import active_request
from balsamwall.dispatch import caller_request
from balsamwall.dispatch import target_choice
from balsamwall.results import result_code

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from balsamwall.dispatch import attempt_sender
    from balsamwall.dispatch import request_table
    from balsamwall.limits import request_limits
    from balsamwall.routing import router as router_module
    from balsamwall.timing import clock as clock_module

# An agent that has not accepted a dispatch in this time gets a cancellation
# or a reattachment; a cancellation that is not answered is repeated.
DISPATCH_TIMEOUT_MS = 1_000
# A request that cannot be retried fails if its agent is away for longer.
RECONNECT_GRACE_MS = 5_000
# An attempt without progress for this time is reattached.
STALL_CHECK_MS = 5_000
# Shortest interval between two requests for missing bytes.
GAP_REPEAT_MS = 500
# Retries that use no budget, because nothing was run, are delayed after this
# many attempts.
FAST_ATTEMPTS = 3
# The mean delay doubles with each further attempt up to the maximum.
PARK_DELAY_MS = 100
MAX_PARK_DELAY_MS = 1_000
# Delay that a failure advises to the caller before a new request.
RETRY_AFTER_MS = 1_000

_Code = result_code.ResultCode
_State = active_request.State
_Active = active_request.ActiveRequest
_BACKEND_FAULTS = frozenset(
    (_Code.BACKEND_ERROR, _Code.BACKEND_CRASHED, _Code.ANSWER_INTERRUPTED)
)


class RequestControl:
    """Dispatch, park, retry, reattach and end requests.

    A parked request has no attempt and waits for a later choice of an agent.
    """

    __slots__ = (
        "_choice",
        "_clock",
        "_limits",
        "_random",
        "_router",
        "_sender",
        "_table",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        router: router_module.Router,
        limits: request_limits.RequestLimits,
        random_source: random.Random,
        table: request_table.RequestTable,
        sender: attempt_sender.AttemptSender,
        choice: target_choice.TargetChoice,
    ) -> None:
        self._clock = clock
        self._router = router
        self._limits = limits
        self._random = random_source
        self._table = table
        self._sender = sender
        self._choice = choice

    def advance(self, active: _Active) -> None:
        """Dispatch a request to a chosen agent, park it, or fail it."""
        chosen = self._choice.choose(active)
        if chosen.code is _Code.OK:
            self._table.unpark(active)
            active.parked_ms = None
            active.is_cancel_answered = False
            active.state = _State.DISPATCHED
            self._sender.dispatch(active, chosen.peer, chosen.predicted_ms)
            self._table.set_peer(active)
            request = active.request
            self._router.on_dispatch(
                chosen.peer, request.prompt_tokens, request.is_urgent
            )
            self._schedule_step(
                active, DISPATCH_TIMEOUT_MS, self._on_dispatch_timeout
            )
        elif not chosen.may_wait or not self._park(
            active, target_choice.RETRY_INTERVAL_MS
        ):
            self.fail(
                active, chosen.code, chosen.detail, chosen.retry_after_ms
            )

    def _park(self, active: _Active, wait_ms: int) -> bool:
        """Park a request for a random 0.5 to 1.5 times `wait_ms`.

        Return False if its deadline is not later or too many are parked.
        """
        now_ms = self._clock.now_ms()
        wait_ms = int(wait_ms * (0.5 + self._random.random()))
        if now_ms + wait_ms >= active.request.deadline_ms:
            return False
        if not self._table.park(active):
            return False
        active.state = _State.PARKED
        if active.parked_ms is None:
            active.parked_ms = now_ms
        self._schedule_step(active, wait_ms, self.advance)
        return True

    def retry(self, active: _Active) -> None:
        """Drop the current attempt and start or schedule another one."""
        if active.attempt is not None and not active.needs_home:
            active.excluded.add(active.attempt.peer)
        self._table.unset_peer(active)
        active.attempt = None
        slow_attempts = active.attempts - FAST_ATTEMPTS
        if slow_attempts < 0 and not active.needs_home:
            self.advance(active)
            return
        wait_ms = min(
            MAX_PARK_DELAY_MS, PARK_DELAY_MS << max(0, min(slow_attempts, 8))
        )
        if not self._park(active, wait_ms):
            self.fail(
                active,
                _Code.DEADLINE_UNREACHABLE,
                "no time left for another attempt before the deadline",
                RETRY_AFTER_MS,
            )

    def _on_dispatch_timeout(self, active: _Active) -> None:
        """Retry a repeatable request, or reattach without a retry budget.

        A non-repeatable request is cancelled and waits, since it may only be
        retried after the agent has certified that it did not run.
        """
        if not active.request.is_repeatable:
            active.state = _State.CANCELLING
            self._sender.cancel(active)
            self._schedule_step(
                active, DISPATCH_TIMEOUT_MS, self._on_dispatch_timeout
            )
        elif self.take_retry(active):
            self._sender.cancel(active)
            self.record_failure(active, _Code.CANCELLED_NOT_RUN)
            self.retry(active)
        else:
            self.reattach(active)

    def _on_stall_check(self, active: _Active) -> None:
        """Reattach if no progress was made for `STALL_CHECK_MS`."""
        idle_ms = self._clock.now_ms() - active.progress_ms
        if idle_ms >= STALL_CHECK_MS:
            self.reattach(active)
        else:
            self._schedule_step(
                active, STALL_CHECK_MS - idle_ms, self._on_stall_check
            )

    def reattach(self, active: _Active) -> None:
        """Ask the agent of the current attempt to continue its answer."""
        active.state = _State.ACCEPTED
        active.progress_ms = self._clock.now_ms()
        self._sender.reattach(active)
        self._schedule_step(active, STALL_CHECK_MS, self._on_stall_check)

    def record_progress(self, active: _Active) -> None:
        """Record that the agent accepted the attempt or sent new bytes."""
        active.progress_ms = self._clock.now_ms()
        if active.state is not _State.ACCEPTED:
            active.state = _State.ACCEPTED
            self._schedule_step(active, STALL_CHECK_MS, self._on_stall_check)

    def on_gap(self, active: _Active) -> None:
        """Request missing bytes, at most once per `GAP_REPEAT_MS`."""
        now_ms = self._clock.now_ms()
        requested_ms = active.gap_requested_ms
        if requested_ms is None or now_ms - requested_ms >= GAP_REPEAT_MS:
            active.gap_requested_ms = now_ms
            self.reattach(active)

    def on_attempt_ended(
        self, active: _Active, code: _Code, detail: str
    ) -> None:
        """Retry or fail a request whose attempt ended and may have run."""
        self.record_failure(active, code)
        is_final = code.repeat is result_code.RetryAdvice.NEVER
        if active.is_retryable and not is_final and self.take_retry(active):
            self.retry(active)
            return
        if not active.request.is_repeatable:
            # A code that advises a new request could cause a second run.
            if code.repeat is not result_code.RetryAdvice.NEVER:
                code = _Code.OUTCOME_UNKNOWN
        elif (
            active.has_output
            and code.ran is not result_code.ExecutionState.RAN
        ):
            code = _Code.ANSWER_INTERRUPTED
        self.fail(active, code, detail, RETRY_AFTER_MS)

    def on_attempt_lost(self, active: _Active) -> None:
        """Retry elsewhere, or wait to reconnect or for the retry budget."""
        if not active.is_retryable:
            if active.state is not _State.CANCELLING:
                active.state = _State.LOST
            self._schedule_step(
                active, RECONNECT_GRACE_MS, self.on_incarnation_lost
            )
        elif self.take_retry(active):
            self.record_failure(active, _Code.CANCELLED_NOT_RUN)
            self.retry(active)
        else:
            active.state = _State.LOST
            request = active.request
            wait_ms = self._limits.retry_wait_ms(
                request.tenant, request.workspace
            )
            wait_ms = int(wait_ms * (1 + self._random.random()))
            self._schedule_step(
                active, max(PARK_DELAY_MS, wait_ms), self.on_attempt_lost
            )

    def on_incarnation_lost(self, active: _Active) -> None:
        """Retry or fail a request whose agent can no longer answer."""
        if active.is_retryable:
            self.on_attempt_lost(active)
        elif active.request.is_repeatable:
            self.fail(
                active,
                _Code.ANSWER_INTERRUPTED,
                "the agent became unreachable during the answer",
                RETRY_AFTER_MS,
            )
        else:
            self.fail(
                active,
                _Code.OUTCOME_UNKNOWN,
                "the agent became unreachable while it had the request",
                RETRY_AFTER_MS,
            )

    def on_deadline(self, active: _Active) -> None:
        """Cancel and fail a request whose deadline has passed.

        The code is DEADLINE_EXCEEDED if an attempt may have run.
        """
        active.deadline_timer = None
        self._sender.cancel(active)
        code = _Code.DEADLINE_UNREACHABLE
        if active.uncertified_attempts:
            code = _Code.DEADLINE_EXCEEDED
        self.fail(active, code, "the deadline passed", RETRY_AFTER_MS)

    def record_failure(self, active: _Active, code: _Code) -> None:
        """Report a failed attempt to the router, if there is one."""
        if active.attempt is not None:
            is_fault = code in _BACKEND_FAULTS
            self._router.on_failure(active.attempt.peer, is_fault)

    def take_retry(self, active: _Active) -> bool:
        """Use one retry of the workspace's budget; return False if empty."""
        request = active.request
        return self._limits.take_retry(request.tenant, request.workspace)

    def fail(
        self,
        active: _Active,
        code: _Code,
        detail: str,
        retry_after_ms: int = 0,
        scope: str = "attempt",
    ) -> None:
        """End a request with a failure.

        A code that certifies "not run" is replaced if an attempt may have run.
        """
        if code.is_certified_not_run and active.uncertified_attempts:
            is_crash = code is _Code.QUARANTINED
            code = _Code.BACKEND_CRASHED if is_crash else _Code.OUTCOME_UNKNOWN
        failure = caller_request.AnswerFailure(
            code, detail, retry_after_ms, scope
        )
        self.close(active, lambda: active.listener.on_failure(failure))

    def close(self, active: _Active, notify: Callable[[], None]) -> None:
        """End a request, call `notify` and start queued requests."""
        if active.state is _State.FINISHED:
            return
        active.stop_timers()
        self._table.remove(active)
        active.state = _State.FINISHED
        request = active.request
        tenant, workspace = request.tenant, request.workspace
        started: list[str] = []
        if active.has_slot:
            started = self._limits.release_slot(
                tenant, workspace, request.is_urgent
            )
        else:
            self._limits.remove_from_queue(
                tenant, workspace, request.request_id
            )
        notify()
        for request_id in started:
            waiting = self._table.get(request_id)
            if waiting is None:
                # Its listener cancelled it during the notification.
                self._limits.release_slot(tenant, workspace, request.is_urgent)
            else:
                waiting.has_slot = True
                self.advance(waiting)

    def _schedule_step(
        self,
        active: _Active,
        delay_ms: int,
        function: Callable[[_Active], None],
    ) -> None:
        if active.step_timer is not None:
            active.step_timer.cancel()
        active.step_timer = self._clock.call_later(
            delay_ms, self._run_step, active, function
        )

    def _run_step(
        self, active: _Active, function: Callable[[_Active], None]
    ) -> None:
        active.step_timer = None
        if active.state is not _State.FINISHED:
            function(active)
