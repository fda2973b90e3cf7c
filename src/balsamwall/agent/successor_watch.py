"""Detection of a drain that no other process can take over."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from balsamwall.timing import clock as clock_module

CHECK_INTERVAL_MS = 1_000
# Longer than a reconnect, so that a lost connection ends no handover.
ALONE_TIMEOUT_MS = 10_000


class SuccessorWatch:
    """Call back when nobody has been left to hand over to for some time.

    Load pattern: all processes of a tenant are stopped at the same moment.
    Each agent would wait for another one to take its models or records over.
    """

    __slots__ = (
        "_agents",
        "_alone_since_ms",
        "_clock",
        "_entries",
        "_leaving",
        "_on_alone",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        entries: Callable[[], Iterable[str]],
        agents: Callable[[], Iterable[str]],
    ) -> None:
        self._clock = clock
        self._entries = entries
        self._agents = agents
        self._leaving: set[str] = set()
        self._alone_since_ms: int | None = None
        self._on_alone: Callable[[], None] | None = None

    def on_leaving(self, vm: str) -> None:
        """Record that a peer leaves."""
        self._leaving.add(vm)

    def on_peer_up(self, peer: str) -> None:
        """Forget that a peer left; it repeats it if it still does."""
        self._leaving.discard(peer)

    def start(self, on_alone: Callable[[], None]) -> None:
        """Check every CHECK_INTERVAL_MS until the callback."""
        self._on_alone = on_alone
        self._check()

    def _check(self) -> None:
        now_ms = self._clock.now_ms()
        if self._has_successor:
            self._alone_since_ms = None
        elif self._alone_since_ms is None:
            self._alone_since_ms = now_ms
        elif now_ms - self._alone_since_ms >= ALONE_TIMEOUT_MS:
            on_alone, self._on_alone = self._on_alone, None
            if on_alone is not None:
                on_alone()
            return
        self._clock.call_later(CHECK_INTERVAL_MS, self._check)

    @property
    def _has_successor(self) -> bool:
        """Return whether an entry, or an agent that stays, is connected."""
        if any(self._entries()):
            return True
        return any(agent not in self._leaving for agent in self._agents())
