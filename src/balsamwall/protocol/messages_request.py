"""Messages of requests in progress."""

from __future__ import annotations

from balsamwall.protocol import message


@message.register(10)
class Dispatch(message.Message):
    """Give a request to one incarnation of an agent.

    Times are in milliseconds. The deadline is relative, so that clocks of
    different VMs need not agree.
    """

    request_id: str
    attempt: int
    incarnation: int
    tenant: str
    workspace: str
    kind: str  # "model" or "service"
    target: str  # model, adapter or service name
    path: str  # path at the backend server
    headers: dict[str, str]
    body: bytes
    is_urgent: bool
    is_repeatable: bool
    is_streamed: bool
    remaining_ms: int
    prompt_tokens: int
    max_output_tokens: int
    idempotency_key: str  # empty without one
    fingerprint: bytes


@message.register(11)
class Accepted(message.Message):
    """Tell that the agent has taken responsibility for an attempt."""

    request_id: str
    attempt: int
    queue_length: int


@message.register(12)
class Refused(message.Message):
    """Certify that an attempt was not and will not be run."""

    request_id: str
    attempt: int
    code: int
    scope: str  # "key" or "attempt"
    retry_after_ms: int
    detail: str


@message.register(13)
class Chunk(message.Message):
    """Carry a part of an answer at a byte offset."""

    request_id: str
    attempt: int
    offset: int
    data: bytes


@message.register(14)
class End(message.Message):
    """Close an answer with its total length in bytes."""

    request_id: str
    attempt: int
    total_bytes: int
    http_status: int
    headers: dict[str, str]
    output_tokens: int
    digest: bytes


@message.register(15)
class Failed(message.Message):
    """Tell that an accepted attempt ended without a whole answer."""

    request_id: str
    attempt: int
    code: int
    retry_after_ms: int
    detail: str


@message.register(16)
class Ack(message.Message):
    """Acknowledge an answer up to an offset."""

    request_id: str
    attempt: int
    offset: int


@message.register(17)
class Reattach(message.Message):
    """Ask for the rest of an answer from an offset."""

    request_id: str
    attempt: int
    incarnation: int
    offset: int


@message.register(18)
class Cancel(message.Message):
    """Ask to stop an attempt, or to record it as never to be run."""

    request_id: str
    attempt: int
    incarnation: int


@message.register(19)
class Cancelled(message.Message):
    """Answer a cancel; not run is certified."""

    request_id: str
    attempt: int
    ran: bool
