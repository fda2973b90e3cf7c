"""Interface between the executor and the records of idempotency keys."""

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
    """Whole answer that is kept for resends."""

    http_status: int
    headers: dict[str, str]
    body: bytes


class Admission(enum.Enum):
    """Decision about a dispatch that carries an idempotency key."""

    RUN = "run"
    ATTACH = "attach"
    REPLAY = "replay"
    REFUSE = "refuse"


@dataclasses.dataclass(slots=True, frozen=True)
class KeyAdmission:
    """Decision with the facts that the executor needs to carry it out."""

    admission: Admission
    code: result_code.ResultCode = result_code.ResultCode.OK
    scope: str = "attempt"
    detail: str = ""
    answer: RecordedAnswer | None = None


class KeyGate(Protocol):
    """Records of the keys of one home agent."""

    def admit(
        self, service: str, key: str, fingerprint: bytes
    ) -> KeyAdmission:
        """Decide on a dispatch; RUN records the key before it returns."""

    def peek(self, service: str, key: str, fingerprint: bytes) -> KeyAdmission:
        """Decide as admit does, but record nothing."""

    def on_settled(
        self, service: str, key: str, callback: Callable[[], None]
    ) -> None:
        """Call back once when a running key ends; then admit tells more."""

    def complete(self, service: str, key: str, answer: RecordedAnswer) -> None:
        """Record the whole answer of a key."""

    def fail(
        self, service: str, key: str, ran: result_code.ExecutionState
    ) -> None:
        """Record a failed run; NOT_RUN lets the key run later."""
