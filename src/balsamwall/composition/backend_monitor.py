"""Readings of the load, cache and health of one backend server."""

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
# One reading may be lost by chance; three in a row mean that it is down.
FAILURES_UNTIL_DOWN = 3
MAX_CACHE_PREFIXES = 4_096


class HealthSource(Protocol):
    """Client that can tell whether the backend server answers."""

    def check_health(self, callback: Callable[[bool], None]) -> None:
        """Call back whether it answers."""


class HealthMonitor:
    """Tell the executor when the backend server goes down or comes back."""

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
        """Check at intervals."""
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
    """Combine the executor's counts with the engine's lagging report."""

    __slots__ = (
        "_clock",
        "_control",
        "_executor",
        "_last",
        "_memory",
        "_seen",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        executor: executor_module.Executor,
        memory: memory_account.MemoryAccount,
        control: backend_server.EngineControl | None,
    ) -> None:
        self._clock = clock
        self._executor = executor
        self._memory = memory
        self._control = control
        self._last: backend_server.EngineLoad | None = None
        self._seen = 0

    def start(self) -> None:
        """Read the engine's report at intervals."""
        if self._control is not None:
            self._control.load(self._on_load)

    def load_counts(self) -> agent_parts.LoadCounts:
        """Return the load now."""
        counts = self._executor.load()
        step_us, age_ms = 0, 0
        if self._last is not None:
            step_us = self._last.step_us
            age_ms = self._last.age_ms + self._clock.now_ms() - self._seen
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
            self._last = load
            self._seen = self._clock.now_ms()
        self._clock.call_later(POLL_INTERVAL_MS, self.start)


class CacheMonitor:
    """Follow the engine's cache events and report the prefixes."""

    __slots__ = (
        "_boot",
        "_client",
        "_clock",
        "_incarnation",
        "_next",
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
        self._boot = -1
        self._next = 0
        self._sequence = 0
        self._prefixes: dict[int, None] = {}

    def start(self) -> None:
        """Read events at intervals."""
        self._client.cache_events(self._next, self._on_events)

    def _on_events(self, events: engine_client.CacheEvents | None) -> None:
        self._clock.call_later(CACHE_INTERVAL_MS, self.start)
        if events is None:
            return
        if events.boot != self._boot:
            self._boot = events.boot
            self._prefixes = {}
        is_changed = bool(events.stored or events.removed)
        self._next = events.next_sequence
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
