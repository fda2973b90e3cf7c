"""Control the life cycle of started attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.backend import backend_server
from balsamwall.execution import run as run_module
from balsamwall.execution import run_listener
from balsamwall.execution import run_scheduler
from balsamwall.execution import run_table
from balsamwall.idempotency import key_gate as key_gate_module
from balsamwall.idempotency import scoped_key
from balsamwall.protocol import messages_request
from balsamwall.results import result_code

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.execution import crash_attribution
    from balsamwall.execution import run_observer
    from balsamwall.residency import memory_account
    from balsamwall.timing import clock as clock_module

# A complete answer that no entry has acknowledged is dropped this long after
# the deadline of its request.
ANSWER_RETENTION_MS = 10_000
# A non-repeatable attempt may run this long after its deadline.
NON_REPEATABLE_EXTRA_MS = 60_000
# Limit on the resumptions of the stream of one attempt for a model.
MAX_RESUMES = 3
RESUME_DELAY_MS = 100
# An answer with more unacknowledged bytes is interrupted.
MAX_BUFFER_BYTES = 8 * 1_024 * 1_024

_Code = result_code.ResultCode
_RESUMABLE_CODES = frozenset((_Code.ANSWER_INTERRUPTED, _Code.OUTCOME_UNKNOWN))


class RunControl:
    """Start, resume, stop and end attempts at a backend server.

    Events of the backend server carry the generation of their reading;
    those of an earlier reading don't change the answer.
    """

    __slots__ = (
        "_backend",
        "_clock",
        "_crash",
        "_key_gate",
        "_observer",
        "_table",
        "is_backend_up",
        "scheduler",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        backend: backend_server.BackendServer,
        memory: memory_account.MemoryAccount,
        key_gate: key_gate_module.KeyGate,
        crash: crash_attribution.CrashAttribution,
        table: run_table.RunTable,
        kv_bytes: Callable[[str, int], int],
        is_served: Callable[[str, str], bool],
        max_running: int,
        observer: run_observer.RunObserver,
    ) -> None:
        self._clock = clock
        self._observer = observer
        self._backend = backend
        self._key_gate = key_gate
        self._crash = crash
        self._table = table
        self.is_backend_up = True
        self.scheduler = run_scheduler.RunScheduler(
            clock,
            memory,
            crash,
            kv_bytes,
            is_served,
            self._start,
            self.refuse,
            max_running,
        )

    def refuse(
        self,
        run: run_module.Run,
        code: _Code,
        detail: str,
        scope: str = "attempt",
    ) -> None:
        """Refuse an attempt in the table that has not run."""
        self.fail_key(run, result_code.ExecutionState.NOT_RUN)
        self._table.close(run, run_table.refused(run.key, code, detail, scope))

    def fail(
        self, run: run_module.Run, code: _Code, detail: str, has_survived: bool
    ) -> None:
        """Fail an attempt that may have run.

        `has_survived` tells whether the backend server survived the attempt.
        """
        self.scheduler.finish(run, has_survived)
        ran = code.ran
        if ran is result_code.ExecutionState.NOT_RUN:
            ran = result_code.ExecutionState.UNKNOWN
        self.fail_key(run, ran)
        self._table.close(run, run_table.failed(run.key, code, detail))
        self.scheduler.recheck_waiting()

    def fail_key(
        self, run: run_module.Run, ran: result_code.ExecutionState
    ) -> None:
        """Record a failed run if the attempt owns its key."""
        item = run.dispatch
        owns_key = run.state in (
            run_module.RunState.WAITING,
            run_module.RunState.RUNNING,
        )
        if item.idempotency_key and owns_key:
            self._key_gate.fail(item.target, item.idempotency_key, ran)

    def end(
        self,
        run: run_module.Run,
        http_status: int,
        headers: dict[str, str],
        output_tokens: int,
    ) -> None:
        """Send the end; keep the answer until acknowledged or expired."""
        if run.state is run_module.RunState.RUNNING:
            self._observer.on_end(run.dispatch, output_tokens)
        run.stop_timer()
        run.state = run_module.RunState.ENDED
        run.end = messages_request.End(
            request_id=run.dispatch.request_id,
            attempt=run.dispatch.attempt,
            total_bytes=run.buffer.end,
            http_status=http_status,
            headers=headers,
            output_tokens=output_tokens,
            digest=run.buffer.digest,
        )
        remaining_ms = max(0, run.deadline_ms - self._clock.now_ms())
        run.timer = self._clock.call_later(
            remaining_ms + ANSWER_RETENTION_MS, self.drop_answer, run
        )
        self._table.send(run, run.end)

    def drop_answer(self, run: run_module.Run) -> None:
        """Drop an answer that was acknowledged or has expired."""
        run.is_attached = False
        code = _Code.ANSWER_NOT_KEPT
        self._table.close(
            run, run_table.failed(run.key, code, "the answer was dropped")
        )

    def cancel(self, run: run_module.Run) -> None:
        """Stop a repeatable attempt and report it as run."""
        if run.state is run_module.RunState.RUNNING:
            self._stop(run)
        self.fail_key(run, result_code.ExecutionState.RAN)
        self._table.close(run, run_table.cancelled(run.key, ran=True))
        self.scheduler.recheck_waiting()

    def interrupt(self, run: run_module.Run, detail: str) -> None:
        """Stop an attempt whose answer can't be delivered completely."""
        if run.state is run_module.RunState.RUNNING:
            self._stop(run)
        self.fail(run, _Code.ANSWER_INTERRUPTED, detail, True)

    def backend_down(self, is_crash: bool) -> None:
        """Fail running attempts and refuse waiting ones."""
        self.is_backend_up = False
        self.scheduler.is_paused = True
        if is_crash:
            self._crash.on_crash(
                self.scheduler.active_fingerprints(),
                self.scheduler.isolated_fingerprint,
            )
        detail = "the backend server went down"
        code = _Code.BACKEND_CRASHED if is_crash else _Code.OUTCOME_UNKNOWN
        for run in self.scheduler.running:
            self.fail(run, code, detail, False)
        self.scheduler.release_all_stopping()
        for run in list(self.scheduler.waiting()):
            if self.scheduler.remove(run):
                self.refuse(run, _Code.BACKEND_DOWN, detail)

    def backend_up(self) -> None:
        """Resume starting attempts."""
        self.is_backend_up = True
        self.scheduler.is_paused = False
        self.scheduler.start_eligible()

    def on_data(
        self, run: run_module.Run, generation: int, offset: int, data: bytes
    ) -> None:
        """Forward a part of an answer; skip bytes received before."""
        if not self._is_current(run, generation):
            return
        expected = run.buffer.end
        if offset > expected:
            self._resume(run, f"gap at offset {expected}")
            return
        data = data[expected - offset :]
        if not data:
            return
        run.buffer.append(data)
        if run.buffer.size_bytes > MAX_BUFFER_BYTES:
            self.interrupt(
                run, "the entry left too much of the answer unacknowledged"
            )
            return
        self._table.send_chunk(run, expected, data)

    def on_end(
        self,
        run: run_module.Run,
        generation: int,
        http_status: int,
        headers: dict[str, str],
        total_bytes: int,
        output_tokens: int,
    ) -> None:
        """Complete an answer, or resume it if bytes are missing."""
        if not self._is_current(run, generation):
            self.scheduler.release_stopped(run)
            return
        if total_bytes != run.buffer.end:
            self._resume(run, f"answer ended short of its {total_bytes} bytes")
            return
        item = run.dispatch
        if item.idempotency_key:
            answer = key_gate_module.RecordedAnswer(
                http_status, headers, run.buffer.full_content()
            )
            self._key_gate.complete(item.target, item.idempotency_key, answer)
        self.scheduler.finish(run, True)
        self.end(run, http_status, headers, output_tokens)
        self.scheduler.recheck_waiting()

    def on_error(
        self,
        run: run_module.Run,
        generation: int,
        code: _Code,
        detail: str,
        is_crash: bool,
    ) -> None:
        """Handle a failure of the attempt or of its stream."""
        if not self._is_current(run, generation):
            # A broken stream does not show that the cancelled attempt has
            # stopped, so its memory stays charged.
            if code not in _RESUMABLE_CODES:
                self.scheduler.release_stopped(run)
        elif is_crash:
            self.backend_down(True)
        elif code in _RESUMABLE_CODES and run.dispatch.kind == "model":
            self._resume(run, detail)
        elif code.is_certified_not_run and not run.buffer.end:
            self.scheduler.finish(run, True)
            self.refuse(run, code, detail)
            self.scheduler.recheck_waiting()
        else:
            self.fail(run, code, detail, True)

    def _start(self, run: run_module.Run) -> None:
        item = run.dispatch
        run.state = run_module.RunState.RUNNING
        now_ms = self._clock.now_ms()
        self._observer.on_start(item, now_ms - run.enqueued_ms)
        remaining_ms = run.deadline_ms - now_ms
        limit_ms = remaining_ms
        if not item.is_repeatable:
            limit_ms += NON_REPEATABLE_EXTRA_MS
        run.timer = self._clock.call_later(limit_ms, self._on_overdue, run)
        self._backend.start(
            backend_server.BackendRequest(
                request_id=run.backend_id,
                kind=item.kind,
                target=item.target,
                path=item.path,
                headers=item.headers,
                body=item.body,
                is_urgent=item.is_urgent,
                is_streamed=item.is_streamed,
                prompt_tokens=item.prompt_tokens,
                max_output_tokens=item.max_output_tokens,
                idempotency_key=scoped_key.caller_key(item.idempotency_key),
                timeout_ms=limit_ms,
            ),
            run_listener.RunListener(self, run),
        )

    def _on_overdue(self, run: run_module.Run) -> None:
        run.timer = None
        if run.state is run_module.RunState.RUNNING:
            self._stop(run)
            code = _Code.DEADLINE_EXCEEDED
            self.fail(run, code, "the deadline passed", False)

    def _resume(self, run: run_module.Run, detail: str) -> None:
        run.generation += 1
        if run.resumes >= MAX_RESUMES or run.dispatch.kind != "model":
            self.interrupt(run, detail)
            return
        run.resumes += 1
        self._clock.call_later(
            RESUME_DELAY_MS, self._resume_now, run, run.generation
        )

    def _resume_now(self, run: run_module.Run, generation: int) -> None:
        if self._is_current(run, generation):
            self._backend.resume(
                run.backend_id,
                run.buffer.end,
                run_listener.RunListener(self, run),
            )

    def _is_current(self, run: run_module.Run, generation: int) -> bool:
        return (
            run.state is run_module.RunState.RUNNING
            and run.generation == generation
            and run in self._table
        )

    def _stop(self, run: run_module.Run) -> None:
        """Cancel at the backend server; the memory stays charged."""
        self.scheduler.finish(run, False, is_stopped=False)
        self._backend.cancel(run.backend_id)
