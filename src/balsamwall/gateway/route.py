"""Route of callers' requests to services."""

from __future__ import annotations

import dataclasses
import enum

# Callers leave a stream after a silence of the longest of these.
MIN_CALLER_TIMEOUT_MS = 2_000
CALLER_TIMEOUT_TARGETS = 4
CALLER_TIMEOUT_GAPS = 8


class RequestKind(enum.Enum):
    """What may be repeated of a request."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclasses.dataclass(slots=True, frozen=True)
class Destination:
    """Service that receives a share of a route's requests."""

    service: str
    weight: float


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """Rule that forwards requests of one host and path prefix."""

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_ms: int
    first_response_target_ms: int
    priority: int  # 0 is the most urgent
    destinations: tuple[Destination, ...]
    attempts: int  # backend servers that one attempt of a caller may use
    is_resumable: bool = False
    gap_target_ms: int = 0  # longest pause between events, 0: not stated

    @property
    def is_repeatable(self) -> bool:
        """Tell whether a request may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT or self.is_resumable

    @property
    def caller_timeout_ms(self) -> int:
        """Return how long a caller waits for the first event."""
        if not self.is_stream:
            return self.timeout_ms
        by_target = CALLER_TIMEOUT_TARGETS * self.first_response_target_ms
        by_gap = CALLER_TIMEOUT_GAPS * self.gap_target_ms
        return max(MIN_CALLER_TIMEOUT_MS, by_target, by_gap)

    @property
    def is_stream(self) -> bool:
        """Tell whether the answer is a stream of events."""
        return self.kind is RequestKind.STREAMING
