"""Schedule attempts at a backend server."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from balsamwall.execution import admission_queue
from balsamwall.execution import crash_attribution
from balsamwall.results import result_code

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from balsamwall.execution import run as run_module
    from balsamwall.residency import memory_account
    from balsamwall.timing import clock as clock_module

# Share of the memory for KV caches that deferrable attempts may fill.
DEFERRABLE_KV_SHARE = 0.75
# The other batch slots are reserved for urgent attempts, which would otherwise
# wait for the end of a deferrable one.
DEFERRABLE_SLOT_SHARE = 0.75
# Default limit on the attempts that run at once.
MAX_RUNNING = 256
# The memory of a cancelled attempt stays charged until the backend server
# reports its end, or for this long if the server never does.
STOP_TIMEOUT_MS = 5_000
# Suspects whose trial could not be claimed are checked again after this time.
TRIAL_RETRY_MS = 1_000


@dataclasses.dataclass(slots=True, frozen=True)
class LoadCounts:
    """Hold the load of one backend server, as reported to the entries.

    `queued_tokens` counts the prompt tokens of waiting urgent attempts and of
    running attempts without output.
    """

    running: int
    waiting_urgent: int
    waiting_deferrable: int
    queued_tokens: int
    kv_bytes: int
    max_running: int


class RunScheduler:
    """Start attempts as slots, memory and crash suspicions allow.

    Crash suspects wait apart from the queue and run one at a time, alone on
    the backend server (a trial).
    """

    __slots__ = (
        "_clock",
        "_crash",
        "_deferrable_bytes",
        "_deferrable_running",
        "_is_claimed",
        "_is_served",
        "_kv_bytes",
        "_kv_total",
        "_max_running",
        "_memory",
        "_queue",
        "_refuse",
        "_retry_timer",
        "_running",
        "_start",
        "_stopping",
        "_suspects",
        "_trial",
        "is_paused",
        "start_cutoff_ms",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        memory: memory_account.MemoryAccount,
        crash: crash_attribution.CrashAttribution,
        kv_bytes: Callable[[str, int], int],
        is_served: Callable[[str, str], bool],
        start: Callable[[run_module.Run], None],
        refuse: Callable[[run_module.Run, result_code.ResultCode, str], None],
        max_running: int = MAX_RUNNING,
    ) -> None:
        self._clock = clock
        self._memory = memory
        self._crash = crash
        self._kv_bytes = kv_bytes
        self._is_served = is_served
        self._start = start
        self._refuse = refuse
        self._max_running = max_running
        self._queue = admission_queue.AdmissionQueue()
        self._running: dict[run_module.AttemptKey, run_module.Run] = {}
        self._stopping: dict[
            run_module.AttemptKey, tuple[run_module.Run, clock_module.Timer]
        ] = {}
        self._suspects: collections.deque[run_module.Run] = collections.deque()
        self._trial: run_module.Run | None = None
        self._is_claimed = False
        self._retry_timer: clock_module.Timer | None = None
        self._kv_total = 0
        self._deferrable_bytes = 0
        self._deferrable_running = 0
        # Compared with the clock at each start, because the timer of a drain
        # fires late in a process that was suspended.
        self.start_cutoff_ms: int | None = None
        self.is_paused = False  # true while the backend server is down

    @property
    def running(self) -> tuple[run_module.Run, ...]:
        """Return the started attempts that have not ended or been stopped."""
        return tuple(self._running.values())

    @property
    def isolated_fingerprint(self) -> bytes | None:
        """Return the fingerprint of the running trial, or None."""
        if self._trial is None or self._trial.key not in self._running:
            return None
        return self._trial.dispatch.fingerprint

    @property
    def queue_length(self) -> int:
        """Return the number of attempts that have not started."""
        return len(self._queue) + len(self._suspects)

    def active_fingerprints(self) -> list[bytes]:
        """Return the fingerprints that the backend server may be processing.

        A cancelled attempt counts until the server reports its end.
        """
        active = [run.dispatch.fingerprint for run in self.running]
        stopping = (run for run, _ in self._stopping.values())
        return active + [run.dispatch.fingerprint for run in stopping]

    def counts(self) -> LoadCounts:
        """Return the load; crash suspects count as waiting urgent ones."""
        isolated = len(self._suspects) + (
            self._trial is not None and self._trial.key not in self._running
        )
        # Prompts of waiting deferrable attempts are not counted, because
        # urgent attempts start before them.
        tokens = sum(
            run.dispatch.prompt_tokens
            for run in self.waiting()
            if run.dispatch.is_urgent
        )
        tokens += sum(
            run.dispatch.prompt_tokens
            for run in self._running.values()
            if not run.buffer.end
        )
        return LoadCounts(
            running=len(self._running),
            waiting_urgent=self._queue.waiting(True) + isolated,
            waiting_deferrable=self._queue.waiting(False),
            queued_tokens=tokens,
            kv_bytes=self._kv_total,
            max_running=self._max_running,
        )

    @property
    def is_closed(self) -> bool:
        """Return whether a drain has stopped all starts."""
        cutoff_ms = self.start_cutoff_ms
        return cutoff_ms is not None and self._clock.now_ms() >= cutoff_ms

    def waiting(self) -> Iterator[run_module.Run]:
        """Yield the attempts that have not started."""
        yield from self._queue
        yield from tuple(self._suspects)
        if self._trial is not None and self._trial.key not in self._running:
            yield self._trial

    def has_room(self, is_urgent: bool) -> bool:
        """Return whether another attempt of a class may be queued."""
        bound = admission_queue.AGENT_QUEUE_BOUND
        return self._queue.has_room(is_urgent) and (
            len(self._suspects) < bound
        )

    def can_ever_fit(self, run: run_module.Run) -> bool:
        """Return whether an idle server has memory for the KV cache."""
        needed = self._required_kv_bytes(run)
        pool = self._kv_pool_bytes()
        if not run.dispatch.is_urgent:
            pool = int(pool * DEFERRABLE_KV_SHARE)
        return needed <= pool

    def enqueue(self, run: run_module.Run) -> None:
        """Queue an attempt without starting it."""
        self._queue.push(run)

    def remove(self, run: run_module.Run) -> bool:
        """Remove a waiting attempt; return False if it has started."""
        if self._queue.remove(run):
            return True
        if run in self._suspects:
            self._suspects.remove(run)
            return True
        if run is self._trial and run.key not in self._running:
            self._drop_trial()
            return True
        return False

    def finish(
        self, run: run_module.Run, has_survived: bool, is_stopped: bool = True
    ) -> None:
        """Remove a started attempt and release its memory.

        If `is_stopped` is false, the memory stays charged until
        `release_stopped` is called, at most for `STOP_TIMEOUT_MS`.
        """
        if self._running.pop(run.key, None) is None:
            return
        if not run.dispatch.is_urgent:
            self._deferrable_running -= 1
        if run is self._trial:
            if has_survived:
                self._crash.on_trial_passed(run.dispatch.fingerprint)
            self._drop_trial()
        if is_stopped:
            self._release(run)
        else:
            timer = self._clock.call_later(
                STOP_TIMEOUT_MS, self.release_stopped, run
            )
            self._stopping[run.key] = (run, timer)

    def release_stopped(self, run: run_module.Run) -> None:
        """Release the memory of a cancelled attempt that has stopped."""
        stopping = self._stopping.pop(run.key, None)
        if stopping is not None:
            stopping[1].cancel()
            self._release(run)
            self.start_eligible()

    def release_all_stopping(self) -> None:
        """Release the memory of all cancelled attempts of a down server."""
        for run, _ in list(self._stopping.values()):
            self.release_stopped(run)

    def recheck_waiting(self) -> None:
        """Apply changed crash judgements to the waiting attempts."""
        for run in list(self.waiting()):
            if self._crash.is_quarantined(run.dispatch.fingerprint):
                if self.remove(run):
                    self._refuse(
                        run,
                        result_code.ResultCode.QUARANTINED,
                        "the request crashed a backend server",
                    )
        for run in tuple(self._suspects):
            if self._status(run) is crash_attribution.FingerprintStatus.CLEAN:
                self._suspects.remove(run)
                self._queue.push_front(run)
        self.start_eligible()

    def refuse_unserved(self) -> None:
        """Refuse waiting attempts whose target is no longer served."""
        for run in list(self.waiting()):
            dispatch = run.dispatch
            if self._is_served(dispatch.kind, dispatch.target):
                continue
            if self.remove(run):
                self._refuse(
                    run,
                    result_code.ResultCode.NO_REPLICA,
                    f"{dispatch.target} is not resident",
                )

    def start_eligible(self) -> None:
        """Start queued attempts until one has to wait."""
        while not self.is_paused and not self._is_isolating():
            run = self._queue.take(self._clock.now_ms(), self._can_start)
            if run is None:
                break
            if self._refuse_ineligible(run):
                continue
            status = self._status(run)
            if status is crash_attribution.FingerprintStatus.SUSPECT:
                self._suspects.append(run)
            elif not self._charge_and_start(run):
                self._queue.push_front(run)
                break
        self._claim_next_trial()

    def _is_isolating(self) -> bool:
        """Return whether a trial blocks other starts.

        A claimed trial starts here, once the backend server is idle.
        """
        trial = self._trial
        if trial is None or not self._is_claimed:
            return False
        if trial.key in self._running:
            return True
        if self._running or self._stopping:
            return True
        if self._refuse_ineligible(trial):
            self._drop_trial()
            return False
        if not self._charge_and_start(trial):
            self._drop_trial()
            self._refuse(
                trial,
                result_code.ResultCode.INSUFFICIENT_MEMORY,
                "not enough memory for a trial run",
            )
            return False
        return True

    def _claim_next_trial(self) -> None:
        if self._trial is not None or not self._suspects:
            return
        for run in tuple(self._suspects):
            if self._refuse_ineligible(run):
                self._suspects.remove(run)
                continue
            remaining_ms = run.deadline_ms - self._clock.now_ms()
            fingerprint = run.dispatch.fingerprint
            if self._crash.claim_trial(fingerprint, remaining_ms):
                self._suspects.remove(run)
                self._trial = run
                self._is_claimed = False
                self._clock.call_later(
                    crash_attribution.TRIAL_CLAIM_DELAY_MS,
                    self._on_claim_delay_over,
                    run,
                )
                return
        if self._suspects and self._retry_timer is None:
            self._retry_timer = self._clock.call_later(
                TRIAL_RETRY_MS, self._on_trial_retry
            )

    def _on_trial_retry(self) -> None:
        self._retry_timer = None
        self.recheck_waiting()

    def _on_claim_delay_over(self, run: run_module.Run) -> None:
        if run is not self._trial or self._is_claimed:
            return
        if not self._crash.has_trial(run.dispatch.fingerprint):
            self._trial = None
            self._suspects.append(run)
        elif self._status(run) is crash_attribution.FingerprintStatus.SUSPECT:
            self._is_claimed = True
        else:
            self._drop_trial()
            self._queue.push_front(run)
        self.start_eligible()

    def _drop_trial(self) -> None:
        trial, self._trial = self._trial, None
        self._is_claimed = False
        if trial is not None:
            self._crash.end_trial(trial.dispatch.fingerprint)

    def _status(
        self, run: run_module.Run
    ) -> crash_attribution.FingerprintStatus:
        return self._crash.status(run.dispatch.fingerprint)

    def _refuse_ineligible(self, run: run_module.Run) -> bool:
        """Refuse an attempt that must not start; return True if so."""
        code = result_code.ResultCode.OK
        detail = ""
        if run.deadline_ms <= self._clock.now_ms():
            code = result_code.ResultCode.DEADLINE_UNREACHABLE
            detail = "the deadline passed before the start"
        elif self.is_closed:
            code = result_code.ResultCode.LEAVING
            detail = "the backend server is leaving"
        elif self._crash.is_quarantined(run.dispatch.fingerprint):
            code = result_code.ResultCode.QUARANTINED
            detail = "the request crashed a backend server"
        elif not self._is_served(run.dispatch.kind, run.dispatch.target):
            code = result_code.ResultCode.NO_REPLICA
            detail = f"{run.dispatch.target} is not resident"
        if code is result_code.ResultCode.OK:
            return False
        self._refuse(run, code, detail)
        return True

    def _can_start(self, run: run_module.Run) -> bool:
        if not self._has_slot(run):
            return False
        if run.deadline_ms <= self._clock.now_ms():
            return True
        if self._status(run) is not crash_attribution.FingerprintStatus.CLEAN:
            return True
        needed = self._required_kv_bytes(run)
        if needed > self._memory.free_bytes:
            return False
        if run.dispatch.is_urgent:
            return True
        allowed = int(self._kv_pool_bytes() * DEFERRABLE_KV_SHARE)
        return self._deferrable_bytes + needed <= allowed

    def _has_slot(self, run: run_module.Run) -> bool:
        """Return whether the batch has a slot for the class of an attempt."""
        running = len(self._running)
        if run.dispatch.is_urgent or running >= self._max_running:
            return running < self._max_running
        allowed = max(1, int(self._max_running * DEFERRABLE_SLOT_SHARE))
        waited_ms = self._clock.now_ms() - run.enqueued_ms
        if waited_ms < admission_queue.AGING_MS:
            return running < allowed
        # Only deferrable attempts count against an aged one. Otherwise it
        # would starve while urgent attempts fill all deferrable slots.
        return self._deferrable_running < allowed

    def _charge_and_start(self, run: run_module.Run) -> bool:
        needed = self._required_kv_bytes(run)
        if needed and not self._memory.charge(self._account_name(run), needed):
            return False
        run.charged_bytes = needed
        self._kv_total += needed
        if not run.dispatch.is_urgent:
            self._deferrable_bytes += needed
            self._deferrable_running += 1
        self._running[run.key] = run
        self._start(run)
        return True

    def _release(self, run: run_module.Run) -> None:
        if run.charged_bytes:
            self._memory.release(self._account_name(run))
        self._kv_total -= run.charged_bytes
        if not run.dispatch.is_urgent:
            self._deferrable_bytes -= run.charged_bytes
        run.charged_bytes = 0

    def _required_kv_bytes(self, run: run_module.Run) -> int:
        if run.dispatch.kind != "model":
            return 0
        return self._kv_bytes(run.dispatch.target, run.tokens)

    def _kv_pool_bytes(self) -> int:
        return self._memory.free_bytes + self._kv_total

    def _account_name(self, run: run_module.Run) -> str:
        return f"kv/{run.peer}/{run.backend_id}"
