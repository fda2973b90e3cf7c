"""Decide which content of requests crashes servers.

The load pattern: requests that have one part in common come at any entry, and
each crashes the server that begins a response to it, beside sound requests
that share the other parts and break with the server.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from balsamwall.coordination import content_evidence

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamwall.gateway import broken_request
    from balsamwall.gateway import quarantine as quarantine_module
    from balsamwall.timing import clock as clock_module

# A broken response and the loss of its server are one crash if they are
# reported within this time. A server's record expires within 4 s.
CONFIRMATION_MS = 6_000
# The entries are asked for proofs from this sum of weights on.
WATCH_SCORE = 3
# Delay of a decision, for proofs and for reports of other entries on the same
# crash, which may speak against other content.
DECISION_DELAY_MS = 200
# Time that the entries have to connect to a new coordinator, and to repeat
# what they have reported to the one before it.
SETTLE_MS = 1_000
# Crashes of one content are counted together for this time.
EVIDENCE_MS = 900_000
# Crashes from which on the evidence against a content is logged.
MIN_TALLY_CRASHES = 2
MAX_CONTENTS = 20_000
MAX_PROCESSES = 500
MAX_BROKEN_PER_PROCESS = 500
# Contents of which an entry that connects is asked for proofs.
MAX_OPEN_WATCHES = 500


class _Process:
    """Hold the broken requests of a server process that may have crashed."""

    __slots__ = ("broken", "lost_ms", "seen_ms")

    def __init__(self, now_ms: int) -> None:
        self.seen_ms = now_ms
        self.lost_ms: int | None = None
        self.broken: list[broken_request.BrokenRequest] = []


@dataclasses.dataclass(slots=True, frozen=True)
class Watch:
    """Ask the entries for a proof of content since a time."""

    content: bytes
    since_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class Tally:
    """Hold what speaks against one content, for logs."""

    content: bytes
    processes: int  # that crashed
    score: int
    is_familiar: bool
    is_proven: bool = False  # whether a proof has just ended the evidence


@dataclasses.dataclass(slots=True)
class Findings:
    """Hold what follows from one report."""

    # Of content that has been on several crashed processes.
    tallies: list[Tally] = dataclasses.field(default_factory=list)

    watches: list[Watch] = dataclasses.field(default_factory=list)
    quarantined: list[frozenset[bytes]] = dataclasses.field(
        default_factory=list
    )
    # Content that was held back and is now explained by other content.
    released: list[frozenset[bytes]] = dataclasses.field(default_factory=list)


class CrashEvidence:
    """Join the reports of all entries and find what crashes servers.

    All requests without a proof on a crashed server are suspects. Content is
    at fault if suspects with it crash three processes, not all at once, and
    no response to it has been proven since the first of them. Sound content
    proves itself meanwhile, as far as it is in use. Where the servers crash
    too fast for a proof, content that was proven before needs twice as much
    evidence. Crashes that are explained by content at fault say nothing of
    other content.

    The entries are first asked for proofs from before the crashes, and then
    for proofs since the first one.
    """

    __slots__ = (
        "_ambiguous",
        "_asked",
        "_candidates",
        "_clock",
        "_evidence",
        "_processes",
        "_proven_ms",
        "_quarantine",
        "_settled_ms",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        quarantine: quarantine_module.Quarantine,
    ) -> None:
        self._clock = clock
        self._quarantine = quarantine
        self._processes: dict[str, _Process] = {}
        self._evidence: dict[bytes, content_evidence.ContentEvidence] = {}
        self._candidates: set[bytes] = set()
        # Content that is held back once it is told from other content.
        self._ambiguous: set[bytes] = set()
        # Content that the entries have been asked for earlier proofs of.
        self._asked: set[bytes] = set()
        # When all entries have had the time to repeat their reports.
        self._settled_ms = 0
        # By fingerprint: reports of broken requests before this are void.
        self._proven_ms: dict[bytes, int] = {}

    @property
    def is_empty(self) -> bool:
        """Return whether there is no evidence against any content."""
        return not self._evidence

    @property
    def is_decision_due(self) -> bool:
        """Return whether to decide after DECISION_DELAY_MS."""
        return bool(self._candidates or self._asked)

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

    def restart(self) -> Findings:
        """Ask for all proofs again, at the start of a term.

        Proofs of the time between two terms went to another coordinator.
        """
        self._settled_ms = self._clock.now_ms() + SETTLE_MS
        findings = Findings()
        for content, evidence in self._evidence.items():
            evidence.asked_ms = evidence.watched_ms = None
            self._examine(content, findings)
        return findings

    def open_watches(self) -> list[Watch]:
        """Return what an entry that connects is to be asked for."""
        return [
            _watch(content, evidence)
            for content, evidence in self._evidence.items()
            if evidence.asked_ms is not None
        ][-MAX_OPEN_WATCHES:]

    def on_proven(self, fingerprints: frozenset[bytes]) -> frozenset[bytes]:
        """Drop the evidence against content that a server responded to.

        Return the content that has been proven since the first crash.
        """
        now_ms = self._clock.now_ms()
        if len(self._proven_ms) > MAX_CONTENTS:
            self._proven_ms.clear()
        proven = frozenset(
            content
            for content in fingerprints
            if not self._is_earlier_proof(content)
        )
        for content in fingerprints - proven:
            self._evidence[content].is_familiar = True
        for content in proven:
            self._evidence.pop(content, None)
            self._proven_ms[content] = now_ms
        if proven:
            self._candidates |= self._ambiguous
            self._ambiguous.clear()
        return proven

    def _is_earlier_proof(self, content: bytes) -> bool:
        """Return whether a proof may be from before the first crash."""
        evidence = self._evidence.get(content)
        return (
            evidence is not None
            and evidence.asked_ms is not None
            and evidence.watched_ms is None
        )

    def decide(self) -> Findings:
        """Decide on the candidates, those with the most evidence first."""
        findings = Findings()
        if self._clock.now_ms() < self._settled_ms:
            return findings
        self._ask_for_later_proofs(findings)
        candidates, self._candidates = self._candidates, set()
        while candidates:
            content = max(candidates, key=self._rank)
            candidates.discard(content)
            self._judge(content, findings)
        return findings

    def _ask_for_later_proofs(self, findings: Findings) -> None:
        """Ask for proofs since the first crash, which end the evidence."""
        now_ms = self._clock.now_ms()
        for content in list(self._asked):
            evidence = self._evidence.get(content)
            asked_ms = evidence.asked_ms if evidence else None
            if evidence is None or asked_ms is None:
                self._asked.discard(content)
            elif now_ms - asked_ms >= DECISION_DELAY_MS:
                self._asked.discard(content)
                evidence.watched_ms = now_ms
                findings.watches.append(_watch(content, evidence))

    def _rank(self, content: bytes) -> tuple[object, ...]:
        """Return a rank by the evidence and, if equal, by how few it hits.

        A part that is at fault and one that always comes with it have equal
        evidence, but the latter is also in sound requests.
        """
        evidence = self._evidence.get(content)
        if evidence is None:
            return (False,)
        return (
            *evidence.rank,
            -evidence.request_count,
            len(evidence.companions),
            content,
        )

    def _judge(self, content: bytes, findings: Findings) -> None:
        evidence = self._evidence.get(content)
        if evidence is None or not evidence.is_at_fault:
            return
        watched_ms = evidence.watched_ms
        now_ms = self._clock.now_ms()
        if watched_ms is None or now_ms - watched_ms < DECISION_DELAY_MS:
            self._candidates.add(content)
            return
        if self._is_ambiguous(content, evidence):
            self._ambiguous &= self._evidence.keys()
            self._ambiguous.add(content)
            return
        found = self._indistinguishable(evidence)
        findings.quarantined.append(found)
        explained = self._discount(content, evidence)
        findings.released += self._explained_sets(found, explained)

    def _is_ambiguous(
        self, content: bytes, evidence: content_evidence.ContentEvidence
    ) -> bool:
        """Return whether other content may be at fault for all crashes.

        A further crash, or a proof of the other content, decides.
        """
        return not evidence.is_certain and any(
            evidence.is_rivalled_by(other)
            for name, other in self._evidence.items()
            if name not in evidence.companions and not other.is_equal(evidence)
        )

    def _indistinguishable(
        self, evidence: content_evidence.ContentEvidence
    ) -> frozenset[bytes]:
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

    def _discount(
        self, found: bytes, explanation: content_evidence.ContentEvidence
    ) -> set[bytes]:
        """Drop crashes that content at fault explains from other evidence.

        Content with more evidence may be at fault itself. Return the content
        that may no longer be held back.
        """
        explained: set[bytes] = set()
        for content in list(self._evidence):
            evidence = self._evidence[content]
            crashes = evidence.crashes
            shared = explanation.crashes.keys() & crashes.keys()
            if not shared or evidence.rank > explanation.rank:
                continue
            if content == found or evidence.is_equal(explanation):
                continue
            if self._is_part_of(content, explanation):
                continue
            was_at_fault = evidence.is_at_fault
            for process in shared:
                del crashes[process]
            if was_at_fault and not evidence.is_at_fault:
                explained.add(content)
            if not crashes:
                del self._evidence[content]
        return explained

    @staticmethod
    def _is_part_of(
        content: bytes, explanation: content_evidence.ContentEvidence
    ) -> bool:
        """Return whether a part may be what makes a request crash servers.

        Only crashes over a longer time, in which sound parts are proven, tell
        a request from its parts.
        """
        return not explanation.is_certain and content in explanation.companions

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
            findings.tallies += self.tallies([content])
        return findings

    def tallies(
        self, contents: Iterable[bytes], *, is_proven: bool = False
    ) -> list[Tally]:
        """Return the evidence against contents with several crashes."""
        found = []
        for content in contents:
            evidence = self._evidence.get(content)
            if evidence is None or len(evidence.crashes) < MIN_TALLY_CRASHES:
                continue
            found.append(
                Tally(
                    content,
                    len(evidence.crashes),
                    evidence.score,
                    evidence.is_familiar,
                    is_proven,
                )
            )
        return found

    def _examine(self, content: bytes, findings: Findings) -> None:
        """Ask for proofs, or make the content a candidate."""
        evidence = self._evidence.get(content)
        if evidence is None:
            return
        if evidence.score >= WATCH_SCORE and evidence.asked_ms is None:
            evidence.asked_ms = self._clock.now_ms()
            self._asked.add(content)
            findings.watches.append(_watch(content, evidence))
        if evidence.is_at_fault:
            self._candidates.add(content)

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
            is_whole = content == fingerprints.request
            is_strong = request.is_at_begin or is_whole
            weight = (
                content_evidence.STRONG_WEIGHT
                if is_strong
                else content_evidence.WEAK_WEIGHT
            )
            self._evidence_for(content, request).add(
                request.process,
                content_evidence.Crash(
                    request.at_ms,
                    weight,
                    request.is_at_begin,
                    request.sent_ms if is_whole else None,
                ),
                fingerprints,
            )
        return counted

    def _evidence_for(
        self, content: bytes, request: broken_request.BrokenRequest
    ) -> content_evidence.ContentEvidence:
        evidence = self._evidence.get(content)
        age_ms = request.at_ms - evidence.since_ms if evidence else 0
        if evidence is None or age_ms > EVIDENCE_MS:
            if len(self._evidence) >= MAX_CONTENTS:
                self._drop_weak_evidence()
            evidence = content_evidence.ContentEvidence(
                request.fingerprints.all, request.at_ms
            )
            proven_ms = self._proven_ms.get(content)
            evidence.is_familiar = (
                proven_ms is not None
                and request.at_ms - proven_ms <= content_evidence.FAMILIAR_MS
            )
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


def _watch(
    content: bytes, evidence: content_evidence.ContentEvidence
) -> Watch:
    """Return what to ask the entries for now."""
    if evidence.watched_ms is None:
        return Watch(content, evidence.since_ms - content_evidence.FAMILIAR_MS)
    return Watch(content, evidence.since_ms)
