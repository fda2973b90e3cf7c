"""Record of the requests of callers and the runs at backend servers."""

from __future__ import annotations

import dataclasses
import enum
import time


def now_ms() -> int:
    """Return the time of the monotonic clock."""
    return time.monotonic_ns() // 1_000_000


class Kind(enum.Enum):
    """Kinds of requests; each has its own route, named by the value."""

    IDEMPOTENT = "read"
    NON_IDEMPOTENT = "place"  # executed at most once
    STREAM = "live"  # not resumable
    RESUMABLE_STREAM = "night"


STREAMS = (Kind.STREAM, Kind.RESUMABLE_STREAM)


@dataclasses.dataclass(slots=True)
class Response:
    """Part of a response that its caller has received."""

    status: int = 0
    signature: str = ""
    request_id: str = ""
    body: bytes = b""
    is_complete: bool = False


@dataclasses.dataclass(slots=True)
class Request:
    """One request of a caller."""

    request_id: str
    kind: Kind
    entry: str
    sent_ms: int
    events: int = 0  # number in a complete stream
    is_poison: bool = False  # crashes the engine that responds to it
    is_abandoned: bool = False
    has_timed_out: bool = False  # no end, close or reset before the timeout
    response: Response | None = None
    finished_ms: int | None = None
    deadline_ms: int = 0
    # Empty if no valid key was sent, None without workspaces.
    api_key: str | None = None

    @property
    def duration_ms(self) -> int:
        """Return the time until the response was complete or interrupted."""
        return (self.finished_ms or self.sent_ms) - self.sent_ms


@dataclasses.dataclass(slots=True)
class Run:
    """One run of a request at a backend server."""

    server_id: str
    started_ms: int


class Ledger:
    """All requests and runs of one soak."""

    __slots__ = ("requests", "runs", "stray_responses")

    def __init__(self) -> None:
        # Entries that sent bytes on a connection without an open request.
        self.stray_responses: list[str] = []
        self.requests: dict[str, Request] = {}
        self.runs: dict[str, list[Run]] = {}

    def add_request(self, request: Request) -> None:
        """Record a request that is about to be sent."""
        self.requests[request.request_id] = request

    def on_run(self, request_id: str, run: Run) -> None:
        """Record the start of a run."""
        self.runs.setdefault(request_id, []).append(run)


def expected_body(request_id: str) -> bytes:
    """Return the complete body of a response that is not a stream."""
    return (request_id * 40).encode()


def event(request_id: str, number: int) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: {request_id}-{number}\n\n".encode()
