"""Eject replicas after consecutive failures."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.routing import replica_view
    from balsamwall.timing import clock as clock_module

# Consecutive failures after which a replica is ejected.
FAILURES_TO_EJECT = 5
FIRST_EJECTION_MS = 10_000
MAX_EJECTION_MS = 60_000
# At most one in this many replicas of a name is ejected at a time.
MIN_REPLICAS_PER_EJECTION = 3


class Ejection:
    """Eject replicas after consecutive failures, for a growing time.

    Each ejection lasts twice as long as the one before, up to
    `MAX_EJECTION_MS`; a success resets the duration.
    """

    __slots__ = ("_clock", "_durations_ms", "_until_ms", "_view")

    def __init__(
        self, clock: clock_module.Clock, view: replica_view.ReplicaView
    ) -> None:
        self._clock = clock
        self._view = view
        self._until_ms: dict[str, int] = {}
        self._durations_ms: dict[str, int] = {}

    def is_ejected(self, peer: str) -> bool:
        """Return whether an agent is currently ejected."""
        until_ms = self._until_ms.get(peer)
        return until_ms is not None and self._clock.now_ms() < until_ms

    def last_ended_ms(self, peer: str) -> int:
        """Return when the last ejection of an agent ends or ended, or 0."""
        return self._until_ms.get(peer, 0)

    def on_success(self, peer: str) -> None:
        """Reset the failure count and the ejection duration of an agent."""
        replica = self._view.get(peer)
        if replica is not None:
            replica.failures = 0
        self._durations_ms.pop(peer, None)

    def on_failure(self, peer: str) -> bool:
        """Count a failure; return whether it caused an ejection.

        Failures of an unknown or ejected agent are not counted.
        """
        replica = self._view.get(peer)
        if replica is None or self.is_ejected(peer):
            return False
        replica.failures += 1
        if replica.failures < FAILURES_TO_EJECT:
            return False
        if not self._may_eject(replica.names):
            return False
        replica.failures = 0
        duration_ms = self._durations_ms.get(peer, FIRST_EJECTION_MS)
        self._until_ms[peer] = self._clock.now_ms() + duration_ms
        self._durations_ms[peer] = min(MAX_EJECTION_MS, 2 * duration_ms)
        return True

    def forget(self, peer: str) -> None:
        """Remove the ejection state of an agent.

        It belongs to an incarnation that has ended or to a deleted VM.
        """
        self._until_ms.pop(peer, None)
        self._durations_ms.pop(peer, None)

    def _may_eject(self, names: frozenset[str]) -> bool:
        ejected = [peer for peer in self._until_ms if self.is_ejected(peer)]
        for name in names:
            replicas = self._view.ready_replicas(name)
            ejected_count = sum(1 for peer in ejected if peer in replicas)
            if (ejected_count + 1) * MIN_REPLICAS_PER_EJECTION > len(replicas):
                return False
        return True
