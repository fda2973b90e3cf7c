"""Messages about requests in progress."""

from __future__ import annotations

from balsamwall.protocol import message


@message.register(10)
class Dispatch(message.Message):
    """Assign a request to one incarnation of an agent.

    The deadline is sent as the remaining time, so that the clocks of VMs
    need not be synchronized.
    """

    request_id: str
    attempt: int
    incarnation: int
    tenant: str
    workspace: str
    kind: str  # "model" or "service"
    target: str  # model, adapter or service name
    path: str  # on the backend server
    headers: dict[str, str]
    body: bytes
    is_urgent: bool
    is_repeatable: bool
    is_streamed: bool
    remaining_ms: int
    prompt_tokens: int
    max_output_tokens: int
    idempotency_key: str  # empty if the request has none
    fingerprint: bytes


@message.register(11)
class Accepted(message.Message):
    """Confirm that the agent is responsible for an attempt."""

    request_id: str
    attempt: int
    queue_length: int


@message.register(12)
class Refused(message.Message):
    """Guarantee that an attempt was not executed and will not be."""

    request_id: str
    attempt: int
    code: int
    scope: str  # "key" or "attempt"
    retry_after_ms: int
    detail: str


@message.register(13)
class Chunk(message.Message):
    """Carry a part of a response at a byte offset."""

    request_id: str
    attempt: int
    offset: int
    data: bytes


@message.register(14)
class End(message.Message):
    """Complete a response; its length and digest detect lost chunks."""

    request_id: str
    attempt: int
    total_bytes: int
    http_status: int
    headers: dict[str, str]
    output_tokens: int
    digest: bytes


@message.register(15)
class Failed(message.Message):
    """Report that an accepted attempt ended without a complete response."""

    request_id: str
    attempt: int
    code: int
    retry_after_ms: int
    detail: str


@message.register(16)
class Ack(message.Message):
    """Acknowledge the bytes of a response before an offset."""

    request_id: str
    attempt: int
    offset: int


@message.register(17)
class Reattach(message.Message):
    """Request the rest of a response from an offset after a reconnect."""

    request_id: str
    attempt: int
    incarnation: int
    offset: int


@message.register(18)
class Cancel(message.Message):
    """Stop an attempt, or bar one that has not arrived from execution."""

    request_id: str
    attempt: int
    incarnation: int


@message.register(19)
class Cancelled(message.Message):
    """Acknowledge a cancel; `ran` false guarantees no execution."""

    request_id: str
    attempt: int
    ran: bool
