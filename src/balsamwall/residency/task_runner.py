"""Execute loads, unloads and role changes, one at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.residency import model_copy
from balsamwall.residency import order_issuer
from balsamwall.residency import permit_holder
from balsamwall.residency import residency_task
from balsamwall.residency import task_queue
from balsamwall.residency import unload_check
from balsamwall.residency import urgency as urgency_levels
from balsamwall.residency import weight_memory
from balsamwall.results import result_code

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from balsamwall.residency import copy_table
    from balsamwall.residency import memory_ledger
    from balsamwall.residency import model_catalogue
    from balsamwall.residency import permit
    from balsamwall.residency import residency_hooks
    from balsamwall.residency import retention
    from balsamwall.timing import clock as clock_module

# A task that still waits this long after its first wait fails.
WAIT_TIMEOUT_MS = 60_000
# A waiting task is checked again after this time.
WAIT_POLL_MS = 200
# A failed load is retried after a random delay between RETRY_MIN_MS and a
# limit that doubles with each attempt, up to RETRY_MAX_MS.
RETRY_MIN_MS = 1_000
RETRY_MAX_MS = 30_000
# Attempts of a load, including the first one.
MAX_ATTEMPTS = 6

_Task = residency_task.ResidencyTask
_Kind = residency_task.TaskKind
_Code = result_code.ResultCode


class TaskRunner:
    """Advance the most urgent task whenever no order is open.

    The running task is the bottom of a stack; the entries above it are its
    subtasks, such as the load of a base model or unloads that free memory.
    """

    __slots__ = (
        "_clock",
        "_catalogue",
        "_hooks",
        "_is_pumping",
        "_issuer",
        "_ledger",
        "_permits",
        "_queue",
        "_random_source",
        "_retention",
        "_weight_memory",
        "_stack",
        "_table",
        "_unload_check",
        "_pump_timer",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        random_source: random.Random,
        catalogue: model_catalogue.ModelCatalogue,
        ledger: memory_ledger.MemoryLedger,
        table: copy_table.CopyTable,
        issuer: order_issuer.OrderIssuer,
        retention_table: retention.RetentionTable,
        permits: permit.PermitSource,
        hooks: residency_hooks.ResidencyHooks,
        kv_floor_bytes: int,
    ) -> None:
        self._clock = clock
        self._random_source = random_source
        self._ledger = ledger
        self._table = table
        self._issuer = issuer
        self._retention = retention_table
        self._permits = permit_holder.PermitHolder(permits, self.pump)
        self._hooks = hooks
        self._unload_check = unload_check.UnloadCheck(
            clock, table, retention_table, hooks, catalogue.may_be_configured
        )
        self._weight_memory = weight_memory.WeightMemory(
            ledger,
            table,
            self._unload_check.is_evictable,
            self._unload_check.eviction_cost,
            kv_floor_bytes,
            lambda: catalogue.kv_reserve,
        )
        self._catalogue = catalogue
        self._queue = task_queue.TaskQueue(clock)
        self._stack: list[_Task] = []
        self._is_pumping = False
        self._pump_timer: clock_module.Timer | None = None

    @property
    def is_empty(self) -> bool:
        """Return whether no task is queued or running."""
        return self._queue.is_empty and not self._stack

    def has_task(self, kind: _Kind, name: str, version: str = "") -> bool:
        """Return whether a task is queued or running."""
        key = (kind, name, version)
        if self._queue.get(key) is not None:
            return True
        return any(task.key == key for task in self._stack)

    def add(
        self,
        kind: _Kind,
        name: str,
        version: str,
        urgency: int,
        on_done: Callable[[result_code.ResultCode], None] | None = None,
        replaced_name: str = "",
        is_version_change: bool = False,
    ) -> None:
        """Queue a task, or raise the urgency of an equal one.

        `on_done` is called once with the final result. The copies of
        `replaced_name` are unloaded after a load order has succeeded. A load
        with `is_version_change` runs even if another version is ready; an
        equal task that exists already keeps its own value.
        """
        key = (kind, name, version)
        task = self._queue.get(key)
        if task is None:
            task = next((t for t in self._stack if t.key == key), None)
        if task is None:
            task = self._queue.create(kind, name, version, urgency)
            task.is_version_change = is_version_change
            self._queue.put(task)
        task.urgency = max(task.urgency, urgency)
        task.replaced_name = task.replaced_name or replaced_name
        if on_done is not None:
            task.callbacks.append(on_done)
        self.pump()

    def clear(self) -> None:
        """End all tasks with LEAVING.

        While an order is open, its task and the tasks that need it go on.
        """
        tasks = self._queue.take_all()
        if self._issuer.open_order is None:
            for task in reversed(self._stack):
                self._clean_up(task)
            tasks += self._stack
            self._stack = []
        for task in tasks:
            self._notify(task, _Code.LEAVING)

    def pump(self) -> None:
        """Advance tasks until they wait for an event or an order is open."""
        if self._is_pumping:
            return
        self._is_pumping = True
        try:
            while self._issuer.is_idle and self._step():
                pass
        finally:
            self._is_pumping = False

    def _step(self) -> bool:
        waiting = self._queue.most_urgent()
        if self._stack:
            root = self._stack[0]
            if waiting is not None and waiting.urgency > root.urgency:
                self._preempt()
        if not self._stack:
            if waiting is None:
                delay_ms = self._queue.next_delay_ms()
                if delay_ms is not None:
                    self._schedule_pump(delay_ms)
                return False
            self._queue.take(waiting.key)
            self._stack = [waiting]
        task = self._stack[-1]
        if task.kind is _Kind.LOAD:
            return self._advance_load(task)
        if task.kind is _Kind.UNLOAD:
            return self._advance_unload(task)
        spec = model_copy.CopySpec(task.name, "", "", "", 0)
        self._issue(task, "role", spec)
        return False

    def _preempt(self) -> None:
        """Return the running task to the queue and end its subtasks."""
        for task in reversed(self._stack):
            self._clean_up(task)
        root = self._stack[0]
        root.reset()
        for task in self._stack[1:]:
            self._notify(task, _Code.EVICTION_REFUSED)
        self._stack = []
        self._queue.put(root)

    def _schedule_pump(self, delay_ms: int) -> None:
        if self._pump_timer is not None:
            self._pump_timer.cancel()
        self._pump_timer = self._clock.call_later(delay_ms, self.pump)

    def _wait(self, task: _Task, code: result_code.ResultCode) -> bool:
        """Wait for an event; end the task with the code after a timeout."""
        now_ms = self._clock.now_ms()
        if task.waiting_since_ms is None:
            task.waiting_since_ms = now_ms
        if now_ms - task.waiting_since_ms > WAIT_TIMEOUT_MS:
            return self._finish(task, code)
        self._schedule_pump(WAIT_POLL_MS)
        return False

    def _advance_load(self, task: _Task) -> bool:
        spec = self._catalogue.find_spec(task.name)
        if spec is None:
            return self._finish(task, _Code.UNKNOWN_MODEL)
        if task.spec is not None and task.spec != spec:
            self._clean_up(task)
            task.reset()
        copy = self._table.get(spec.key)
        if copy is not None:
            if copy.state is model_copy.CopyState.READY:
                return self._finish(task, _Code.OK)
            return self._wait(task, _Code.ORDER_OUTCOME_UNKNOWN)
        if (
            not task.is_version_change
            and self._table.ready(task.name) is not None
        ):
            return self._finish(task, _Code.OK)
        task.spec = spec
        if spec.base and self._table.ready(spec.base) is None:
            self._push_subtask(task, _Kind.LOAD, spec.base, "")
            # A swap for an adapter also frees memory for its base model.
            base_task = self._stack[-1]
            base_task.replaced_name = (
                base_task.replaced_name or task.replaced_name
            )
            return True
        if not self._weight_memory.fits(task, spec):
            return self._free_memory(task, spec)
        if not self._permits.acquire(task):
            return self._wait(task, _Code.PERMIT_REFUSED)
        if not self._ledger.charge_up_to(spec.ledger_key, spec.memory_bytes):
            return self._wait(task, _Code.INSUFFICIENT_MEMORY)
        self._permits.mark_started(task)
        self._table.begin_load(spec)
        self._issue(task, "load", spec)
        return False

    def _free_memory(self, task: _Task, spec: model_copy.CopySpec) -> bool:
        """Unload a copy first, or end the task if that cannot help."""
        names = {t.name for t in self._stack}
        victims = self._weight_memory.victims(task, spec, names)
        if victims is None:
            return self._finish(task, _Code.INSUFFICIENT_MEMORY)
        if not victims:
            # The memory of a removed copy is not released yet.
            return self._wait(task, _Code.INSUFFICIENT_MEMORY)
        victim = victims[0]
        if victim.spec.name == task.name:
            for item in self._table.dependents(task.name):
                self.add(
                    _Kind.LOAD,
                    item.spec.name,
                    "",
                    urgency_levels.REBALANCING,
                )
        return self._push_subtask(
            task, _Kind.UNLOAD, victim.spec.name, victim.spec.version
        )

    def _advance_unload(self, task: _Task) -> bool:
        key = (task.name, task.version)
        copy = self._table.get(key)
        if copy is None:
            return self._finish(task, _Code.OK)
        if copy.state is not model_copy.CopyState.READY:
            return self._wait(task, _Code.EVICTION_REFUSED)
        dependent = self._unload_check.dependent(copy)
        if dependent is not None:
            spec = dependent.spec
            return self._push_subtask(
                task, _Kind.UNLOAD, spec.name, spec.version
            )
        verdict = self._unload_check.check(task, copy)
        if verdict is unload_check.UnloadVerdict.REFUSE:
            return self._finish(task, _Code.EVICTION_REFUSED)
        if verdict is unload_check.UnloadVerdict.ASK_GRANT:
            return self._request_grant(task)
        if verdict is unload_check.UnloadVerdict.WAIT:
            return self._wait(task, _Code.EVICTION_REFUSED)
        self._table.begin_unload(key)
        self._issue(task, "unload", copy.spec)
        return False

    def _request_grant(self, task: _Task) -> bool:
        if task.is_grant_requested:
            return self._wait(task, _Code.EVICTION_REFUSED)
        task.is_grant_requested = True

        def on_answer(grant: retention.Grant | None) -> None:
            task.grant = grant
            task.is_grant_refused = grant is None
            self.pump()

        self._retention.request_grant(
            task.name, self._hooks.holders(task.name), on_answer
        )
        if task.grant is not None or task.is_grant_refused:
            return True
        return self._wait(task, _Code.EVICTION_REFUSED)

    def _push_subtask(
        self, parent: _Task, kind: _Kind, name: str, version: str
    ) -> bool:
        """Run a task that the parent needs first."""
        task = self._queue.take((kind, name, version))
        if task is None:
            task = self._queue.create(kind, name, version, parent.urgency)
        task.urgency = max(task.urgency, parent.urgency)
        self._stack.append(task)
        return True

    def _issue(
        self, task: _Task, action: str, spec: model_copy.CopySpec
    ) -> None:
        def on_settled(
            outcome: order_issuer.OrderOutcome, code: result_code.ResultCode
        ) -> None:
            self._on_settled(task, action, spec, outcome, code)

        self._issuer.issue(action, spec, on_settled)

    def _on_settled(
        self,
        task: _Task,
        action: str,
        spec: model_copy.CopySpec,
        outcome: order_issuer.OrderOutcome,
        code: result_code.ResultCode,
    ) -> None:
        is_done = outcome is order_issuer.OrderOutcome.DONE
        if action == "load" and not is_done:
            self._table.remove(spec.key)
        elif action == "unload" and is_done:
            self._table.remove(spec.key)
        elif action == "unload":
            self._table.mark_unload_failed(spec.key)
        if action == "load" and is_done and task.replaced_name:
            for copy in self._table.versions(task.replaced_name):
                self.add(
                    _Kind.UNLOAD,
                    task.replaced_name,
                    copy.spec.version,
                    task.urgency,
                )
        self._finish(task, code)
        self.pump()

    def _clean_up(self, task: _Task) -> None:
        """Release the permit, memory and grant request of an attempt."""
        self._permits.release(task)
        if task.kind is _Kind.LOAD and task.spec is not None:
            self._table.release_unordered(task.spec)
        if task.kind is _Kind.UNLOAD:
            self._table.set_withdrawn((task.name, task.version), False)
            if task.is_grant_requested:
                self._retention.cancel(task.name)

    def _finish(self, task: _Task, code: result_code.ResultCode) -> bool:
        """End a task or schedule its retry; a failure also ends its parent.

        A load whose unload failed continues with another copy to evict.
        """
        self._clean_up(task)
        if task in self._stack:
            self._stack.remove(task)
        if code is _Code.OK or not self._retry(task, code):
            self._notify(task, code)
        if code is _Code.OK or not self._stack:
            return True
        parent = self._stack[-1]
        if task.kind is _Kind.UNLOAD and parent.kind is _Kind.LOAD:
            # Another copy may be evictable.
            parent.excluded_names.add(task.name)
        else:
            self._finish(parent, code)
        return True

    def _retry(self, task: _Task, code: result_code.ResultCode) -> bool:
        """Requeue a load after a failed order; return False if it is not."""
        is_order_failure = code in (
            _Code.ORDER_OUTCOME_UNKNOWN,
            _Code.ORDER_REFUSED_MEMORY,
            _Code.ORDER_STALE_FENCE,
            _Code.PERMIT_REFUSED,
        )
        task.attempts += 1
        if task.kind is not _Kind.LOAD or not is_order_failure:
            return False
        if task.attempts >= MAX_ATTEMPTS:
            return False
        limit_ms = min(RETRY_MAX_MS, RETRY_MIN_MS << task.attempts)
        delay_ms = self._random_source.randint(RETRY_MIN_MS, limit_ms)
        task.reset()
        task.not_before_ms = self._clock.now_ms() + delay_ms
        self._queue.put(task)
        self._schedule_pump(delay_ms)
        return True

    def _notify(self, task: _Task, code: result_code.ResultCode) -> None:
        callbacks, task.callbacks = task.callbacks, []
        for callback in callbacks:
            callback(code)
