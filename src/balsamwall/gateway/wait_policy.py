"""Decision how long a request waits and when a refused caller returns."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

# Percentage of a caller's patience that a request waits in all; then the
# caller is told when to come back instead.
WAIT_PART = 70
# Percentage of the patience in which a load must have been planned.
UNPLANNED_PART = 25
# Time by which a load may be later than it was expected.
LATE_LOAD_MS = 400
# Time after which a caller returns when no load is planned.
UNPLANNED_RETURN_MS = 1_500
MIN_RETURN_MS = 200
# Callers that are refused together return over a time that is longer by this
# share, so that they don't meet at the engine.
RETURN_SPREAD = 0.5


class WaitPolicy:
    """Waits only for what is on its way, and refuses the rest at once.

    Load pattern: more models are asked for than the engines hold, and queues
    that are longer than callers wait. A caller that is refused early returns
    when the model is there; one that is held until it leaves is lost.
    """

    __slots__ = ("_random",)

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source

    def longest_ms(self, patience_ms: int) -> int:
        """Return the time that a request waits at most."""
        return patience_ms * WAIT_PART // 100

    def model_wait_ms(
        self, patience_ms: int, waited_ms: int, due_ms: int | None
    ) -> int:
        """Return how much longer a request waits for a load, 0 to refuse."""
        longest_ms = self.longest_ms(patience_ms)
        if due_ms is None:
            limit_ms = patience_ms * UNPLANNED_PART // 100
        elif waited_ms + due_ms > longest_ms:
            limit_ms = 0
        else:
            limit_ms = min(longest_ms, waited_ms + due_ms + LATE_LOAD_MS)
        return max(0, limit_ms - waited_ms)

    def is_queue_too_long(self, patience_ms: int, expected_ms: int) -> bool:
        """Tell whether a caller would leave before its request is sent."""
        return expected_ms > self.longest_ms(patience_ms)

    def return_ms(self, due_ms: int | None) -> int:
        """Return the time after which a refused caller should return."""
        base_ms = UNPLANNED_RETURN_MS if due_ms is None else due_ms
        spread = 1.0 + RETURN_SPREAD * self._random.random()
        return int(max(MIN_RETURN_MS, base_ms) * spread)
