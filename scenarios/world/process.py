"""Daemon processes that can be killed, paused and restarted."""

from __future__ import annotations

import traceback
from typing import TYPE_CHECKING

from balsamwall.timing import virtual_clock

if TYPE_CHECKING:
    from collections.abc import Callable

    from scenarios.world import trace as trace_module


class ProcessClock:
    """Clock of one incarnation; its timers are deferred during a pause."""

    def __init__(self, process: Process) -> None:
        self._process = process
        self._generation = process.generation

    def now_ms(self) -> int:
        return self._process.clock.now_ms()

    def wall_ms(self) -> int:
        return self._process.clock.wall_ms()

    def call_later(self, delay_ms, function, *args):
        timer = virtual_clock.VirtualTimer(
            self.now_ms() + delay_ms, function, args
        )
        self._process.clock.call_later(
            delay_ms, self._process.run, self._generation, timer.run
        )
        return timer


class Process:
    """Life cycle of one daemon; subclasses compose its parts in build()."""

    def __init__(
        self,
        clock: virtual_clock.VirtualClock,
        trace: trace_module.Trace,
        vm: str,
        role: str,
        zone: str,
        tenant: str,
    ) -> None:
        self.clock = clock
        self.trace = trace
        self.vm = vm
        self.role = role
        self.zone = zone
        self.tenant = tenant
        self.generation = 0
        self.incarnation = 0
        self.is_alive = False
        self.is_paused = False
        self.is_vm_lost = False
        self.started_ms = 0
        self.on_stopped: list[Callable[[], None]] = []
        self._queue: list[tuple[Callable[..., object], tuple]] = []

    @property
    def is_working(self) -> bool:
        """Tell whether the process handles events now."""
        return self.is_alive and not self.is_paused

    def start(self) -> None:
        """Start a new incarnation, unless one is alive or the VM is lost."""
        if self.is_alive or self.is_vm_lost:
            return
        self.generation += 1
        self.is_alive = True
        self.is_paused = False
        self.started_ms = self.clock.now_ms()
        self.incarnation = self.clock.wall_ms()
        self.trace.record(f"{self.role} {self.vm} starts")
        self.build(ProcessClock(self))

    def build(self, clock: ProcessClock) -> None:
        """Compose the parts of the process."""
        raise NotImplementedError

    def stop(self, reason: str) -> None:
        """End the process at once, without a graceful shutdown."""
        if not self.is_alive:
            return
        self.trace.record(f"{self.role} {self.vm} {reason}")
        self.is_alive = False
        self.is_paused = False
        self._queue.clear()
        for callback in list(self.on_stopped):
            callback()

    def pause(self) -> None:
        """Queue all events until resume, as SIGSTOP does."""
        if self.is_alive and not self.is_paused:
            self.trace.record(f"{self.role} {self.vm} is paused")
            self.is_paused = True

    def resume(self) -> None:
        """Handle the queued events in their order."""
        if not self.is_paused:
            return
        self.trace.record(f"{self.role} {self.vm} resumes")
        self.is_paused = False
        waiting, self._queue = self._queue, []
        for function, args in waiting:
            self.run(self.generation, function, *args)

    def run(self, generation: int, function, *args) -> None:
        """Run a call, or queue it during a pause.

        Calls of earlier generations are dropped; an unhandled exception is
        recorded as a violation.
        """
        if generation != self.generation or not self.is_alive:
            return
        if self.is_paused:
            self._queue.append((function, args))
            return
        try:
            function(*args)
        except Exception:
            text = traceback.format_exc().strip().splitlines()
            where = " / ".join(line.strip() for line in text[-4:])
            self.trace.record_violation(
                "no unhandled error", f"{self.vm}: {where}"
            )

    def wrap(self, callback):
        """Return a callback that is bound to the current generation."""
        generation = self.generation
        return lambda *args: self.run(generation, callback, *args)
