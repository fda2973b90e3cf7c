"""Faults of a soak, drawn from a seed."""

from __future__ import annotations

import random
import signal
from typing import Protocol
from typing import TYPE_CHECKING

from twisted.internet import reactor

from soak import entry as entry_module
from soak import proxy as proxy_module
from soak import store as store_module

if TYPE_CHECKING:
    from collections.abc import Callable

    from soak import backend_server

LinkFault = proxy_module.LinkFault
StoreFault = store_module.StoreFault


class World(Protocol):
    """What faults may harm, and how it comes back."""

    random: random.Random
    data: store_module.StoreData
    site: store_module.StoreSite
    entries: list[entry_module.Entry]
    backends: list[backend_server.BackendServer]
    store_proxies: dict[str, proxy_module.Proxy]

    def start_entry(self, entry: entry_module.Entry) -> None:
        """Start an entry that is not running."""

    def start_when_ended(self, entry: entry_module.Entry) -> None:
        """Start an entry again once its process is gone."""

    def end_drain_later(self, backend: backend_server.BackendServer) -> None:
        """Check a drain, then bring the server back."""

    def write_configuration(self) -> None:
        """Write the next version of the configuration."""


_UNPLANNED: dict[str, Callable[[World, float], None]] = {}
_PLANNED: dict[str, Callable[[World, float], None]] = {}


def unplanned(
    function: Callable[[World, float], None],
) -> Callable[[World, float], None]:
    """Register a fault that may cut requests off."""
    _UNPLANNED[function.__name__] = function
    return function


def planned(
    function: Callable[[World, float], None],
) -> Callable[[World, float], None]:
    """Register work that must cut no request off."""
    _PLANNED[function.__name__] = function
    return function


def draw(
    random_source: random.Random, is_planned_only: bool
) -> tuple[str, Callable[[World, float], None]]:
    """Return the next fault."""
    table = dict(_PLANNED) if is_planned_only else {**_PLANNED, **_UNPLANNED}
    name = random_source.choice(sorted(table))
    return name, table[name]


@unplanned
def kill_entry(soak: World, duration_s: float) -> None:
    """Kill an entry and start it again."""
    entry = soak.random.choice(soak.entries)
    entry.kill()
    reactor.callLater(duration_s / 2, soak.start_entry, entry)


@unplanned
def kill_all_entries(soak: World, duration_s: float) -> None:
    """Kill all entries at the same moment."""
    for entry in soak.entries:
        entry.kill()
        reactor.callLater(duration_s / 2, soak.start_entry, entry)


@unplanned
def freeze_entry(soak: World, duration_s: float) -> None:
    """Stop the processor of an entry for a time."""
    entry = soak.random.choice(soak.entries)
    entry.send_signal(signal.SIGSTOP)
    entry.is_frozen = True
    reactor.callLater(duration_s, _thaw, entry)


def _thaw(entry: entry_module.Entry) -> None:
    entry.is_frozen = False
    entry.send_signal(signal.SIGCONT)


@unplanned
def harm_link_of_server(soak: World, duration_s: float) -> None:
    """Harm the connections to a backend server."""
    proxy = soak.random.choice(soak.backends).proxy
    fault = soak.random.choice([item for item in LinkFault][1:])
    if proxy is not None:
        _harm(proxy, fault, duration_s)


@unplanned
def harm_link_to_store(soak: World, duration_s: float) -> None:
    """Harm the connections of one entry to the store."""
    proxy = soak.random.choice(list(soak.store_proxies.values()))
    fault = soak.random.choice([item for item in LinkFault][1:])
    _harm(proxy, fault, duration_s)


def _harm(
    proxy: proxy_module.Proxy, fault: LinkFault, duration_s: float
) -> None:
    proxy.set_fault(fault)
    reactor.callLater(duration_s, proxy.set_fault, LinkFault.NONE)


@unplanned
def fault_of_store(soak: World, duration_s: float) -> None:
    """Let the store misbehave towards all."""
    soak.site.fault = soak.random.choice([item for item in StoreFault][1:])
    reactor.callLater(duration_s, _mend_store, soak)


def _mend_store(soak: World) -> None:
    soak.site.fault = StoreFault.NONE


@unplanned
def crash_server(soak: World, duration_s: float) -> None:
    """Crash a backend server; it comes back empty."""
    soak.random.choice(soak.backends).crash()


@planned
def forget_history(soak: World, duration_s: float) -> None:
    """Let the store forget all changes."""
    soak.data.compact()


@planned
def write_unreadable_record(soak: World, duration_s: float) -> None:
    """Let another writer register what can't be read."""
    value = soak.random.choice([b"\xff\xfe", b"[]", b'{"service": 3}', b"{"])
    soak.data.put("servers/unreadable", value)
    reactor.callLater(duration_s, soak.data.remove, "servers/unreadable")


@planned
def new_configuration(soak: World, duration_s: float) -> None:
    """Write the next version, with the same routes."""
    soak.write_configuration()


@planned
def replace_entry(soak: World, duration_s: float) -> None:
    """Stop an entry in good order and start it again."""
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
    soak.start_when_ended(entry)


@planned
def reload_entry(soak: World, duration_s: float) -> None:
    """Tell an entry that its settings have changed."""
    started = [entry for entry in soak.entries if entry.has_started]
    if started:
        soak.random.choice(started).send_signal(signal.SIGHUP)


@planned
def drain_server(soak: World, duration_s: float) -> None:
    """Take a plain server out and bring it back as a new process."""
    usable = [
        backend
        for backend in soak.backends
        if not backend.is_engine and backend.state == "ready" and backend.is_up
    ]
    if len(usable) < 2:
        return
    backend = soak.random.choice(usable)
    backend.drain()
    soak.end_drain_later(backend)
