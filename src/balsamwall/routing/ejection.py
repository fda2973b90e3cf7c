"""Ejection of replicas after consecutive failures."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.routing import replica_view
    from balsamwall.timing import clock as clock_module

FAILURES_TO_EJECT = 5
FIRST_EJECTION_MS = 10_000
MAX_EJECTION_MS = 60_000
MAX_EJECTED_SHARE = 3  # at most one in this many replicas of a name


class Ejection:
    """Replicas that get no requests for some time after failures."""

    __slots__ = ("_clock", "_lengths_ms", "_until_ms", "_view")

    def __init__(
        self, clock: clock_module.Clock, view: replica_view.ReplicaView
    ) -> None:
        self._clock = clock
        self._view = view
        self._until_ms: dict[str, int] = {}
        self._lengths_ms: dict[str, int] = {}

    def is_ejected(self, peer: str) -> bool:
        """Tell whether an agent is ejected now."""
        until_ms = self._until_ms.get(peer)
        return until_ms is not None and self._clock.now_ms() < until_ms

    def returned_ms(self, peer: str) -> int:
        """Return when the last ejection of an agent ended, or 0."""
        return self._until_ms.get(peer, 0)

    def on_success(self, peer: str) -> None:
        """Reset the failures of an agent."""
        known = self._view.get(peer)
        if known is not None:
            known.failures = 0
        self._lengths_ms.pop(peer, None)

    def on_failure(self, peer: str) -> bool:
        """Count a failure; return True if the agent is ejected by it."""
        known = self._view.get(peer)
        if known is None or self.is_ejected(peer):
            return False
        known.failures += 1
        if known.failures < FAILURES_TO_EJECT:
            return False
        if not self._is_allowed(known.names):
            return False
        known.failures = 0
        length_ms = self._lengths_ms.get(peer, FIRST_EJECTION_MS)
        self._until_ms[peer] = self._clock.now_ms() + length_ms
        self._lengths_ms[peer] = min(MAX_EJECTION_MS, 2 * length_ms)
        return True

    def forget(self, peer: str) -> None:
        """Drop what is known of an agent after its incarnation ended."""
        self._until_ms.pop(peer, None)
        self._lengths_ms.pop(peer, None)

    def _is_allowed(self, names: frozenset[str]) -> bool:
        ejected = [peer for peer in self._until_ms if self.is_ejected(peer)]
        for name in names:
            holders = self._view.ready_replicas(name)
            out = sum(1 for peer in ejected if peer in holders)
            if (out + 1) * MAX_EJECTED_SHARE > len(holders):
                return False
        return True
