"""Define how the executor uses the records of idempotency keys."""

from __future__ import annotations

import dataclasses
import enum
from typing import Protocol
from typing import TYPE_CHECKING

from balsamwall.results import result_code

if TYPE_CHECKING:
    from collections.abc import Callable


@dataclasses.dataclass(slots=True, frozen=True)
class RecordedAnswer:
    """Hold a complete answer that is kept for resends."""

    http_status: int
    headers: dict[str, str]
    body: bytes


class Admission(enum.Enum):
    """List the decisions about a dispatch with an idempotency key."""

    RUN = "run"
    ATTACH = "attach"  # wait for the running attempt with the same key
    REPLAY = "replay"  # send the recorded answer
    REFUSE = "refuse"


@dataclasses.dataclass(slots=True, frozen=True)
class KeyAdmission:
    """Hold a decision with the details of a refusal or replay."""

    admission: Admission
    code: result_code.ResultCode = result_code.ResultCode.OK
    scope: str = "attempt"
    detail: str = ""
    answer: RecordedAnswer | None = None


class KeyGate(Protocol):
    """Control admission by the idempotency records of an agent."""

    def admit(
        self, service: str, key: str, fingerprint: bytes
    ) -> KeyAdmission:
        """Decide on a dispatch; for RUN, record the key as running."""

    def peek(self, service: str, key: str, fingerprint: bytes) -> KeyAdmission:
        """Decide like `admit`, but record nothing."""

    def call_when_ended(
        self, service: str, key: str, callback: Callable[[], None]
    ) -> None:
        """Call back once when the run of a key ends.

        A new call of `admit` then gives the outcome.
        """

    def complete(self, service: str, key: str, answer: RecordedAnswer) -> None:
        """Record the complete answer to a key."""

    def fail(
        self, service: str, key: str, ran: result_code.ExecutionState
    ) -> None:
        """Record a failed run; after NOT_RUN the key may run again."""
