"""Faults of a soak, drawn from a seed."""

from __future__ import annotations

import random
import signal
from typing import Protocol
from typing import TYPE_CHECKING

from twisted.internet import reactor

from soak import entry as entry_module
from soak import ledger as ledger_module
from soak import poison_part as poison_part_module
from soak import proxy as proxy_module
from soak import store as store_module

if TYPE_CHECKING:
    from collections.abc import Callable

    from soak import backend_server

# A limit binds some seconds after its announcement only.
LIMIT_S = 4.5
# Well below what each server gets in a soak, so that it binds.
MAX_LIMIT_PER_S = 1.0
# Time for five crashes of three engines and for what follows them.
POISON_PART_S = 6.0
LinkFault = proxy_module.LinkFault
StoreFault = store_module.StoreFault


class SoakTarget(Protocol):
    """Parts of a soak that faults act on, and their recovery."""

    random: random.Random
    data: store_module.StoreData
    site: store_module.StoreSite
    entries: list[entry_module.Entry]
    backends: list[backend_server.BackendServer]
    store_proxies: dict[str, proxy_module.Proxy]
    poison_part: poison_part_module.PoisonPart

    def end_poison_part(self, name: str) -> None:
        """Check a part that crashes engines, and use it no longer."""

    def start_entry(self, entry: entry_module.Entry) -> None:
        """Start an entry unless it is running."""

    def restart_when_exited(self, entry: entry_module.Entry) -> None:
        """Restart an entry once its process has exited."""

    def schedule_drain_end(
        self, backend: backend_server.BackendServer
    ) -> None:
        """Check the drain after a delay, then restart the server."""

    def write_configuration(self) -> None:
        """Write the next version of the configuration."""


_UNPLANNED: dict[str, Callable[[SoakTarget, float], None]] = {}
_PLANNED: dict[str, Callable[[SoakTarget, float], None]] = {}


def unplanned(
    function: Callable[[SoakTarget, float], None],
) -> Callable[[SoakTarget, float], None]:
    """Register a fault that may interrupt requests."""
    _UNPLANNED[function.__name__] = function
    return function


def planned(
    function: Callable[[SoakTarget, float], None],
) -> Callable[[SoakTarget, float], None]:
    """Register a planned operation that must not interrupt requests."""
    _PLANNED[function.__name__] = function
    return function


def draw(
    random_source: random.Random, is_planned_only: bool, only: frozenset[str]
) -> tuple[str, Callable[[SoakTarget, float], None]] | None:
    """Return the name and function of a randomly chosen fault, if any.

    With names in `only`, others are left out.
    """
    table = dict(_PLANNED) if is_planned_only else {**_PLANNED, **_UNPLANNED}
    names = sorted(only & table.keys() if only else table)
    if not names:
        return None
    name = random_source.choice(names)
    return name, table[name]


@unplanned
def kill_entry(soak: SoakTarget, duration_s: float) -> None:
    """Kill an entry and restart it."""
    entry = soak.random.choice(soak.entries)
    entry.kill()
    reactor.callLater(duration_s / 2, soak.start_entry, entry)


@unplanned
def kill_all_entries(soak: SoakTarget, duration_s: float) -> None:
    """Kill all entries at the same time and restart them."""
    for entry in soak.entries:
        entry.kill()
        reactor.callLater(duration_s / 2, soak.start_entry, entry)


@unplanned
def freeze_entry(soak: SoakTarget, duration_s: float) -> None:
    """Suspend the process of an entry with SIGSTOP."""
    entry = soak.random.choice(soak.entries)
    entry.send_signal(signal.SIGSTOP)
    entry.is_frozen = True
    now_ms = ledger_module.now_ms()
    window = (now_ms, now_ms + int(duration_s * 1_000))
    entry.disturbed_ms.append(window)
    entry.frozen_ms.append(window)
    reactor.callLater(duration_s, _resume, entry)


def _resume(entry: entry_module.Entry) -> None:
    entry.is_frozen = False
    entry.send_signal(signal.SIGCONT)


@unplanned
def harm_link_of_server(soak: SoakTarget, duration_s: float) -> None:
    """Inject a link fault between the entries and a backend server."""
    backend = soak.random.choice(soak.backends)
    proxy = backend.proxy
    fault = soak.random.choice([item for item in LinkFault][1:])
    if proxy is not None:
        now_ms = ledger_module.now_ms()
        until_ms = now_ms + int(duration_s * 1_000)
        backend.harmed_ms.append((now_ms, until_ms))
        _set_link_fault(proxy, fault, duration_s)


@unplanned
def harm_link_to_store(soak: SoakTarget, duration_s: float) -> None:
    """Inject a link fault between one entry and the store."""
    name, proxy = soak.random.choice(list(soak.store_proxies.items()))
    fault = soak.random.choice([item for item in LinkFault][1:])
    for entry in soak.entries:
        if entry.name == name:
            entry.record_without_store(duration_s)
    _set_link_fault(proxy, fault, duration_s)


def _set_link_fault(
    proxy: proxy_module.Proxy, fault: LinkFault, duration_s: float
) -> None:
    proxy.set_fault(fault)
    reactor.callLater(duration_s, proxy.set_fault, LinkFault.NONE)


@unplanned
def fault_of_store(soak: SoakTarget, duration_s: float) -> None:
    """Inject a store fault that affects all entries."""
    soak.site.fault = soak.random.choice([item for item in StoreFault][1:])
    for entry in soak.entries:
        entry.record_without_store(duration_s)
    reactor.callLater(duration_s, _clear_store_fault, soak)


def _clear_store_fault(soak: SoakTarget) -> None:
    soak.site.fault = StoreFault.NONE


@unplanned
def crash_server(soak: SoakTarget, duration_s: float) -> None:
    """Crash a backend server; it restarts without models."""
    soak.random.choice(soak.backends).crash()


@unplanned
def send_poison_part(soak: SoakTarget, duration_s: float) -> None:
    """Let callers send a part of prompts that crashes engines."""
    if not soak.poison_part.name:
        soak.poison_part.begin()
        reactor.callLater(
            POISON_PART_S, soak.end_poison_part, soak.poison_part.name
        )


@planned
def forget_history(soak: SoakTarget, duration_s: float) -> None:
    """Compact the whole change history of the store."""
    soak.data.compact()


@planned
def write_unreadable_record(soak: SoakTarget, duration_s: float) -> None:
    """Write a server record that cannot be parsed."""
    value = soak.random.choice([b"\xff\xfe", b"[]", b'{"service": 3}', b"{"])
    soak.data.put("servers/unreadable", value)
    reactor.callLater(duration_s, soak.data.remove, "servers/unreadable")


@planned
def new_configuration(soak: SoakTarget, duration_s: float) -> None:
    """Write the next configuration version with unchanged routes."""
    soak.write_configuration()


@planned
def replace_entry(soak: SoakTarget, duration_s: float) -> None:
    """Stop an entry gracefully with SIGTERM and restart it."""
    running = [
        entry
        for entry in soak.entries
        if entry.has_started and not entry.is_stopping and not entry.is_frozen
    ]
    if len(running) < 2:
        return
    entry = soak.random.choice(running)
    entry.is_stopping = True
    entry.send_signal(signal.SIGTERM)
    soak.restart_when_exited(entry)


@planned
def reload_entry(soak: SoakTarget, duration_s: float) -> None:
    """Send SIGHUP to an entry, so that it reloads its settings."""
    started = [entry for entry in soak.entries if entry.has_started]
    if started:
        soak.random.choice(started).send_signal(signal.SIGHUP)


@planned
def limit_server(soak: SoakTarget, duration_s: float) -> None:
    """Let a server limit the requests that it accepts from all entries."""
    backend = soak.random.choice(soak.backends)
    backend.limit.begin(soak.random.uniform(0.0, MAX_LIMIT_PER_S))
    reactor.callLater(LIMIT_S + duration_s, backend.limit.end)


@planned
def drain_server(soak: SoakTarget, duration_s: float) -> None:
    """Drain a server without an engine, then restart it."""
    usable = [
        backend
        for backend in soak.backends
        if not backend.is_engine and backend.state == "ready" and backend.is_up
    ]
    if len(usable) < 2:
        return
    backend = soak.random.choice(usable)
    backend.drain()
    soak.schedule_drain_end(backend)
