"""Newest known request rate limit of each backend server."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.timing import clock as clock_module

# A server without a limit is remembered for this time, so that an older
# observation of its limit, which arrives late, is recognised as outdated.
ENDED_LIMIT_MEMORY_MS = 10_000
# A limit is forgotten after this time without any observation. The server has
# probably left.
LIMIT_MEMORY_MS = 600_000


@dataclasses.dataclass(slots=True, frozen=True)
class LimitObservation:
    """Limit of a server process as one of its responses announced it."""

    server_id: str
    started_ms: int  # identifies the process of the server
    # Requests per second from all entries together, None without a limit.
    per_s: float | None
    observed_ms: int  # on the clock of this process

    @property
    def order(self) -> tuple[int, int]:
        """Return a key that is greater for a newer observation."""
        return self.started_ms, self.observed_ms


class LimitBook:
    """Keep the newest observation of each server, whoever has made it."""

    __slots__ = ("_clock", "_newest", "_on_change")

    def __init__(
        self,
        clock: clock_module.Clock,
        on_change: Callable[[LimitObservation, float | None], None],
    ) -> None:
        self._clock = clock
        # It gets the new observation and the limit before it.
        self._on_change = on_change
        self._newest: dict[str, LimitObservation] = {}

    def observe(self, found: LimitObservation) -> bool:
        """Record an observation; return whether it changes the limit.

        An observation older than the newest one is ignored.
        """
        known = self._newest.get(found.server_id)
        if known is not None and found.order < known.order:
            return False
        before = known.per_s if known is not None else None
        if found.per_s is None and known is None:
            return False
        self._newest[found.server_id] = found
        if found.per_s == before:
            return False
        self._on_change(found, before)
        return True

    def newest(self, server_id: str) -> LimitObservation | None:
        """Return the newest observation of a server, if there is one."""
        return self._newest.get(server_id)

    def limit_of(self, server_id: str) -> float | None:
        """Return the limit of a server, or None if it has none."""
        known = self._newest.get(server_id)
        return known.per_s if known is not None else None

    def observations(self) -> list[LimitObservation]:
        """Return all remembered observations and drop outdated ones."""
        for found in list(self._newest.values()):
            if self._is_outdated(found):
                self._forget(found)
        return list(self._newest.values())

    def _forget(self, found: LimitObservation) -> None:
        del self._newest[found.server_id]
        if found.per_s is not None:
            self._on_change(
                dataclasses.replace(found, per_s=None), found.per_s
            )

    def _is_outdated(self, found: LimitObservation) -> bool:
        age_ms = self._clock.now_ms() - found.observed_ms
        if found.per_s is None:
            return age_ms > ENDED_LIMIT_MEMORY_MS
        return age_ms > LIMIT_MEMORY_MS
