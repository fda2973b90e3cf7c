"""One soak: a seed, its faults and the promises that it broke."""

from __future__ import annotations

import dataclasses
import json
import pathlib
import random
from typing import Any

from twisted.internet import reactor
from twisted.web import server

from soak import backend_server
from soak import caller as caller_module
from soak import checks
from soak import entry as entry_module
from soak import faults
from soak import ledger as ledger_module
from soak import proxy as proxy_module
from soak import store as store_module

ENTRIES = 3
SERVERS = 3
CALLERS = 12
ZONES = ("z1", "z2")
START_S = 2.5
RECOVERY_S = 5.0
# Requests that come late in the recovery show whether all works again.
PROBE_S = 2.0
MIN_SERVED_SHARE = 0.85
MAX_FAULT_S = 2.5
MAX_PAUSE_S = 1.2
POLL_S = 0.05
# A poll that is later than this shows that the VM is too busy for the times
# that a soak checks.
STALL_MS = 400
# A drained server has finished what it had taken before it ends.
DRAIN_S = 4.5
# Each fifth seed has planned work only, which must cut nothing off.
PLANNED_ONLY_PERIOD = 5
KINDS = {
    ledger_module.Kind.READ: ("idempotent", "app", False),
    ledger_module.Kind.PLACE: ("non_idempotent", "app", False),
    ledger_module.Kind.LIVE: ("streaming", "models", False),
    ledger_module.Kind.NIGHT: ("streaming", "models", True),
}


@dataclasses.dataclass(slots=True)
class Report:
    """Outcome of one soak."""

    seed: int
    faults: list[str]
    asked: int
    served: int
    violations: list[str]
    stalls: int = 0


class Soak:
    """Store, servers, entries and callers of one seed."""

    def __init__(
        self, seed: int, duration_s: float, folder: pathlib.Path
    ) -> None:
        self.random = random.Random(seed)
        self._seed = seed
        self._duration_s = duration_s
        self.ledger = ledger_module.Ledger()
        self.data = store_module.StoreData()
        self.site = store_module.StoreSite(self.data)
        self._version = 0
        self._is_over = False
        self._faults: list[str] = []
        self._excused: list[tuple[int, int]] = []
        self._violations: list[str] = []
        # Times in which this process itself did not run.
        self._stalls: list[tuple[int, int]] = []
        self._polled_ms = ledger_module.now_ms()
        self._is_planned_only = seed % PLANNED_ONLY_PERIOD == 0
        self._listener = reactor.listenTCP(
            0, server.Site(self.site), interface="127.0.0.1"
        )
        store_port = self._listener.getHost().port
        self.store_proxies: dict[str, proxy_module.Proxy] = {}
        self.entries = []
        for number in range(ENTRIES):
            name = f"front-{number}"
            proxy = proxy_module.Proxy("127.0.0.1", store_port)
            self.store_proxies[name] = proxy
            zone = ZONES[number % len(ZONES)]
            self.entries.append(
                entry_module.Entry(
                    name,
                    zone,
                    proxy.listen(),
                    folder,
                )
            )
        self.backends = [
            backend_server.BackendServer(
                f"{service}-{number}",
                service,
                ZONES[number % len(ZONES)],
                self.data,
                self.ledger,
                random.Random(f"{seed}/{service}/{number}"),
                0.0 if self._is_planned_only else backend_server.BREAK_SHARE,
            )
            for service in ("app", "models")
            for number in range(SERVERS)
        ]
        self._callers = [
            caller_module.Caller(
                number,
                self.entries,
                self.ledger,
                random.Random(f"{seed}/caller/{number}"),
            )
            for number in range(CALLERS)
        ]

    def start(self) -> None:
        """Start all, then the callers and the faults."""
        self.write_configuration()
        for backend in self.backends:
            backend.start()
        for entry in self.entries:
            self.start_entry(entry)
        self._watch()
        reactor.callLater(START_S, self._start_traffic)

    def _start_traffic(self) -> None:
        for caller in self._callers:
            caller.start()
        self._next_fault()
        reactor.callLater(self._duration_s, self._end_faults)

    def _next_fault(self) -> None:
        if self._is_over:
            return
        name, function = faults.draw(self.random, self._is_planned_only)
        length_s = self.random.uniform(0.2, MAX_FAULT_S)
        self._faults.append(name)
        now_ms = ledger_module.now_ms()
        self._excused.append((now_ms, now_ms + int(length_s * 1_000)))
        function(self, length_s)
        reactor.callLater(
            self.random.uniform(0.0, MAX_PAUSE_S), self._next_fault
        )

    def _end_faults(self) -> None:
        self._is_over = True
        reactor.callLater(MAX_FAULT_S + RECOVERY_S, self._begin_probe)

    def _begin_probe(self) -> None:
        self._probe_ms = ledger_module.now_ms()
        reactor.callLater(PROBE_S, self._stop_callers)

    def _stop_callers(self) -> None:
        for caller in self._callers:
            caller.stop()
        reactor.callLater(caller_module.PATIENCE_S, self._finish)

    def _finish(self) -> None:
        for entry in self.entries:
            entry.check()
            self._violations += entry.exits
            entry.kill()
        self._judge()
        for backend in self.backends:
            backend.stop()
        self.data.stop()
        reactor.stop()

    def _judge(self) -> None:
        self._violations += checks.violations(self.ledger, self.backends)
        if self._is_planned_only:
            self._violations += checks.cut_violations(
                self.ledger, self._stalls
            )
        asks = [
            ask
            for ask in self.ledger.asks.values()
            if ask.sent_ms >= self._probe_ms and not ask.is_abandoned
        ]
        served = sum(1 for ask in asks if _is_served(ask))
        if served < MIN_SERVED_SHARE * len(asks) or not asks:
            self._violations.append(
                f"after the faults {served} of {len(asks)} are served"
            )

    def report(self) -> Report:
        """Return the outcome."""
        asks = self.ledger.asks.values()
        served = sum(1 for ask in asks if _is_served(ask))
        return Report(
            self._seed,
            self._faults,
            len(asks),
            served,
            self._violations,
            len(self._stalls),
        )

    # What faults use

    def start_entry(self, entry: entry_module.Entry) -> None:
        """Start an entry that is not running."""
        if not entry.is_running:
            entry.start()

    def start_when_ended(self, entry: entry_module.Entry) -> None:
        """Start an entry again once its process is gone."""
        if entry.is_running:
            reactor.callLater(POLL_S, self.start_when_ended, entry)
            return
        entry.check()
        self.start_entry(entry)

    def end_drain_later(self, backend: backend_server.BackendServer) -> None:
        """Check a drain, then bring the server back."""
        reactor.callLater(DRAIN_S, self._end_drain, backend)

    def _end_drain(self, backend: backend_server.BackendServer) -> None:
        excused = [] if self._is_planned_only else self._excused
        self._violations += checks.drain_violations(
            self.ledger, backend, excused
        )
        backend.undrain()

    def write_configuration(self) -> None:
        """Write the next version of the configuration."""
        self._version += self.random.randint(1, 3)
        rows = configuration(self._version)
        self.data.put("op/config", json.dumps(rows).encode())

    def _watch(self) -> None:
        now_ms = ledger_module.now_ms()
        if now_ms - self._polled_ms > STALL_MS:
            self._stalls.append((self._polled_ms, now_ms))
        self._polled_ms = now_ms
        for entry in self.entries:
            entry.check()
        reactor.callLater(POLL_S, self._watch)


def _is_served(ask: ledger_module.Ask) -> bool:
    answer = ask.answer
    if answer is None or not answer.is_complete:
        return False
    # A failure with a signature is the server's own answer.
    return answer.status == 200 or bool(answer.signature)


def configuration(version: int) -> dict[str, Any]:
    """Return a configuration in the platform's format."""
    routes = [
        {
            "name": kind.value,
            "host": caller_module.HOST,
            "path_prefix": f"/{kind.value}/",
            "kind": rule,
            "timeout_ms": caller_module.DEADLINE_MS,
            "target_latency_ms": 300,
            "priority": 1,
            "service": service,
            "attempts": checks.MAX_RUNS[kind],
            "resumable": is_resumable,
            "gap_aim_ms": 250,
        }
        for kind, (rule, service, is_resumable) in KINDS.items()
    ]
    engine = {
        "slots": 16,
        "kv_capacity": 100_000,
        "weights_mb": backend_server.WEIGHTS_MB,
        "adapter_slots": 0,
        "loads_per_s": 20.0,
        "models": [
            {
                "name": name,
                "weights_mb": backend_server.MODEL_MB,
                "load_s": backend_server.LOAD_S,
            }
            for name in backend_server.MODELS
        ],
    }
    services = [
        {"name": "app", "max_conns": 200},
        {"name": "models", "max_conns": 200, "engine": engine},
    ]
    return {"version": version, "routes": routes, "services": services}


def run(seed: int, duration_s: float, folder: pathlib.Path) -> Report:
    """Run one soak in this process; a process runs one only."""
    soak = Soak(seed, duration_s, folder)
    reactor.callWhenRunning(soak.start)
    try:
        reactor.run()
    finally:
        # Also when the soak itself is stopped.
        for entry in soak.entries:
            entry.kill()
    return soak.report()
