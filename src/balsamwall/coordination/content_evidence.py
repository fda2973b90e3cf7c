"""Hold the crashes that speak against one content of requests."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
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
ROUND_MS = 300
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
    def is_at_fault(self) -> bool:
        """Return whether the evidence suffices to hold the content back."""
        if self.is_familiar:
            return self.score >= FAMILIAR_QUARANTINE_SCORE
        return self.score >= QUARANTINE_SCORE

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
        if known is None or known.rank < crash.rank:
            self.crashes[process] = crash
