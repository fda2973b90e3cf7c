"""Steps of a request between its attempts."""

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

DISPATCH_TIMEOUT_MS = 1_000
RECONNECT_GRACE_MS = 5_000
STALL_CHECK_MS = 5_000
GAP_REPEAT_MS = 500
# Retries that cost no budget, because nothing was run, are slowed down after
# this many attempts.
FAST_ATTEMPTS = 3
PARK_DELAY_MS = 100
MAX_PARK_DELAY_MS = 1_000
RETRY_AFTER_MS = 1_000

_Code = result_code.ResultCode
_State = active_request.State
_Active = active_request.ActiveRequest
_BACKEND_FAULTS = frozenset(
    (_Code.BACKEND_ERROR, _Code.BACKEND_CRASHED, _Code.ANSWER_INTERRUPTED)
)


class RequestControl:
    """Dispatches, waits, retries, attaches again and ends requests."""

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
        """Choose an agent and dispatch, or wait, or give up."""
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
            self._after(active, DISPATCH_TIMEOUT_MS, self._on_dispatch_timeout)
        elif not chosen.may_wait or not self._park(
            active, target_choice.WAIT_STEP_MS
        ):
            self.fail(
                active, chosen.code, chosen.detail, chosen.retry_after_ms
            )

    def _park(self, active: _Active, wait_ms: int) -> bool:
        """Let a request wait; return False if it can't or too many do."""
        now_ms = self._clock.now_ms()
        wait_ms = int(wait_ms * (0.5 + self._random.random()))
        if now_ms + wait_ms >= active.request.deadline_ms:
            return False
        if not self._table.park(active):
            return False
        active.state = _State.PARKED
        if active.parked_ms is None:
            active.parked_ms = now_ms
        self._after(active, wait_ms, self.advance)
        return True

    def retry(self, active: _Active) -> None:
        """Leave the current attempt and make another one."""
        if active.attempt is not None and not active.needs_home:
            active.excluded.add(active.attempt.peer)
        self._table.drop_peer(active)
        active.attempt = None
        slow = active.attempts - FAST_ATTEMPTS
        if slow < 0 and not active.needs_home:
            self.advance(active)
            return
        wait_ms = min(MAX_PARK_DELAY_MS, PARK_DELAY_MS << max(0, min(slow, 8)))
        if not self._park(active, wait_ms):
            self.fail(
                active,
                _Code.DEADLINE_UNREACHABLE,
                "no time is left for another attempt",
                RETRY_AFTER_MS,
            )

    def _on_dispatch_timeout(self, active: _Active) -> None:
        """Ask for a certificate; a repeatable request need not wait."""
        if not active.request.is_repeatable:
            active.state = _State.CANCELLING
            self._sender.cancel(active)
            self._after(active, DISPATCH_TIMEOUT_MS, self._on_dispatch_timeout)
        elif self.take_retry(active):
            self._sender.cancel(active)
            self.note_failure(active, _Code.CANCELLED_NOT_RUN)
            self.retry(active)
        else:
            self.reattach(active)

    def _on_stall_check(self, active: _Active) -> None:
        """Ask for the rest when nothing came for some time."""
        quiet_ms = self._clock.now_ms() - active.progress_ms
        if quiet_ms >= STALL_CHECK_MS:
            self.reattach(active)
        else:
            self._after(
                active, STALL_CHECK_MS - quiet_ms, self._on_stall_check
            )

    def reattach(self, active: _Active) -> None:
        active.state = _State.ACCEPTED
        active.progress_ms = self._clock.now_ms()
        self._sender.reattach(active)
        self._after(active, STALL_CHECK_MS, self._on_stall_check)

    def note_progress(self, active: _Active) -> None:
        active.progress_ms = self._clock.now_ms()
        if active.state is not _State.ACCEPTED:
            active.state = _State.ACCEPTED
            self._after(active, STALL_CHECK_MS, self._on_stall_check)

    def on_gap(self, active: _Active) -> None:
        """Ask for missing bytes, not again for each chunk after a gap."""
        now_ms = self._clock.now_ms()
        asked_ms = active.gap_asked_ms
        if asked_ms is None or now_ms - asked_ms >= GAP_REPEAT_MS:
            active.gap_asked_ms = now_ms
            self.reattach(active)

    def on_attempt_ended(
        self, active: _Active, code: _Code, detail: str
    ) -> None:
        """Retry or fail after an attempt that may have run has ended."""
        self.note_failure(active, code)
        is_final = code.repeat is result_code.Repeat.NEVER
        if active.may_run_again and not is_final and self.take_retry(active):
            self.retry(active)
            return
        if not active.request.is_repeatable:
            # A code that advises a new request could make it run twice.
            if code.repeat is not result_code.Repeat.NEVER:
                code = _Code.OUTCOME_UNKNOWN
        elif active.has_output and code.ran is not result_code.Ran.RAN:
            code = _Code.ANSWER_INTERRUPTED
        self.fail(active, code, detail, RETRY_AFTER_MS)

    def on_attempt_lost(self, active: _Active) -> None:
        """Retry elsewhere, or wait for the agent or the retry budget."""
        if not active.may_run_again:
            if active.state is not _State.CANCELLING:
                active.state = _State.LOST
            self._after(active, RECONNECT_GRACE_MS, self.on_attempt_dead)
        elif self.take_retry(active):
            self.note_failure(active, _Code.CANCELLED_NOT_RUN)
            self.retry(active)
        else:
            active.state = _State.LOST
            request = active.request
            wait_ms = self._limits.retry_wait_ms(
                request.tenant, request.workspace
            )
            wait_ms = int(wait_ms * (1 + self._random.random()))
            self._after(
                active, max(PARK_DELAY_MS, wait_ms), self.on_attempt_lost
            )

    def on_attempt_dead(self, active: _Active) -> None:
        """Handle an attempt whose incarnation can't be reached any more."""
        if active.may_run_again:
            self.on_attempt_lost(active)
        elif active.request.is_repeatable:
            self.fail(
                active,
                _Code.ANSWER_INTERRUPTED,
                "the agent was lost during the answer",
                RETRY_AFTER_MS,
            )
        else:
            self.fail(
                active,
                _Code.OUTCOME_UNKNOWN,
                "the agent was lost while it had the request",
                RETRY_AFTER_MS,
            )

    def on_deadline(self, active: _Active) -> None:
        active.deadline_timer = None
        self._sender.cancel(active)
        code = _Code.DEADLINE_UNREACHABLE
        if active.uncertain:
            code = _Code.DEADLINE_EXCEEDED
        self.fail(active, code, "the deadline passed", RETRY_AFTER_MS)

    def note_failure(self, active: _Active, code: _Code) -> None:
        if active.attempt is not None:
            is_fault = code in _BACKEND_FAULTS
            self._router.on_failure(active.attempt.peer, is_fault)

    def take_retry(self, active: _Active) -> bool:
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
        """Give the final failure; "not run" only if all is certified."""
        if code.is_certified_not_run and active.uncertain:
            is_crash = code is _Code.QUARANTINED
            code = _Code.BACKEND_CRASHED if is_crash else _Code.OUTCOME_UNKNOWN
        failure = caller_request.AnswerFailure(
            code, detail, retry_after_ms, scope
        )
        self.close(active, lambda: active.listener.on_failure(failure))

    def close(self, active: _Active, notify: Callable[[], None]) -> None:
        """End a request, tell its listener and start the next ones."""
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
                # Its listener gave it up inside the notification.
                self._limits.release_slot(tenant, workspace, request.is_urgent)
            else:
                waiting.has_slot = True
                self.advance(waiting)

    def _after(
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
