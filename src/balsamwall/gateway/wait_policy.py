"""Decision how long a request waits and when a refused caller returns."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

# Percentage of a caller's patience that a request waits in all; then the
# caller is told when to come back instead.
MAX_WAIT_PERCENT = 70
# Percentage of the patience in which a load must have been planned.
MAX_UNPLANNED_WAIT_PERCENT = 25
# Time by which a load may be later than it was expected.
LOAD_DELAY_TOLERANCE_MS = 400
# Time after which a caller returns when no load is planned.
UNPLANNED_RETRY_AFTER_MS = 1_500
MIN_RETRY_AFTER_MS = 200
# Callers that are refused together return over a time that is longer by this
# share, so that they don't meet at the engine.
RETRY_AFTER_JITTER = 0.5


class WaitPolicy:
    """Waits only for what is on its way, and refuses the rest at once.

    Load pattern: more models are asked for than the engines hold, and queues
    that are longer than callers wait. A caller that is refused early returns
    when the model is there; one that is held until it leaves is lost.
    """

    __slots__ = ("_random",)

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source

    def max_wait_ms(self, caller_timeout_ms: int) -> int:
        """Return the time that a request waits at most."""
        return caller_timeout_ms * MAX_WAIT_PERCENT // 100

    def model_wait_ms(
        self, caller_timeout_ms: int, waited_ms: int, expected_ms: int | None
    ) -> int:
        """Return how much longer a request waits for a load, 0 to refuse."""
        max_wait_ms = self.max_wait_ms(caller_timeout_ms)
        if expected_ms is None:
            limit_ms = caller_timeout_ms * MAX_UNPLANNED_WAIT_PERCENT // 100
        elif waited_ms + expected_ms > max_wait_ms:
            limit_ms = 0
        else:
            limit_ms = min(
                max_wait_ms, waited_ms + expected_ms + LOAD_DELAY_TOLERANCE_MS
            )
        return max(0, limit_ms - waited_ms)

    def is_queue_too_long(
        self, caller_timeout_ms: int, expected_ms: int
    ) -> bool:
        """Tell whether a caller would leave before its request is sent."""
        return expected_ms > self.max_wait_ms(caller_timeout_ms)

    def retry_after_ms(self, expected_ms: int | None) -> int:
        """Return the time after which a refused caller should return."""
        base_ms = (
            UNPLANNED_RETRY_AFTER_MS if expected_ms is None else expected_ms
        )
        spread = 1.0 + RETRY_AFTER_JITTER * self._random.random()
        return int(max(MIN_RETRY_AFTER_MS, base_ms) * spread)
