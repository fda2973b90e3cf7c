"""Define a validated request of a caller and the listener to its answer."""

from __future__ import annotations

import dataclasses
from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.results import result_code


@dataclasses.dataclass(slots=True, frozen=True)
class CallerRequest:
    """Hold a validated request.

    The deadlines are on the entry's monotonic clock.
    """

    request_id: str
    tenant: str
    workspace: str
    kind: str  # "model" or "service"
    target: str
    base: str  # base model of an adapter, else equal to target
    path: str
    headers: dict[str, str]
    body: bytes
    is_urgent: bool
    is_repeatable: bool
    is_streamed: bool
    deadline_ms: int
    first_token_deadline_ms: int
    prompt_tokens: int
    max_output_tokens: int
    idempotency_key: str
    fingerprint: bytes
    prefix_hashes: tuple[int, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerEnd:
    """Hold the status, headers and size of a complete answer."""

    http_status: int
    headers: dict[str, str]
    total_bytes: int
    output_tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerFailure:
    """Describe the final failure of a request."""

    code: result_code.ResultCode
    detail: str
    retry_after_ms: int = 0
    scope: str = "attempt"  # "key" or "attempt"


class AnswerListener(Protocol):
    """Receive an answer: chunks in order, then one end or failure."""

    def on_chunk(self, data: bytes) -> None:
        """Receive the next part of the answer."""

    def on_end(self, end: AnswerEnd) -> None:
        """Receive the end, after its size and digest were verified."""

    def on_failure(self, failure: AnswerFailure) -> None:
        """Receive the final failure."""
