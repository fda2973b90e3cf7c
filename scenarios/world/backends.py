"""Fake backend servers, weight store and key-value ports of a fleet."""

from __future__ import annotations

import dataclasses
import json
from typing import TYPE_CHECKING

from balsamwall_standins import engine_core
from balsamwall_standins import engine_options
from balsamwall_standins import memory_engine
from balsamwall_standins import memory_service

from balsamwall.backend import engine_client

if TYPE_CHECKING:
    from balsamwall.backend import backend_server
    from scenarios.world import process as process_module

ORPHAN_TIMEOUT_MS = 10_000


@dataclasses.dataclass(slots=True, frozen=True)
class Execution:
    """Start of one run at a backend server."""

    at_ms: int
    vm: str
    request_id: str
    key: str


class WeightStore:
    """Weight store of a tenant that can have outages."""

    def __init__(self, clock, trace, duration_ms: int = 300) -> None:
        self._clock = clock
        self._trace = trace
        self.duration_ms = duration_ms
        self.is_down = False

    def read(self, name, version, size_bytes, callback) -> None:
        """Call back after duration_ms with False during an outage."""
        self._clock.call_later(
            self.duration_ms, lambda: callback(not self.is_down)
        )


class Engine:
    """Engine stand-in of one VM."""

    def __init__(self, clock, log, store, vm, options, seed, on_crash) -> None:
        self._clock = clock
        self.vm = vm

        def on_run(backend_id: str, key: str) -> None:
            request_id = backend_id.rpartition(".")[0]
            log.append(Execution(clock.now_ms(), vm, request_id, key))

        self.core = engine_core.EngineCore(clock, options, store, on_run)
        self.core.is_crash_marker_enabled = True
        self.server = memory_engine.MemoryEngine(clock, self.core, seed=seed)
        previous_on_crash = self.core.on_crash

        def crashed() -> None:
            on_crash(vm)
            previous_on_crash()

        self.core.on_crash = crashed

    @property
    def is_down(self) -> bool:
        return self.server.is_down

    def crash(self) -> None:
        self.core.crash()

    def on_agent_stopped(self) -> None:
        """Cancel the requests of the stopped agent after a timeout."""
        for request_id in list(self.core._sequences):
            self._clock.call_later(
                ORPHAN_TIMEOUT_MS, self._cancel_orphan, request_id
            )

    def _cancel_orphan(self, request_id: str) -> None:
        found = self.core.find_sequence(request_id)
        if found is not None and not found.is_done:
            self.core.cancel(request_id)

    def has_ready_copy(self, name: str) -> bool:
        """Tell whether a ready copy of a model is in memory."""
        if self.is_down:
            return False
        return self.core.orders.find_ready(name) is not None


class Service(memory_service.MemoryService):
    """Service stand-in of one VM that logs its executions."""

    def __init__(self, clock, trace, log, vm: str) -> None:
        super().__init__(clock, duration_ms=300)
        self._trace = trace
        self._log = log
        self.vm = vm
        self.server = self

    def _run(self, request, listener) -> None:
        if not self.is_down:
            request_id = request.request_id.rpartition(".")[0]
            self._log.append(
                Execution(
                    self._clock.now_ms(),
                    self.vm,
                    request_id,
                    request.idempotency_key,
                )
            )
        super()._run(request, listener)

    def on_agent_stopped(self) -> None:
        """Close the connections; running requests continue."""
        self._listeners.clear()

    def crash(self) -> None:
        self._trace.record(f"service {self.vm} crashes")
        super().crash()


class _Listener:
    """Listener whose callbacks run inside a process."""

    def __init__(self, process, listener) -> None:
        self.on_data = process.wrap(listener.on_data)
        self.on_end = process.wrap(listener.on_end)
        self.on_error = process.wrap(listener.on_error)


class BackendPort:
    """Backend server as seen by one incarnation of an agent."""

    def __init__(
        self, clock, process: process_module.Process, backend
    ) -> None:
        self._clock = clock
        self._process = process
        self._backend = backend

    def start(self, request, listener) -> None:
        self._backend.server.start(request, _Listener(self._process, listener))

    def resume(self, request_id, offset, listener) -> None:
        self._backend.server.resume(
            request_id, offset, _Listener(self._process, listener)
        )

    def cancel(self, request_id) -> None:
        self._backend.server.cancel(request_id)

    def order(self, order: backend_server.EngineOrder, callback) -> None:
        self._backend.server.order(order, self._process.wrap(callback))

    def listing(self, callback) -> None:
        self._backend.server.listing(self._process.wrap(callback))

    def load(self, callback) -> None:
        self._backend.server.load(self._process.wrap(callback))

    def check_health(self, callback) -> None:
        """Tell whether the backend server answers."""
        respond = self._process.wrap(callback)
        self._clock.call_later(
            1, lambda: respond(not self._backend.server.is_down)
        )

    def cache_events(self, since: int, callback) -> None:
        """Read cache events from a sequence number on."""
        respond = self._process.wrap(callback)
        if self._backend.server.is_down:
            self._clock.call_later(1, respond, None)
            return
        core = self._backend.core
        found = core.cache.events_since(since)
        rows = found["events"]
        events = engine_client.CacheEvents(
            core.boot,
            found["next"],
            found["has_gap"],
            found["age_ms"],
            tuple(r["prefix"] for r in rows if r["kind"] == "stored"),
            tuple(r["prefix"] for r in rows if r["kind"] != "stored"),
        )
        self._clock.call_later(1, respond, events)


class KeyValuePort:
    """Key-value service as seen by one incarnation of a process."""

    def __init__(self, process, service) -> None:
        self._wrap = process.wrap
        self._service = service

    def get(self, key, callback):
        self._service.get(key, self._wrap(callback))

    def get_prefix(self, prefix, callback):
        self._service.get_prefix(prefix, self._wrap(callback))

    def put(self, key, value, callback, lease_id=0):
        self._service.put(key, value, self._wrap(callback), lease_id)

    def compare_and_swap(self, key, expected, value, callback, lease_id=0):
        self._service.compare_and_swap(
            key, expected, value, self._wrap(callback), lease_id
        )

    def delete(self, key, callback, expected_revision=0):
        self._service.delete(key, self._wrap(callback), expected_revision)

    def lease(self, ttl_ms, callback):
        self._service.lease(ttl_ms, self._wrap(callback))

    def keep_alive(self, lease_id, callback):
        self._service.keep_alive(lease_id, self._wrap(callback))

    def revoke(self, lease_id, callback):
        self._service.revoke(lease_id, self._wrap(callback))

    def watch(self, key, on_change, is_prefix=False):
        return self._service.watch(key, self._wrap(on_change), is_prefix)


def options_of(row) -> engine_options.EngineOptions:
    """Return the engine options of a plan row."""
    return engine_options.EngineOptions(
        capacity_bytes=row["capacity"],
        kv_bytes_by_model=row["kv"],
        load_ms=200,
        is_fence_checked=row["fencing"],
    )


def expected_service_response(path: str, body: bytes) -> bytes:
    """Return the only correct response body of a service call."""
    response = memory_service.service.expected_response(path, body)
    return json.dumps(response, separators=(",", ":")).encode()
