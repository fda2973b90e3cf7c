"""Request of a caller in the terms of the project."""

from __future__ import annotations

import dataclasses
from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.gateway import backend_directory
    from balsamwall.gateway import caller_exchange
    from balsamwall.gateway import http_fields


@dataclasses.dataclass(slots=True, frozen=True)
class PromptPart:
    """Part of a prompt that requests may share."""

    part_id: str
    tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class IncomingRequest:
    """What decisions need to know of a request."""

    attempt_id: bytes  # new for each attempt of a caller
    host: str
    deadline_ms: int | None  # time that the caller waits, from its send
    model: str = ""
    adapter: str = ""
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    shared_parts: tuple[PromptPart, ...] = ()  # in the order of the prompt
    resumes_after: bytes | None = None  # last event that the caller has


@dataclasses.dataclass(slots=True, frozen=True)
class ResponseHead:
    """What decisions need to know of the head of an answer."""

    is_signed: bool
    is_echoed: bool
    is_certified_not_run: bool
    is_encoded: bool
    running: int | None = None  # load that the server reports
    waiting: int | None = None


class RequestCodec(Protocol):
    """Translator between header fields and typed values."""

    @property
    def echo_field(self) -> bytes:
        """Return the field that repeats the attempt in an answer."""

    def decode(self, head: caller_exchange.RequestHead) -> IncomingRequest:
        """Read the fields of a request."""

    def forwarded_fields(
        self, head: caller_exchange.RequestHead
    ) -> http_fields.Fields:
        """Return the fields that go to every backend server."""

    def attempt_fields(
        self,
        record: backend_directory.ServerRecord,
        left_ms: int,
        priority: int | None,
        last_event_id: bytes | None,
    ) -> http_fields.Fields:
        """Return the fields of one send."""

    def decode_response(
        self, fields: http_fields.Fields, attempt_id: bytes
    ) -> ResponseHead:
        """Read the fields of an answer."""

    def response_fields(
        self, fields: http_fields.Fields
    ) -> http_fields.Fields:
        """Return the fields that go to the caller."""
