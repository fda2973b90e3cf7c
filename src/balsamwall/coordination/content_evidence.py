"""Hold the crashes that speak against one content of requests."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.gateway import fingerprints

# Weight of a crash for content of a request whose response was at its begin,
# and for the digest of a whole request. Other requests may have waited, or
# their responses may have gone on.
STRONG_WEIGHT = 2
WEAK_WEIGHT = 1
# Content is held back at this sum of weights: after three crashes with strong
# evidence.
QUARANTINE_SCORE = 3 * STRONG_WEIGHT
# Content that servers responded to shortly before the first crash is held
# back at this sum: where the servers crash one after the other, it is in all
# crashes as well, and nothing can prove it meanwhile.
FAMILIAR_QUARANTINE_SCORE = 2 * QUARANTINE_SCORE
FAMILIAR_MS = 60_000
# Servers of a failed availability zone crash together. Crashes count as one
# within this time, in which other servers respond to content that is sound.
# A request that was sent after the last crash has followed it, and counts.
ROUND_MS = 300
# Two entries see one crash, and report it, at times that differ by this much.
SEND_TOLERANCE_MS = 20
# A sound request may be sent again to the same servers as the one at fault.
# One further crash tells them apart.
AMBIGUOUS_EXTRA_SCORE = STRONG_WEIGHT
# Broken requests that are counted for one content. Content in more of them is
# not told apart by their number.
MAX_REQUESTS = 100


@dataclasses.dataclass(slots=True, frozen=True)
class Crash:
    """Hold when a process crashed and how much that says of one content."""

    at_ms: int
    weight: int
    # Whether the response to a request with the content was at its begin.
    is_at_begin: bool
    # First send of the whole request to the process, if the content is one.
    sent_ms: int | None = None

    def merge(self, other: Crash) -> Crash:
        """Return what both reports of the same crash say together."""
        stronger = other if self.rank < other.rank else self
        sends = [
            crash.sent_ms
            for crash in (self, other)
            if crash.sent_ms is not None
        ]
        return dataclasses.replace(stronger, sent_ms=min(sends, default=None))

    @property
    def rank(self) -> tuple[int, bool]:
        """Return a key that is greater for a report that says more."""
        return self.weight, self.is_at_begin


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class Weight:
    """Order the evidence against contents, by its fields in this order."""

    at_begin: float  # share of the crashes with a response at its begin
    score: int
    total: int  # sum of the weights of all crashes


class ContentEvidence:
    """Hold the crashes of one content since its last proof."""

    __slots__ = (
        "_has_strong",
        "_requests",
        "asked_ms",
        "companions",
        "crashes",
        "is_familiar",
        "since_ms",
        "watched_ms",
    )

    def __init__(self, companions: frozenset[bytes], at_ms: int) -> None:
        self.since_ms = at_ms
        # When the entries were asked for proofs from before the crashes, and
        # when for proofs since then.
        self.asked_ms: int | None = None
        self.watched_ms: int | None = None
        # Whether servers responded to the content before the first crash.
        self.is_familiar = False
        # Process and digest of the broken requests with this content.
        self._requests: set[tuple[str, bytes]] = set()
        # By server process.
        self.crashes: dict[str, Crash] = {}
        # Content that was present in each request with this one, as far as
        # the requests are strong evidence, if any is.
        self.companions = companions
        self._has_strong = False

    @property
    def score(self) -> int:
        """Return the sum of weights, one for all crashes of one round.

        A crash begins a round if its request was sent after the one that
        began the round before, or some time after it.
        """
        return self._sum_rounds(_has_followed)

    @property
    def _needed_score(self) -> int:
        """Return the score from which on the content is held back."""
        if self.is_familiar:
            return FAMILIAR_QUARANTINE_SCORE
        return QUARANTINE_SCORE

    @property
    def is_at_fault(self) -> bool:
        """Return whether the evidence suffices to hold the content back."""
        return self.score >= self._needed_score

    @property
    def is_certain(self) -> bool:
        """Return whether it suffices beside other content in all crashes.

        Content that is in crashes over a longer time had the time to be
        proven if it is sound.
        """
        needed = self._needed_score
        return (
            self._sum_rounds(_is_later) >= needed
            or self.score >= needed + AMBIGUOUS_EXTRA_SCORE
        )

    def _sum_rounds(self, begins: Callable[[Crash, Crash], bool]) -> int:
        """Return the sum of the greatest weight of each round.

        `begins` tells whether a crash begins a round after the one that has
        begun the round before.
        """
        total = 0
        weight = 0
        first: Crash | None = None
        for crash in sorted(self.crashes.values(), key=lambda c: c.at_ms):
            if first is None or begins(first, crash):
                total += weight
                weight = 0
                first = crash
            weight = max(weight, crash.weight)
        return total + weight

    def is_rivalled_by(self, other: ContentEvidence) -> bool:
        """Return whether other content was in all crashes as well.

        Scores do not tell them apart, since parts of prompts that crash one
        server after the other count once for all of them.
        """
        if other.is_familiar and not self.is_familiar:
            return False
        return (
            self.crashes.keys() <= other.crashes.keys()
            and self.weight.at_begin <= other.weight.at_begin
        )

    @property
    def weight(self) -> Weight:
        """Return how strong the evidence is.

        Content at fault crashes a server with the request that it begins,
        also while the reports of an entry are missing. Content that comes with
        it, and a sound request that many callers send, is often on the server
        in requests that wait.
        """
        crashes = self.crashes.values()
        at_begin = sum(crash.is_at_begin for crash in crashes)
        total = sum(crash.weight for crash in crashes)
        return Weight(at_begin / max(1, len(crashes)), self.score, total)

    @property
    def rank(self) -> tuple[bool, Weight]:
        """Return a rank by weight, that of familiar content being lower."""
        return not self.is_familiar, self.weight

    @property
    def request_count(self) -> int:
        """Return how many broken requests had this content.

        Of two contents that are in all crashes, the one that is in fewer
        requests is less likely to be there by chance.
        """
        return len(self._requests)

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

    def is_equal(self, other: ContentEvidence) -> bool:
        """Return whether nothing tells two contents apart."""
        return self.companions == other.companions and self.rank == other.rank

    def add(
        self,
        process: str,
        crash: Crash,
        request: fingerprints.RequestFingerprints,
    ) -> None:
        """Count a crash; of several reports the strongest one counts."""
        self._narrow(request.all, crash.weight == STRONG_WEIGHT)
        if len(self._requests) < MAX_REQUESTS:
            self._requests.add((process, request.request))
        known = self.crashes.get(process)
        self.crashes[process] = known.merge(crash) if known else crash


def _is_later(first: Crash, crash: Crash) -> bool:
    """Return whether a crash is not of the same failure of a zone."""
    return crash.at_ms - first.at_ms >= ROUND_MS


def _has_followed(first: Crash, crash: Crash) -> bool:
    """Return whether a crash is later, or its request was sent later."""
    if _is_later(first, crash):
        return True
    return (
        crash.sent_ms is not None
        and crash.sent_ms >= first.at_ms - SEND_TOLERANCE_MS
    )
