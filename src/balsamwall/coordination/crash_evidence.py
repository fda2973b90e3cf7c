"""Decide which content of requests crashes servers.

The load pattern: requests that have one part in common come at any entry, and
each crashes the server that begins a response to it, beside sound requests
that share the other parts and break with the server.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.gateway import broken_request
    from balsamwall.gateway import quarantine as quarantine_module
    from balsamwall.timing import clock as clock_module

# A broken response and the loss of its server are one crash if they are
# reported within this time. A server's record expires within 4 s.
CONFIRMATION_MS = 6_000
# Weight of a crash for content of a request whose response was at its begin,
# and for the digest of a whole request. Other requests may have waited, or
# their responses may have gone on.
STRONG_WEIGHT = 2
WEAK_WEIGHT = 1
# Content is held back at this sum of weights: after three crashes with strong
# evidence.
QUARANTINE_SCORE = 3 * STRONG_WEIGHT
# Servers of a failed availability zone crash together. Crashes count as one
# within this time, in which other servers respond to content that is sound.
ROUND_MS = 300
# The entries are asked for a proof from this sum of weights on.
WATCH_SCORE = 3
# Delay of a decision, for proofs and for reports of other entries on the same
# crash, which may speak against other content.
DECISION_DELAY_MS = 200
# Crashes of one content are counted together for this time.
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
        self.broken: list[broken_request.BrokenRequest] = []


@dataclasses.dataclass(slots=True, frozen=True)
class _Crash:
    """Hold when a process crashed and how much that says of one content."""

    at_ms: int
    weight: int


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class _Weight:
    """Order the evidence against contents, by its fields in this order."""

    mean: float  # weight of a crash on average
    score: int
    total: int  # sum of the weights of all crashes


class _Evidence:
    """Hold the crashes of one content since its last proof."""

    __slots__ = (
        "_has_strong",
        "companions",
        "crashes",
        "since_ms",
        "watched_ms",
    )

    def __init__(self, companions: frozenset[bytes], at_ms: int) -> None:
        self.since_ms = at_ms
        self.watched_ms: int | None = None
        # By server process.
        self.crashes: dict[str, _Crash] = {}
        # Content that was present in each request with this one, as far as
        # the requests are strong evidence, if any is.
        self.companions = companions
        self._has_strong = False

    @property
    def score(self) -> int:
        """Return the sum of weights, one for all crashes of one round."""
        total = 0
        weight = 0
        round_ms: int | None = None
        for crash in sorted(self.crashes.values(), key=lambda c: c.at_ms):
            if round_ms is None or crash.at_ms - round_ms >= ROUND_MS:
                total += weight
                weight = 0
                round_ms = crash.at_ms
            weight = max(weight, crash.weight)
        return total + weight

    @property
    def weight(self) -> _Weight:
        """Return how strong the evidence is.

        Content at fault crashes a server with the request that it begins, so
        that all its crashes are strong evidence, also while the reports of an
        entry are missing. Content that comes with it is often on the server
        in other requests only.
        """
        total = sum(crash.weight for crash in self.crashes.values())
        mean = total / max(1, len(self.crashes))
        return _Weight(mean, self.score, total)

    def _narrow(self, companions: frozenset[bytes], is_strong: bool) -> None:
        """Narrow the companions, by strong evidence only once there is any.

        Sound requests that wait at a server that crashes share a part with
        the request at fault, but say nothing of that part alone.
        """
        if is_strong and not self._has_strong:
            self._has_strong = True
            self.companions = companions
        elif is_strong or not self._has_strong:
            self.companions &= companions

    def is_equal(self, other: _Evidence) -> bool:
        """Return whether nothing tells two contents apart."""
        return (
            self.companions == other.companions and self.weight == other.weight
        )

    def add(
        self, process: str, crash: _Crash, companions: frozenset[bytes]
    ) -> None:
        """Count a crash; of several reports the strongest one counts."""
        self._narrow(companions, crash.weight == STRONG_WEIGHT)
        known = self.crashes.get(process)
        if known is None or known.weight < crash.weight:
            self.crashes[process] = crash


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
    # Content that was held back and is now explained by other content.
    released: list[frozenset[bytes]] = dataclasses.field(default_factory=list)
    # Whether to decide after DECISION_DELAY_MS.
    is_decision_due: bool = False


class CrashEvidence:
    """Join the reports of all entries and find what crashes servers.

    All requests without a proof on a crashed server are suspects. Content is
    at fault if suspects with it crash three processes, not all at once, and
    no response to it has been proven since the first of them. Sound content
    proves itself meanwhile, as far as it is in use. Crashes that are explained
    by content at fault say nothing of other content.
    """

    __slots__ = (
        "_candidates",
        "_clock",
        "_evidence",
        "_processes",
        "_proven_ms",
        "_quarantine",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        quarantine: quarantine_module.Quarantine,
    ) -> None:
        self._clock = clock
        self._quarantine = quarantine
        self._processes: dict[str, _Process] = {}
        self._evidence: dict[bytes, _Evidence] = {}
        self._candidates: set[bytes] = set()
        # By fingerprint: reports of broken requests before this are void.
        self._proven_ms: dict[bytes, int] = {}

    def on_broken(self, broken: broken_request.BrokenRequest) -> Findings:
        """Add a request that broke at a process."""
        found = self._process(broken.process)
        if len(found.broken) < MAX_BROKEN_PER_PROCESS:
            found.broken.append(broken)
        return self._confirm(found)

    def on_lost(self, process: str) -> Findings:
        """Add the loss of a process."""
        found = self._process(process)
        found.lost_ms = self._clock.now_ms()
        return self._confirm(found)

    def on_proven(self, fingerprints: frozenset[bytes]) -> None:
        """Drop the evidence against content that a server responded to."""
        now_ms = self._clock.now_ms()
        if len(self._proven_ms) > MAX_CONTENTS:
            self._proven_ms.clear()
        for content in fingerprints:
            self._evidence.pop(content, None)
            self._proven_ms[content] = now_ms

    def decide(self) -> Findings:
        """Decide on the candidates, those with the most evidence first."""
        findings = Findings()
        candidates, self._candidates = self._candidates, set()
        while candidates:
            content = max(candidates, key=self._rank)
            candidates.discard(content)
            self._judge(content, findings)
        findings.is_decision_due = bool(self._candidates)
        return findings

    def _rank(self, content: bytes) -> tuple[_Weight, int, bytes]:
        """Return a rank by the evidence and, if equal, by how few it hits.

        A part that is at fault and one that always comes with it have equal
        evidence, but the latter is also in sound requests.
        """
        evidence = self._evidence.get(content)
        if evidence is None:
            return _Weight(0.0, 0, 0), 0, content
        return evidence.weight, len(evidence.companions), content

    def _judge(self, content: bytes, findings: Findings) -> None:
        evidence = self._evidence.get(content)
        if evidence is None or evidence.score < QUARANTINE_SCORE:
            return
        watched_ms = evidence.watched_ms or 0
        if self._clock.now_ms() - watched_ms < DECISION_DELAY_MS:
            self._candidates.add(content)
            return
        found = self._indistinguishable(evidence)
        findings.quarantined.append(found)
        explained = self._discount(content, evidence)
        findings.released += self._explained_sets(found, explained)

    def _indistinguishable(self, evidence: _Evidence) -> frozenset[bytes]:
        """Return the content that the same crashes speak against.

        Reports of an entry may be missing, so that half the score suffices.
        """
        return frozenset(
            other
            for other in evidence.companions
            if other in self._evidence
            and 2 * self._evidence[other].score >= evidence.score
        )

    def _explained_sets(
        self, found: frozenset[bytes], explained: set[bytes]
    ) -> list[frozenset[bytes]]:
        """Return the sets held back on evidence that has been explained."""
        return [
            held_back
            for held_back, _ in self._quarantine.entries()
            if held_back <= explained and held_back != found
        ]

    def _discount(self, found: bytes, explanation: _Evidence) -> set[bytes]:
        """Drop crashes that content at fault explains from other evidence.

        Content with more evidence may be at fault itself. Return the content
        that may no longer be held back.
        """
        weight = explanation.weight
        explained: set[bytes] = set()
        for content in list(self._evidence):
            evidence = self._evidence[content]
            crashes = evidence.crashes
            shared = explanation.crashes.keys() & crashes.keys()
            if not shared or evidence.weight > weight:
                continue
            if content == found or evidence.is_equal(explanation):
                continue
            was_at_fault = evidence.score >= QUARANTINE_SCORE
            for process in shared:
                del crashes[process]
            if was_at_fault and evidence.score < QUARANTINE_SCORE:
                explained.add(content)
            if not crashes:
                del self._evidence[content]
        return explained

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

    def _confirm(self, process: _Process) -> Findings:
        """Count the broken requests of a process that is lost."""
        if process.lost_ms is None:
            return Findings()
        broken, process.broken = process.broken, []
        counted: set[bytes] = set()
        for request in broken:
            if abs(process.lost_ms - request.at_ms) <= CONFIRMATION_MS:
                counted |= self._count(request)
        findings = Findings()
        for content in counted:
            self._examine(content, findings)
        return findings

    def _examine(self, content: bytes, findings: Findings) -> None:
        """Ask for proofs, or make the content a candidate."""
        evidence = self._evidence.get(content)
        if evidence is None:
            return
        score = evidence.score
        if score >= WATCH_SCORE and evidence.watched_ms is None:
            evidence.watched_ms = self._clock.now_ms()
            findings.watches.append(Watch(content, evidence.since_ms))
        if score >= QUARANTINE_SCORE:
            self._candidates.add(content)
            findings.is_decision_due = True

    def _count(
        self, request: broken_request.BrokenRequest
    ) -> frozenset[bytes]:
        """Count a crash for the content of a request; return that content."""
        fingerprints = request.fingerprints
        explained = self._quarantine.match(fingerprints.all)
        counted = explained or fingerprints.all
        for content in counted:
            if request.at_ms < self._proven_ms.get(content, request.at_ms):
                continue
            is_strong = request.is_at_begin or content == fingerprints.request
            weight = STRONG_WEIGHT if is_strong else WEAK_WEIGHT
            self._evidence_for(content, request).add(
                request.process,
                _Crash(request.at_ms, weight),
                fingerprints.all,
            )
        return counted

    def _evidence_for(
        self, content: bytes, request: broken_request.BrokenRequest
    ) -> _Evidence:
        evidence = self._evidence.get(content)
        age_ms = request.at_ms - evidence.since_ms if evidence else 0
        if evidence is None or age_ms > EVIDENCE_MS:
            if len(self._evidence) >= MAX_CONTENTS:
                self._drop_weak_evidence()
            evidence = _Evidence(request.fingerprints.all, request.at_ms)
            self._evidence[content] = evidence
        return evidence

    def _drop_weak_evidence(self) -> None:
        """Keep the content with several crashes, if that is not too much."""
        kept = {
            content: evidence
            for content, evidence in self._evidence.items()
            if evidence.score >= WATCH_SCORE
        }
        self._evidence = kept if len(kept) < MAX_CONTENTS // 2 else {}
