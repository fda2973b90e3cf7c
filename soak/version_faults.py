"""Faults of seeds whose engines have several software versions."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

from twisted.internet import reactor

from soak import faults

if TYPE_CHECKING:
    import random

    from soak import backend_server
    from soak import entry as entry_module
    from soak import software_versions

# Share of the runs with unplanned faults in which all entries are killed.
KILL_SHARE = 0.7
MAX_KILLS = 2
# Share of these kills together with which a version leaves.
DEPARTURE_SHARE = 0.4
MIN_DOWN_S = 0.5
MAX_DOWN_S = 1.5
# Streams have begun before the first kill.
FIRST_KILL_S = 1.5
MIN_REPLACEMENT_PAUSE_S = 1.5
MAX_REPLACEMENT_PAUSE_S = 4.0


class FaultTarget(Protocol):
    """Operations of a soak that these faults use."""

    def start_entry(self, entry: entry_module.Entry) -> None:
        """Start an entry unless it is running."""

    def record_fault(self, name: str, length_s: float) -> None:
        """Add a fault that begins now to the report."""


class VersionFaults:
    """Replacements of engines, and kills of all entries at once.

    They have a random source of their own, so that the other faults of a
    seed do not depend on them.
    """

    def __init__(
        self,
        random_source: random.Random,
        versions: software_versions.SoftwareVersions,
        entries: list[entry_module.Entry],
        engines: list[backend_server.BackendServer],
        target: FaultTarget,
    ) -> None:
        self._random = random_source
        self._versions = versions
        self._entries = entries
        self._engines = engines
        self._target = target
        self._has_ended = False

    def start(self, duration_s: float) -> None:
        """Schedule the kills, and the first replacement."""
        if self._random.random() < KILL_SHARE:
            for _ in range(self._random.randint(1, MAX_KILLS)):
                delay_s = self._random.uniform(FIRST_KILL_S, duration_s)
                reactor.callLater(delay_s, self._kill_all_entries)
        self._schedule_replacement()

    def end(self) -> None:
        """Replace no further server."""
        self._has_ended = True

    def _schedule_replacement(self) -> None:
        pause_s = self._random.uniform(
            MIN_REPLACEMENT_PAUSE_S, MAX_REPLACEMENT_PAUSE_S
        )
        reactor.callLater(pause_s, self._replace_engine)

    def _replace_engine(self) -> None:
        if not self._has_ended:
            self._target.record_fault("replace_engine", 0.0)
            self._random.choice(self._engines).crash()
            self._schedule_replacement()

    def _kill_all_entries(self) -> None:
        down_s = self._random.uniform(MIN_DOWN_S, MAX_DOWN_S)
        self._target.record_fault(faults.kill_all_entries.__name__, down_s)
        has_departure = self._random.random() < DEPARTURE_SHARE
        for entry in self._entries:
            entry.kill()
            reactor.callLater(down_s, self._target.start_entry, entry)
        if has_departure and self._versions.has_several:
            self._remove_version()

    def _remove_version(self) -> None:
        departed = self._versions.depart()
        self._target.record_fault(f"departure_of_{departed}", 0.0)
        for engine in self._engines:
            if engine.version == departed:
                engine.crash()
