"""Record of the requests of callers and the runs at backend servers."""

from __future__ import annotations

import dataclasses
import enum
import time
from typing import Any

# Bytes of an error that are kept for the trace of a violation.
MAX_KEPT_BYTES = 300


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
    retry_after_s: float = 0.0
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
    first_event: int = 1  # more if the request resumes a stream
    resumes: str = ""  # id of the attempt that brought the first event
    follows: str = ""  # id of the attempt that brought the last event
    tries: int = 0  # earlier attempts to resume after the same event
    model: str = ""
    prompt: str = ""  # parts of the prompt, as sent
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
    writer: str  # id of the server process and its software version
    first_event: int = 1
    event_count: int = 0  # events written in full


class Intrusion(enum.IntEnum):
    """State what a server wrote in front of its response to a request.

    The more it looks like the response, the higher it is.
    """

    NONE = 0
    OTHER_REFUSAL = 1  # names another request
    NAMELESS_REFUSAL = 2
    OWN_COPY = 3  # second copy of the refusal of an earlier send


@dataclasses.dataclass(slots=True)
class Arrival:
    """One send of a request that has reached a backend server."""

    request_id: str
    server_id: str
    at_ms: int
    is_reused: bool = False  # sent on a connection that was used before
    has_run: bool = False
    action: str = "served"  # of the server
    intrusion: Intrusion = Intrusion.NONE


@dataclasses.dataclass(slots=True)
class Crash:
    """Crash of a backend server."""

    server_id: str
    at_ms: int
    is_by_content: bool


class Ledger:
    """All requests, runs and crashes of servers of one soak."""

    __slots__ = ("arrivals", "crashes", "requests", "runs", "stray_responses")

    def __init__(self) -> None:
        self.arrivals: dict[str, list[Arrival]] = {}
        self.crashes: list[Crash] = []
        # Entries that sent bytes on a connection without an open request.
        self.stray_responses: list[str] = []
        self.requests: dict[str, Request] = {}
        self.runs: dict[str, list[Run]] = {}

    def add_request(self, request: Request) -> None:
        """Record a request that is about to be sent."""
        self.requests[request.request_id] = request

    def add_arrival(self, arrival: Arrival) -> None:
        """Record a request that has reached a server."""
        self.arrivals.setdefault(arrival.request_id, []).append(arrival)

    def send_counts(self) -> dict[str, int]:
        """Return the number of sends, and of those on new connections."""
        arrivals = [item for found in self.arrivals.values() for item in found]
        new = sum(1 for arrival in arrivals if not arrival.is_reused)
        return {"sends": len(arrivals), "new_connections": new}

    def on_run(self, request_id: str, run: Run) -> None:
        """Record the start of a run."""
        self.runs.setdefault(request_id, []).append(run)

    def rows(self) -> dict[str, Any]:
        """Return what is needed to trace a violation, without bodies of 200.

        Times are of the monotonic clock; `clocks` has it and the wall clock
        of the logs at the same moment, in ms.
        """
        return {
            "clocks": [now_ms(), int(time.time() * 1_000)],
            "crashes": [dataclasses.asdict(crash) for crash in self.crashes],
            "requests": [
                self._row(request) for request in self.requests.values()
            ],
        }

    def _row(self, request: Request) -> dict[str, Any]:
        row = dataclasses.asdict(request) | {"kind": request.kind.value}
        response = request.response
        if response is not None:
            body = b"" if response.status == 200 else response.body
            row["response"]["body"] = body[:MAX_KEPT_BYTES].decode("latin-1")
        runs = self.runs.get(request.request_id, [])
        row["runs"] = [dataclasses.asdict(run) for run in runs]
        row["arrivals"] = [
            dataclasses.asdict(arrival) | {"intrusion": arrival.intrusion.name}
            for arrival in self.arrivals.get(request.request_id, [])
        ]
        return row


def expected_body(request_id: str) -> bytes:
    """Return the complete body of a response that is not a stream."""
    return (request_id * 40).encode()


def event(request_id: str, number: int, writer: str) -> bytes:
    """Return one event of a stream, as a server process writes it."""
    data = f"{request_id}-{number}-{writer}"
    return f"id: {number}\ndata: {data}\n\n".encode()
