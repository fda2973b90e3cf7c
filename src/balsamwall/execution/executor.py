"""Execute dispatched attempts at one backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.execution import crash_attribution
from balsamwall.execution import run as run_module
from balsamwall.execution import run_control
from balsamwall.execution import run_observer
from balsamwall.execution import run_scheduler
from balsamwall.execution import run_table
from balsamwall.idempotency import key_gate as key_gate_module
from balsamwall.protocol import messages_request
from balsamwall.protocol import messages_state
from balsamwall.results import result_code

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.backend import backend_server
    from balsamwall.protocol import message
    from balsamwall.protocol import outbox as outbox_module
    from balsamwall.residency import memory_account
    from balsamwall.timing import clock as clock_module

# After this time the attempts of a disconnected entry are dropped, unless it
# has reattached or the attempt is not repeatable and has not ended.
ORPHAN_GRACE_MS = 5_000
# The entries learn of a drain in this time.
DRAIN_PROPAGATION_MS = 3_000
# Delay that a refusal with QUEUE_FULL advises before a retry.
QUEUE_RETRY_AFTER_MS = 1_000

_Code = result_code.ResultCode


def _is_always_served(kind: str, target: str) -> bool:
    return True


def _no_kv_bytes(target: str, tokens: int) -> int:
    return 0


class Executor:
    """Handle the messages about attempts at one backend server.

    `kv_bytes(target, tokens)` returns the size of a KV cache in bytes, and
    `is_served(kind, target)` returns whether the backend server can run a
    target now.
    """

    __slots__ = (
        "_clock",
        "_control",
        "_crash",
        "_incarnation",
        "_is_draining",
        "_is_queue_closed",
        "_key_gate",
        "_on_idle",
        "_scheduler",
        "_table",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        outbox: outbox_module.Outbox,
        backend: backend_server.BackendServer,
        memory: memory_account.MemoryAccount,
        key_gate: key_gate_module.KeyGate,
        incarnation: int,
        crash: crash_attribution.CrashAttribution,
        kv_bytes: Callable[[str, int], int] = _no_kv_bytes,
        is_served: Callable[[str, str], bool] = _is_always_served,
        max_running: int = run_scheduler.MAX_RUNNING,
        observer: run_observer.RunObserver | None = None,
    ) -> None:
        self._clock = clock
        self._key_gate = key_gate
        self._incarnation = incarnation
        self._crash = crash
        self._table = run_table.RunTable(clock, outbox, self._check_idle)
        self._control = run_control.RunControl(
            clock,
            backend,
            memory,
            key_gate,
            crash,
            self._table,
            kv_bytes,
            is_served,
            max_running,
            observer or run_observer.RunObserver(),
        )
        self._scheduler = self._control.scheduler
        self._is_draining = False
        self._is_queue_closed = False
        self._on_idle: Callable[[], None] | None = None

    @property
    def incarnation(self) -> int:
        """Return the incarnation of the agent; dispatches must name it."""
        return self._incarnation

    @property
    def state(self) -> str:
        """Return the state to report: "ready", "leaving" or "down"."""
        if self._is_draining:
            return "leaving"
        return "ready" if self._control.is_backend_up else "down"

    @property
    def is_idle(self) -> bool:
        """Return whether no attempt is in progress or unacknowledged."""
        return not len(self._table)

    def load(self) -> run_scheduler.LoadCounts:
        """Return the counts of running and waiting attempts to report."""
        return self._scheduler.counts()

    def active_requests(self, target: str) -> int:
        """Return the number of running attempts for a target.

        A target is a model, an adapter or a service. Waiting attempts are
        not counted: if the target is no longer served they don't start, but
        are refused as not run.
        """
        return sum(
            1
            for run in self._scheduler.running
            if run.dispatch.target == target
        )

    def oldest_arrival_ms(self, target: str) -> int | None:
        """Return when the oldest attempt in progress for a target arrived.

        The time is on the agent's clock; None means that there is none.
        """
        return min(
            (
                run.enqueued_ms
                for run in self._table.all_runs()
                if run.dispatch.target == target
                and run.state is not run_module.RunState.ENDED
            ),
            default=None,
        )

    def reschedule(self) -> None:
        """Start or refuse attempts after a change of residents or memory."""
        self._scheduler.refuse_unserved()
        self._scheduler.start_eligible()

    def on_message(self, peer: str, item: message.Message) -> None:
        """Handle a message of an entry, or a verdict of any peer."""
        if isinstance(item, messages_request.Dispatch):
            self._on_dispatch(peer, item)
        elif isinstance(item, messages_request.Ack):
            self._on_ack(peer, item)
        elif isinstance(item, messages_request.Reattach):
            self._on_reattach(peer, item)
        elif isinstance(item, messages_request.Cancel):
            self._on_cancel(peer, item)
        elif isinstance(item, messages_state.Verdict):
            if self._crash.on_verdict(item):
                self._scheduler.recheck_waiting()

    def on_peer_down(self, peer: str) -> None:
        """Start the grace period of an entry whose connection is lost."""
        runs = self._table.runs_of(peer)
        for run in runs:
            run.is_attached = False
        if runs:
            self._clock.call_later(ORPHAN_GRACE_MS, self._drop_orphans, peer)

    def start_drain(self, on_idle: Callable[[], None]) -> None:
        """Stop accepting attempts; call back when none is left.

        Dispatches are accepted for another `DRAIN_PROPAGATION_MS`, until the
        entries know of the drain. Then waiting attempts and new dispatches
        are refused.
        """
        self._on_idle = on_idle
        if not self._is_draining:
            self._is_draining = True
            now_ms = self._clock.now_ms()
            self._scheduler.start_cutoff_ms = now_ms + DRAIN_PROPAGATION_MS
            self._clock.call_later(
                DRAIN_PROPAGATION_MS, self._refuse_all_waiting
            )
        self._check_idle()

    def on_backend_down(self, is_crash: bool) -> None:
        """Fail running attempts and refuse waiting ones."""
        if self._control.is_backend_up:
            self._control.backend_down(is_crash)

    def on_backend_up(self) -> None:
        """Accept dispatches again."""
        self._control.backend_up()

    def _on_dispatch(self, peer: str, item: messages_request.Dispatch) -> None:
        run = run_module.Run(peer, item, self._clock.now_ms())
        known = self._table.get(run.key)
        if known is not None:
            known.is_attached = True
            self._accept(known)
            return
        final_message = self._table.records.get(run.key)
        if final_message is not None:
            self._table.send_to(peer, final_message)
            return
        code, detail = self._check_dispatch(run)
        if code is not _Code.OK:
            self._refuse_new(run, code, detail)
            return
        self._table.add(run)
        if not item.idempotency_key or self._admit_key(run):
            self._enqueue(run)

    def _refuse_new(
        self, run: run_module.Run, code: _Code, detail: str
    ) -> None:
        """Refuse an attempt unless its key is running or was answered."""
        item, scope = run.dispatch, "attempt"
        is_current_incarnation = code is not _Code.WRONG_INCARNATION
        if item.idempotency_key and is_current_incarnation:
            known = self._key_gate.peek(
                item.target, item.idempotency_key, item.fingerprint
            )
            if known.admission in (
                key_gate_module.Admission.REPLAY,
                key_gate_module.Admission.ATTACH,
            ):
                self._table.add(run)
                self._admit_key(run)
                return
            scope = known.scope
            if known.admission is key_gate_module.Admission.REFUSE:
                code, detail = known.code, known.detail
        retry_after_ms = (
            QUEUE_RETRY_AFTER_MS if code is _Code.QUEUE_FULL else 0
        )
        final_message = run_table.refused(
            run.key, code, detail, scope, retry_after_ms=retry_after_ms
        )
        self._table.refuse_new(run, final_message)

    def _check_dispatch(self, run: run_module.Run) -> tuple[_Code, str]:
        """Return OK or the reason to refuse, apart from key records."""
        item = run.dispatch
        if self._table.records.is_possibly_evicted(run.key):
            return (
                _Code.CANCELLED_NOT_RUN,
                "the record of the attempt may have been dropped",
            )
        if item.incarnation != self._incarnation:
            return (
                _Code.WRONG_INCARNATION,
                "the dispatch names another incarnation",
            )
        if self._scheduler.is_closed:
            return _Code.LEAVING, "the backend server is leaving"
        if not self._control.is_backend_up:
            return _Code.BACKEND_DOWN, "the backend server is down"
        if item.remaining_ms <= 0:
            return _Code.DEADLINE_UNREACHABLE, "the deadline has passed"
        if self._crash.is_quarantined(item.fingerprint):
            return _Code.QUARANTINED, "the request crashed a backend server"
        if not self._scheduler.can_ever_fit(run):
            return (
                _Code.INSUFFICIENT_MEMORY,
                "the KV cache exceeds the memory for its class",
            )
        if not self._scheduler.has_room(item.is_urgent):
            return _Code.QUEUE_FULL, "the queue of the agent is full"
        return _Code.OK, ""

    def _admit_key(self, run: run_module.Run) -> bool:
        """Look up the key; return True if the attempt may run.

        Otherwise the attempt is attached, answered or refused.
        """
        item = run.dispatch
        admission = self._key_gate.admit(
            item.target, item.idempotency_key, item.fingerprint
        )
        if admission.admission is key_gate_module.Admission.RUN:
            run.state = run_module.RunState.WAITING
            return True
        # The key belongs to another attempt or to none, so the end of this one
        # must not change its record.
        run.state = run_module.RunState.ATTACHED
        if admission.admission is key_gate_module.Admission.ATTACH:
            self._accept(run)
            self._key_gate.call_when_ended(
                item.target,
                item.idempotency_key,
                lambda: self._on_key_run_ended(run),
            )
        elif admission.answer is not None:
            self._replay(run, admission.answer)
        else:
            self._control.refuse(
                run, admission.code, admission.detail, admission.scope
            )
        return False

    def _on_key_run_ended(self, run: run_module.Run) -> None:
        if run not in self._table or not self._admit_key(run):
            return
        code, detail = self._check_dispatch(run)
        if code is _Code.OK:
            self._enqueue(run)
        else:
            self._control.refuse(run, code, detail)

    def _replay(
        self, run: run_module.Run, answer: key_gate_module.RecordedAnswer
    ) -> None:
        self._accept(run)
        run.buffer.append(answer.body)
        for offset, data in run.buffer.read(0):
            self._table.send_chunk(run, offset, data)
        self._control.end(run, answer.http_status, answer.headers, 0)

    def _enqueue(self, run: run_module.Run) -> None:
        status = self._crash.status(run.dispatch.fingerprint)
        if (
            status is crash_attribution.FingerprintStatus.SUSPECT
            and not run.dispatch.is_repeatable
        ):
            self._control.refuse(
                run,
                _Code.QUARANTINED,
                "the request ran during a crash and is not repeatable",
            )
            return
        self._scheduler.enqueue(run)
        self._accept(run)
        self._scheduler.start_eligible()

    def _accept(self, run: run_module.Run) -> None:
        self._table.send(
            run,
            messages_request.Accepted(
                request_id=run.dispatch.request_id,
                attempt=run.dispatch.attempt,
                queue_length=self._scheduler.queue_length,
            ),
        )

    def _on_ack(self, peer: str, item: messages_request.Ack) -> None:
        run = self._table.get((peer, item.request_id, item.attempt))
        if run is None:
            return
        run.is_attached = True
        run.buffer.acknowledge(item.offset)
        if run.end is not None and item.offset >= run.end.total_bytes:
            self._control.drop_answer(run)

    def _on_reattach(self, peer: str, item: messages_request.Reattach) -> None:
        key = (peer, item.request_id, item.attempt)
        run = self._table.get(key)
        if run is None:
            self._reply_to_unknown(key, item.incarnation, is_cancel=False)
            return
        run.is_attached = True
        if item.offset < run.buffer.base:
            self._control.interrupt(
                run, "the requested offset was acknowledged before"
            )
            return
        run.buffer.acknowledge(item.offset)
        self._accept(run)
        for offset, data in run.buffer.read(item.offset):
            self._table.send_chunk(run, offset, data)
        if run.end is not None:
            self._table.send(run, run.end)

    def _on_cancel(self, peer: str, item: messages_request.Cancel) -> None:
        key = (peer, item.request_id, item.attempt)
        run = self._table.get(key)
        if run is None:
            self._reply_to_unknown(key, item.incarnation, is_cancel=True)
        elif self._scheduler.remove(run):
            self._close_not_run(run)
            self._scheduler.start_eligible()
        elif run.dispatch.is_repeatable:
            self._control.cancel(run)
        else:
            # A non-repeatable attempt runs to completion, and its answer is
            # kept for a resend. An attempt that waits for another run of its
            # key counts as run, because the request did run.
            self._table.send(run, run_table.cancelled(key, ran=True))

    def _close_not_run(self, run: run_module.Run) -> None:
        self._control.fail_key(run, result_code.ExecutionState.NOT_RUN)
        self._table.close(run, run_table.cancelled(run.key, ran=False))

    def _reply_to_unknown(
        self, key: run_module.AttemptKey, incarnation: int, is_cancel: bool
    ) -> None:
        """Answer for an attempt that is not in the table.

        If it provably has not run, say so and record it, so that a late
        dispatch is refused.
        """
        records = self._table.records
        final_message = records.get(key)
        if final_message is None:
            is_current_incarnation = incarnation == self._incarnation
            is_known_not_run = (
                is_current_incarnation and not records.is_possibly_evicted(key)
            )
            final_message = run_table.cancelled(key, ran=not is_known_not_run)
            if is_known_not_run:
                records.add(key, final_message)
        elif is_cancel and isinstance(final_message, messages_request.Failed):
            final_message = run_table.cancelled(key, ran=True)
        self._table.send_to(key[0], final_message)

    def _drop_orphans(self, peer: str) -> None:
        for run in self._table.runs_of(peer):
            if run.is_attached:
                continue
            if run.state is run_module.RunState.ENDED:
                self._control.drop_answer(run)
            elif not run.dispatch.is_repeatable:
                continue
            elif self._scheduler.remove(run):
                self._close_not_run(run)
            else:
                self._control.cancel(run)
        self._scheduler.start_eligible()

    def _refuse_all_waiting(self) -> None:
        self._is_queue_closed = True
        for run in list(self._scheduler.waiting()):
            if self._scheduler.remove(run):
                self._control.refuse(
                    run, _Code.LEAVING, "the backend server is leaving"
                )
        self._check_idle()

    def _check_idle(self) -> None:
        if self._is_queue_closed and not len(self._table):
            on_idle, self._on_idle = self._on_idle, None
            if on_idle is not None:
                on_idle()
