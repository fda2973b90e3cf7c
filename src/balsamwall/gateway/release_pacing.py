"""Pacing of the requests that waited for the same model."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

# Time that an engine needs for one prompt while it goes on with its streams.
PROMPT_SPACING_MS = 35
# A long backlog is released faster than this spacing, since its first callers
# have waited for the load already.
MAX_SPREAD_MS = 600


class ReleasePacing:
    """Spread released requests over the time in which prompts are prefilled.

    Load pattern: many entries hold requests while a model loads. Prompts that
    reach its engine together pause all streams that run there.
    """

    __slots__ = ("_random",)

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source

    def delays_ms(self, own_count: int, fleet_count: int) -> list[int]:
        """Return the delay of each own request, in ascending order.

        `fleet_count` is the number of requests that all entries hold. Each
        entry draws from the same time, so that their requests mix.
        """
        others = max(own_count, fleet_count) - 1
        spread_ms = min(MAX_SPREAD_MS, others * PROMPT_SPACING_MS)
        delays = [self._random.random() for _ in range(own_count)]
        return sorted(int(spread_ms * delay) for delay in delays)
