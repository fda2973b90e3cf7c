"""Decide which content of requests crashes servers.

The load pattern: requests that have one part in common come at any entry, and
each crashes the server that begins a response to it, beside sound requests
that share the other parts and break with the server.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.timing import clock as clock_module

# A broken response and the loss of its server are one crash if they are
# reported within this time. A server's record expires within 4 s.
CONFIRMATION_MS = 6_000
# Crashes of different processes on which content is held back.
CRASHES_TO_QUARANTINE = 3
# Servers of a failed availability zone crash together. Crashes count as one
# within this time, in which other servers respond to content that is sound.
ROUND_MS = 300
# An entry with a proof is asked for it from this number of crashes on.
CRASHES_TO_WATCH = 2
# Crashes of one content are counted together if none is further apart.
EVIDENCE_MS = 900_000
MAX_CONTENTS = 20_000
MAX_PROCESSES = 500
MAX_BROKEN_PER_PROCESS = 500


class _Process:
    """Hold the broken requests of a server process that may have crashed."""

    __slots__ = ("broken", "lost_ms", "seen_ms")

    def __init__(self, now_ms: int) -> None:
        self.seen_ms = now_ms
        self.lost_ms: int | None = None
        self.broken: list[tuple[frozenset[bytes], int]] = []


class _Evidence:
    """Hold the crashes of one content since its last proof."""

    __slots__ = (
        "companions",
        "last_round_ms",
        "processes",
        "rounds",
        "since_ms",
    )

    def __init__(self, companions: frozenset[bytes], at_ms: int) -> None:
        self.since_ms = at_ms
        self.last_round_ms = at_ms - ROUND_MS
        self.rounds = 0
        self.processes: set[str] = set()
        # Content that was present in each request with this one.
        self.companions = companions

    def add(
        self, process: str, fingerprints: frozenset[bytes], at_ms: int
    ) -> bool:
        """Count a crash; return whether it is one of a new round."""
        self.companions &= fingerprints
        if process in self.processes:
            return False
        self.processes.add(process)
        if at_ms - self.last_round_ms < ROUND_MS:
            return False
        self.last_round_ms = at_ms
        self.rounds += 1
        return True


@dataclasses.dataclass(slots=True, frozen=True)
class Watch:
    """Ask the entries for a proof of content since a time."""

    content: bytes
    since_ms: int


@dataclasses.dataclass(slots=True)
class Findings:
    """Hold what follows from one report."""

    watches: list[Watch] = dataclasses.field(default_factory=list)
    quarantined: list[frozenset[bytes]] = dataclasses.field(
        default_factory=list
    )


class CrashEvidence:
    """Join the reports of all entries and find what crashes servers.

    All requests without a proof on a crashed server are suspects. Content is
    at fault if suspects with it crash three processes, not all at once, and
    no response to it has been proven since the first of them. Sound content
    proves itself meanwhile, as far as it is in use.
    """

    __slots__ = ("_clock", "_evidence", "_processes", "_proven_ms")

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._processes: dict[str, _Process] = {}
        self._evidence: dict[bytes, _Evidence] = {}
        # By fingerprint: reports of broken requests before this are void.
        self._proven_ms: dict[bytes, int] = {}

    def on_broken(
        self, process: str, fingerprints: frozenset[bytes], at_ms: int
    ) -> Findings:
        """Add a request that broke at a process, at a time of this clock."""
        found = self._process(process)
        if len(found.broken) < MAX_BROKEN_PER_PROCESS:
            found.broken.append((fingerprints, at_ms))
        return self._confirm(process, found)

    def on_lost(self, process: str) -> Findings:
        """Add the loss of a process."""
        found = self._process(process)
        found.lost_ms = self._clock.now_ms()
        return self._confirm(process, found)

    def on_proven(self, fingerprints: frozenset[bytes]) -> None:
        """Drop the evidence against content that a server responded to."""
        now_ms = self._clock.now_ms()
        if len(self._proven_ms) > MAX_CONTENTS:
            self._proven_ms.clear()
        for content in fingerprints:
            self._evidence.pop(content, None)
            self._proven_ms[content] = now_ms

    def _process(self, process: str) -> _Process:
        found = self._processes.get(process)
        if found is None:
            self._drop_old_processes()
            found = _Process(self._clock.now_ms())
            self._processes[process] = found
        return found

    def _drop_old_processes(self) -> None:
        oldest_ms = self._clock.now_ms() - CONFIRMATION_MS
        if len(self._processes) < MAX_PROCESSES:
            return
        kept = {
            name: process
            for name, process in self._processes.items()
            if process.seen_ms >= oldest_ms
        }
        self._processes = kept if len(kept) < MAX_PROCESSES else {}

    def _confirm(self, name: str, process: _Process) -> Findings:
        """Count the broken requests of a process that is lost."""
        findings = Findings()
        if process.lost_ms is None:
            return findings
        broken, process.broken = process.broken, []
        counted: set[bytes] = set()
        for fingerprints, at_ms in broken:
            if abs(process.lost_ms - at_ms) > CONFIRMATION_MS:
                continue
            for content in fingerprints:
                if self._count(name, content, fingerprints, at_ms):
                    counted.add(content)
        for content in counted:
            self._judge(content, findings)
        return findings

    def _count(
        self,
        process: str,
        content: bytes,
        fingerprints: frozenset[bytes],
        at_ms: int,
    ) -> bool:
        """Count a crash; return whether it is one of a new round."""
        if at_ms < self._proven_ms.get(content, at_ms):
            return False
        evidence = self._evidence.get(content)
        if evidence is None or (at_ms - evidence.last_round_ms > EVIDENCE_MS):
            if len(self._evidence) >= MAX_CONTENTS:
                self._drop_old_evidence()
            evidence = _Evidence(fingerprints, at_ms)
            self._evidence[content] = evidence
        return evidence.add(process, fingerprints, at_ms)

    def _judge(self, content: bytes, findings: Findings) -> None:
        evidence = self._evidence.get(content)
        if evidence is None:
            return
        if evidence.rounds == CRASHES_TO_WATCH:
            findings.watches.append(Watch(content, evidence.since_ms))
        elif evidence.rounds >= CRASHES_TO_QUARANTINE:
            findings.quarantined.append(self._indistinguishable(evidence))

    def _indistinguishable(self, evidence: _Evidence) -> frozenset[bytes]:
        """Return the content that the same crashes speak against."""
        return frozenset(
            other
            for other in evidence.companions
            if other in self._evidence
            and self._evidence[other].rounds >= evidence.rounds
        )

    def _drop_old_evidence(self) -> None:
        """Keep the content with several crashes, else the newest."""
        kept = {
            content: evidence
            for content, evidence in self._evidence.items()
            if evidence.rounds >= CRASHES_TO_WATCH
        }
        self._evidence = kept if len(kept) < MAX_CONTENTS // 2 else {}
