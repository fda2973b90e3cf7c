"""Define the routes that map requests to services."""

from __future__ import annotations

import dataclasses
import enum

# A caller abandons a stream without events after the longest of this minimum,
# four targets of the first event and eight targets of the gap between events.
MIN_CALLER_TIMEOUT_MS = 2_000
CALLER_TIMEOUT_TARGETS = 4
CALLER_TIMEOUT_GAPS = 8
# Time for the last event to reach the caller, and for the end of the caller's
# connection to come back, before a stream is cut off.
CUT_DELAY_MS = 400


class RequestKind(enum.Enum):
    """State the kind of requests, which decides what may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclasses.dataclass(slots=True, frozen=True)
class Destination:
    """Name a service that receives a weighted share of a route's requests."""

    service: str
    weight: float


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """Describe the route for the requests of one host and path prefix."""

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_ms: int
    first_response_target_ms: int
    priority: int  # 0 is the most urgent
    destinations: tuple[Destination, ...]
    attempts: int  # maximum of executions for one request of a caller
    is_resumable: bool = False
    gap_target_ms: int = 0  # target of the gap between events, 0 if unset
    is_public: bool = False  # whether callers need no key

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request may be executed more than once."""
        return self.kind is RequestKind.IDEMPOTENT or self.is_resumable

    @property
    def caller_timeout_ms(self) -> int:
        """Return how long a caller waits for the first event or response."""
        if not self.is_stream:
            return self.timeout_ms
        by_target = CALLER_TIMEOUT_TARGETS * self.first_response_target_ms
        by_gap = CALLER_TIMEOUT_GAPS * self.gap_target_ms
        return max(MIN_CALLER_TIMEOUT_MS, by_target, by_gap)

    @property
    def event_timeout_ms(self) -> int:
        """Return how long a stream may go on without an event.

        A stream that can be resumed goes on at another server when its caller
        would leave. Any other one is cut off later than that, so that it does
        not end sooner than its caller wants. Without a target of the gap, a
        slow stream can't be told from one that hangs, and only the timeout of
        the route ends it.
        """
        if not self.gap_target_ms:
            return self.timeout_ms
        if self.is_resumable:
            return self.caller_timeout_ms
        return self.caller_timeout_ms + CUT_DELAY_MS

    @property
    def is_stream(self) -> bool:
        """Return whether the response is a stream of events."""
        return self.kind is RequestKind.STREAMING
