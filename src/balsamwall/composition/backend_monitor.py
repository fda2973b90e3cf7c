"""Monitors of the health, load and cache of one backend server."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

from balsamwall.agent import agent_parts
from balsamwall.protocol import messages_state

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from balsamwall.backend import backend_server
    from balsamwall.backend import engine_client
    from balsamwall.execution import executor as executor_module
    from balsamwall.protocol import outbox as outbox_module
    from balsamwall.residency import memory_account
    from balsamwall.timing import clock as clock_module

POLL_INTERVAL_MS = 500
CACHE_INTERVAL_MS = 2_000
# A single check may fail by chance, so the server counts as down only after
# several failures in a row.
FAILURES_UNTIL_DOWN = 3
# Above this number, the prefixes that were stored first are removed.
MAX_CACHE_PREFIXES = 4_096


class HealthSource(Protocol):
    """Client that checks whether the backend server responds."""

    def check_health(self, callback: Callable[[bool], None]) -> None:
        """Call back with whether the server is healthy."""


class HealthMonitor:
    """Report to the executor when the backend server goes down or up."""

    __slots__ = ("_clock", "_executor", "_failures", "_source")

    def __init__(
        self,
        clock: clock_module.Clock,
        source: HealthSource,
        executor: executor_module.Executor,
    ) -> None:
        self._clock = clock
        self._source = source
        self._executor = executor
        self._failures = 0

    def start(self) -> None:
        """Check now and again POLL_INTERVAL_MS after each result."""
        self._source.check_health(self._on_health)

    def _on_health(self, is_healthy: bool) -> None:
        if is_healthy:
            self._failures = 0
            self._executor.on_backend_up()
        else:
            self._failures += 1
            if self._failures >= FAILURES_UNTIL_DOWN:
                self._executor.on_backend_down(is_crash=False)
        self._clock.call_later(POLL_INTERVAL_MS, self.start)


class LoadMonitor:
    """Combine the executor's counts with the engine's delayed report."""

    __slots__ = (
        "_clock",
        "_engine_control",
        "_executor",
        "_last_load",
        "_memory",
        "_received_ms",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        executor: executor_module.Executor,
        memory: memory_account.MemoryAccount,
        engine_control: backend_server.EngineControl | None,
    ) -> None:
        self._clock = clock
        self._executor = executor
        self._memory = memory
        self._engine_control = engine_control
        self._last_load: backend_server.EngineLoad | None = None
        self._received_ms = 0

    def start(self) -> None:
        """Poll the engine's load; do nothing for a plain service."""
        if self._engine_control is not None:
            self._engine_control.load(self._on_load)

    def load_counts(self) -> agent_parts.LoadCounts:
        """Return the current counts with the age of the engine's report."""
        counts = self._executor.load()
        step_us, age_ms = 0, 0
        if self._last_load is not None:
            step_us = self._last_load.step_us
            age_ms = (
                self._last_load.age_ms
                + self._clock.now_ms()
                - self._received_ms
            )
        return agent_parts.LoadCounts(
            counts.running,
            counts.waiting_urgent,
            counts.waiting_deferrable,
            counts.queued_tokens,
            self._memory.free_bytes,
            step_us,
            age_ms,
            counts.max_running,
        )

    def _on_load(self, load: backend_server.EngineLoad | None) -> None:
        if load is not None:
            self._last_load = load
            self._received_ms = self._clock.now_ms()
        self._clock.call_later(POLL_INTERVAL_MS, self.start)


class CacheMonitor:
    """Track the engine's cached prefixes and report them to receivers."""

    __slots__ = (
        "_boot_id",
        "_client",
        "_clock",
        "_incarnation",
        "_next_sequence",
        "_outbox",
        "_prefixes",
        "_receivers",
        "_sequence",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        outbox: outbox_module.Outbox,
        client: engine_client.EngineClient,
        incarnation: int,
        receivers: Callable[[], Iterable[str]],
    ) -> None:
        self._clock = clock
        self._outbox = outbox
        self._client = client
        self._incarnation = incarnation
        self._receivers = receivers
        self._boot_id = -1
        self._next_sequence = 0
        self._sequence = 0
        self._prefixes: dict[int, None] = {}

    def start(self) -> None:
        """Poll the engine's cache events every CACHE_INTERVAL_MS."""
        self._client.cache_events(self._next_sequence, self._on_events)

    def _on_events(self, events: engine_client.CacheEvents | None) -> None:
        self._clock.call_later(CACHE_INTERVAL_MS, self.start)
        if events is None:
            return
        if events.boot != self._boot_id:
            self._boot_id = events.boot
            self._prefixes = {}
        is_changed = bool(events.stored or events.removed)
        self._next_sequence = events.next_sequence
        for prefix in events.stored:
            self._prefixes[prefix] = None
        for prefix in events.removed:
            self._prefixes.pop(prefix, None)
        while len(self._prefixes) > MAX_CACHE_PREFIXES:
            del self._prefixes[next(iter(self._prefixes))]
        if is_changed or events.has_gap:
            self._report(events)

    def _report(self, events: engine_client.CacheEvents) -> None:
        self._sequence += 1
        item = messages_state.CacheDigest(
            self._incarnation,
            self._sequence,
            list(self._prefixes),
            events.age_ms,
            events.has_gap,
        )
        for peer in self._receivers():
            self._outbox.send(peer, item)
