"""What callers asked and saw, and what backend servers ran."""

from __future__ import annotations

import dataclasses
import enum
import time


def now_ms() -> int:
    """Return the time of a clock that no fault disturbs."""
    return time.monotonic_ns() // 1_000_000


class Kind(enum.Enum):
    """Kinds of requests, each with a route of its own."""

    READ = "read"  # idempotent
    PLACE = "place"  # runs once at most
    LIVE = "live"  # a stream that can't be resumed
    NIGHT = "night"  # a stream that can be resumed


STREAMS = (Kind.LIVE, Kind.NIGHT)


@dataclasses.dataclass(slots=True)
class Answer:
    """What a caller saw of an answer."""

    status: int = 0
    signature: str = ""
    request_id: str = ""
    body: bytes = b""
    is_complete: bool = False


@dataclasses.dataclass(slots=True)
class Ask:
    """One attempt of a caller."""

    request_id: str
    kind: Kind
    entry: str
    sent_ms: int
    events: int = 0  # events of a whole stream
    is_abandoned: bool = False
    has_no_end: bool = False  # neither an end nor a cut in the caller's time
    answer: Answer | None = None
    over_ms: int | None = None
    deadline_ms: int = 0

    @property
    def duration_ms(self) -> int:
        """Return the time to the end, or to the cut."""
        return (self.over_ms or self.sent_ms) - self.sent_ms


@dataclasses.dataclass(slots=True)
class Run:
    """One run of a request at a backend server."""

    server_id: str
    begun_ms: int


class Ledger:
    """All attempts and runs of one soak."""

    __slots__ = ("asks", "runs", "stray_answers")

    def __init__(self) -> None:
        # Entries that sent bytes on a connection without a request.
        self.stray_answers: list[str] = []
        self.asks: dict[str, Ask] = {}
        self.runs: dict[str, list[Run]] = {}

    def begin(self, ask: Ask) -> None:
        """Record an attempt that is about to be sent."""
        self.asks[ask.request_id] = ask

    def on_run(self, request_id: str, run: Run) -> None:
        """Record the begin of a run."""
        self.runs.setdefault(request_id, []).append(run)


def expected_body(request_id: str) -> bytes:
    """Return the body of a whole answer that is no stream."""
    return (request_id * 40).encode()


def event(request_id: str, number: int) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: {request_id}-{number}\n\n".encode()
