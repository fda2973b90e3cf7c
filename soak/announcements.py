"""Announcements of the store and of servers: restores, leaving, back-off."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

from twisted.internet import reactor

from soak import ledger as ledger_module
from soak import store as store_module

if TYPE_CHECKING:
    import random

    from soak import backend_server
    from soak import entry as entry_module

# Share of the runs with unplanned faults whose store is restored, and of all
# runs in which servers announce their leaving, and ask for a back-off.
RESTORE_SHARE = 0.5
LEAVING_SHARE = 0.6
BACKOFF_SHARE = 0.8
MAX_RESTORES = 2
MAX_COPY_AGE_S = 3.0
MIN_AWAY_S = 0.2
MAX_AWAY_S = 1.2
# The operator writes its configuration again after this time. Servers do so
# with their next heartbeat.
MAX_REWRITE_S = 1.0
# Versions that the store loses, so that its revisions go back for longer than
# the changes after its return take to make up for.
LOST_VERSIONS = 40
# A change binds at the latest this long after its acknowledgement.
APPLY_S = 3.0
# A server that announces its leaving restarts after this time.
LEAVING_S = 4.5
# Back-offs that servers ask for, and how long they turn requests away.
MAX_BACKOFFS = 3
MIN_BACKOFF_S = 1.0
MAX_BACKOFF_S = 4.0
# Share of the back-offs in which all servers of a service ask for one.
WHOLE_SERVICE_SHARE = 0.8


class AnnouncementTarget(Protocol):
    """Parts and operations of a soak that the announcements use."""

    data: store_module.StoreData
    site: store_module.StoreSite
    entries: list[entry_module.Entry]
    backends: list[backend_server.BackendServer]

    def record_fault(self, name: str, length_s: float) -> None:
        """Add a fault that begins now to the report."""

    def rewrite_configuration(self) -> None:
        """Write the newest version of the configuration again."""

    def add_route(self) -> str:
        """Write a version with one more route; return its name."""

    def probe_route(self, name: str, since_ms: int) -> None:
        """Ask the entries for a route, unless disturbed since a time."""

    def end_leaving(self, backend: backend_server.BackendServer) -> None:
        """Check that the leaving was obeyed, and restart the server."""


class Announcements:
    """Restore the store, and let servers announce to leave or to back off.

    They have a random source of their own, so that the other faults of a
    seed do not depend on them.
    """

    def __init__(
        self,
        random_source: random.Random,
        target: AnnouncementTarget,
        is_planned_only: bool,
    ) -> None:
        self._random = random_source
        self._target = target
        restores = self._random.randint(1, MAX_RESTORES)
        is_restored = self._random.random() < RESTORE_SHARE
        self.restores = restores if is_restored and not is_planned_only else 0
        self.has_leaving = self._random.random() < LEAVING_SHARE
        backoffs = self._random.randint(1, MAX_BACKOFFS)
        has_backoffs = self._random.random() < BACKOFF_SHARE
        self.backoffs = backoffs if has_backoffs else 0

    def start(self, duration_s: float) -> None:
        """Schedule the restores and the announcements of servers."""
        for _ in range(self.restores):
            delay_s = self._random.uniform(0.0, duration_s)
            reactor.callLater(delay_s, self._copy)
        if self.has_leaving:
            delay_s = self._random.uniform(0.0, duration_s / 2)
            reactor.callLater(delay_s, self._announce_leaving)
        for _ in range(self.backoffs):
            delay_s = self._random.uniform(0.0, duration_s)
            reactor.callLater(delay_s, self._ask_for_backoff)

    def _copy(self) -> None:
        copy = self._target.data.copy()
        age_s = self._random.uniform(0.0, MAX_COPY_AGE_S)
        reactor.callLater(age_s, self._lose_store, copy)

    def _lose_store(self, copy: store_module.StoreCopy) -> None:
        for _ in range(LOST_VERSIONS):
            self._target.rewrite_configuration()
        away_s = self._random.uniform(MIN_AWAY_S, MAX_AWAY_S)
        rewrite_s = self._random.uniform(0.0, MAX_REWRITE_S)
        self._target.record_fault("restore_store", away_s + rewrite_s)
        for entry in self._target.entries:
            entry.record_without_store(away_s + rewrite_s)
        self._target.site.fault = store_module.StoreFault.REFUSE
        self._target.site.close_watches()
        reactor.callLater(away_s, self._restore, copy)
        reactor.callLater(away_s + rewrite_s, self._write_again)

    def _restore(self, copy: store_module.StoreCopy) -> None:
        self._target.data.restore(copy)
        self._target.site.fault = store_module.StoreFault.NONE

    def _write_again(self) -> None:
        self._target.rewrite_configuration()
        name = self._target.add_route()
        now_ms = ledger_module.now_ms()
        reactor.callLater(APPLY_S, self._target.probe_route, name, now_ms)

    def _announce_leaving(self) -> None:
        backend = self._random.choice(self._target.backends)
        if not backend.is_up or backend.state != "ready":
            return
        self._target.record_fault("announce_leaving", 0.0)
        backend.leaving.begin()
        reactor.callLater(LEAVING_S, self._target.end_leaving, backend)

    def _ask_for_backoff(self) -> None:
        """Let a server, or all of its service, turn requests away."""
        chosen = self._random.choice(self._target.backends)
        is_whole = self._random.random() < WHOLE_SERVICE_SHARE
        seconds = self._random.uniform(MIN_BACKOFF_S, MAX_BACKOFF_S)
        length_s = self._random.uniform(MIN_BACKOFF_S, MAX_BACKOFF_S)
        self._target.record_fault("ask_for_backoff", length_s)
        for backend in self._target.backends:
            is_included = is_whole and backend.service == chosen.service
            if backend is chosen or is_included:
                backend.backoff.begin(round(seconds, 2))
                reactor.callLater(length_s, backend.backoff.end)
