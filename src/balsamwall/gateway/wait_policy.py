"""Limit the wait of requests and set the Retry-After time of refusals."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from balsamwall.gateway import route as route_module

# Longest total wait, in per cent of the caller's timeout. After it, the
# response states when to retry instead.
MAX_WAIT_PERCENT = 70
# Longest wait for a model without a planned load, in per cent of the timeout.
MAX_UNPLANNED_WAIT_PERCENT = 25
# The same for a stream that is bound to a software version. A caller resumes a
# stream a few times only, and then loses what it has received of it.
MAX_BOUND_WAIT_PERCENT = 50
# Time by which a load may exceed its forecast.
LOAD_DELAY_TOLERANCE_MS = 400
# Retry-After time if the expected wait is unknown, as for a model without a
# planned load.
UNPLANNED_RETRY_AFTER_MS = 1_500
MIN_RETRY_AFTER_MS = 200
# Largest random extension of the Retry-After time, as a fraction of it. It
# keeps callers refused together from retrying together.
RETRY_AFTER_JITTER = 0.5


def half_timeout_ms(caller_timeout_ms: int) -> int:
    """Return the wait after which fairly ordered requests are aged."""
    return caller_timeout_ms // 2


class WaitPolicy:
    """Limit waits to loads and queues that finish within the timeout.

    When more models are requested than the engines hold, a caller that is
    refused early with a Retry-After time retries when the model is loaded. One
    that waits until its timeout fails.
    """

    __slots__ = ("_random",)

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source

    def max_wait_ms(self, caller_timeout_ms: int) -> int:
        """Return the longest total wait of a request."""
        return caller_timeout_ms * MAX_WAIT_PERCENT // 100

    def model_wait_ms(
        self,
        caller_timeout_ms: int,
        waited_ms: int,
        expected_ms: int | None,
        *,
        is_bound: bool = False,
    ) -> int:
        """Return how many milliseconds longer to wait, 0 to refuse.

        `expected_ms` is the time until the model is loaded, None if no load is
        planned. `waited_ms` is the time of all waits so far.
        """
        max_wait_ms = self.max_wait_ms(caller_timeout_ms)
        if expected_ms is None:
            percent = (
                MAX_BOUND_WAIT_PERCENT
                if is_bound
                else MAX_UNPLANNED_WAIT_PERCENT
            )
            limit_ms = caller_timeout_ms * percent // 100
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
        """Return whether the expected wait exceeds the longest wait."""
        return expected_ms > self.max_wait_ms(caller_timeout_ms)

    def is_turn_too_late(
        self,
        route: route_module.Route,
        expected_ms: int,
        on_time_ms: int,
        queued_for_ms: int,
    ) -> bool:
        """Return whether a fairly ordered request can't be sent in time.

        `queued_for_ms` is how long the target has had waiting requests without
        a break. A queue of a burst may grow to a wait of half of the caller's
        timeout. In a queue that has lasted for longer than that, the expected
        wait is also limited to `on_time_ms`, the time left to meet the target,
        because a longer queue serves no more requests and makes each of them
        late.
        """
        half_ms = half_timeout_ms(route.caller_timeout_ms)
        if queued_for_ms > half_ms:
            return expected_ms > max(0, min(half_ms, on_time_ms))
        return expected_ms > half_ms

    def retry_after_ms(self, expected_ms: int | None) -> int:
        """Return the Retry-After time for a refused caller.

        `expected_ms` is the expected wait, None if it is unknown.
        """
        base_ms = (
            UNPLANNED_RETRY_AFTER_MS if expected_ms is None else expected_ms
        )
        spread = 1.0 + RETRY_AFTER_JITTER * self._random.random()
        return int(max(MIN_RETRY_AFTER_MS, base_ms) * spread)
