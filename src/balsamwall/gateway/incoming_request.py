"""Define decoded requests and responses, and their codec."""

from __future__ import annotations

import dataclasses
from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.gateway import backend_directory
    from balsamwall.gateway import caller_exchange
    from balsamwall.gateway import http_fields

# Status (Misdirected Request) that certifies that the request was not run.
WRONG_SERVER_STATUS = 421
# Statuses with which a certificate that the request was not run agrees. With
# another one, such as 200 or 500, the server states that it has run it.
CERTIFIED_STATUSES = frozenset((400, 408, 421, 429, 503))
# Status (Service Unavailable) with which a server may ask for a back-off.
UNAVAILABLE_STATUS = 503


@dataclasses.dataclass(slots=True, frozen=True)
class PromptPart:
    """Describe a part of a prompt that several requests may share."""

    part_id: str
    tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class IncomingRequest:
    """Hold the values of a request that routing and admission use."""

    attempt_id: bytes  # the caller's identifier, new for each of its attempts
    host: str
    deadline_ms: (
        int | None
    )  # timeout of the caller, from the time it sent the request
    model: str = ""
    adapter: str = ""
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    shared_parts: tuple[PromptPart, ...] = ()  # in the order of the prompt
    # Identifier of the last part, which other requests do not share.
    own_part_id: str = ""
    resumes_after: bytes | None = None  # last event that the caller received
    # Attempt of the caller that brought the first event of a stream which this
    # request continues; empty if it names none.
    resumed_attempt_id: bytes = b""
    has_token_usage: bool = False  # whether the caller states its tokens
    # Empty without a bearer key; left out of tracebacks and logs.
    api_key: bytes = dataclasses.field(default=b"", repr=False)


@dataclasses.dataclass(slots=True, frozen=True)
class RetryAfter:
    """Time after which a server accepts requests again."""

    delay_ms: int  # 0 if the value is invalid
    text: str  # as the server states it, shortened


@dataclasses.dataclass(slots=True, frozen=True)
class ResponseHead:
    """Hold the values of a response head that decide on forwarding it."""

    is_signed: bool
    is_echoed: bool
    has_certificate: bool  # that the request was not run
    is_encoded: bool
    running: int | None = None  # running requests that the server reports
    waiting: int | None = None  # queued requests that the server reports
    # Requests per second that the server accepts from all entries together;
    # None if it names no limit.
    limit_per_s: float | None = None
    # How long work takes on the server's VM now, 100 is usual; None if the
    # server does not report it.
    work_time_percent: int | None = None
    # Whether the server announces that it accepts no new requests soon.
    is_leaving: bool = False
    retry_after: RetryAfter | None = None

    @property
    def is_from_server(self) -> bool:
        """Return whether the response is certainly the server's."""
        return self.is_echoed and (self.is_signed or self.has_certificate)

    def certifies_not_run(self, status: int) -> bool:
        """Return whether it proves that its request was not run.

        Without the identifier it may be the refusal of another request.
        """
        if not self.is_echoed:
            return False
        if status == WRONG_SERVER_STATUS:
            return True
        return self.has_certificate and status in CERTIFIED_STATUSES


class RequestCodec(Protocol):
    """Translate between header fields and typed values."""

    @property
    def echo_field(self) -> bytes:
        """Return the name of the response field that echoes the attempt."""

    def decode(self, head: caller_exchange.RequestHead) -> IncomingRequest:
        """Decode the header fields of a request."""

    def forwarded_fields(
        self, head: caller_exchange.RequestHead, has_workspaces: bool
    ) -> http_fields.Fields:
        """Return the caller's fields that are forwarded in every attempt.

        With workspaces, the key of the caller is not forwarded.
        """

    def attempt_fields(
        self,
        record: backend_directory.ServerRecord,
        remaining_ms: int,
        priority: int | None,
        last_event_id: bytes | None,
        workspace: str = "",
    ) -> http_fields.Fields:
        """Return the fields that are specific to one attempt."""

    def decode_response(
        self, fields: http_fields.Fields, attempt_id: bytes
    ) -> ResponseHead:
        """Decode and validate the header fields of a response."""

    def response_fields(
        self, fields: http_fields.Fields
    ) -> http_fields.Fields:
        """Return the response fields that are forwarded to the caller."""
