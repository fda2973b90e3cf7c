"""Check whether the body of a request may be read, by its head."""

from __future__ import annotations

import dataclasses

from balsamwall.gateway import http_fields


@dataclasses.dataclass(slots=True, frozen=True)
class Fault:
    """Hold the status and the reason of a rejection."""

    status: int
    reason: str


def find_fault(
    fields: http_fields.Fields, version: bytes, max_body_bytes: int
) -> Fault | None:
    """Return why a request must be rejected, None if it may be read."""
    reason = _framing_fault(fields, version)
    if reason:
        return Fault(400, reason)
    length = http_fields.content_length(fields) or 0
    if length > max_body_bytes:
        return Fault(413, f"request body of {length} bytes is too large")
    return None


def _framing_fault(fields: http_fields.Fields, version: bytes) -> str:
    """Return why the framing of a request is ambiguous, or an empty string.

    If the server framed the request differently, it would take a part of the
    body for another request (request smuggling).
    """
    has_length = http_fields.value(fields, b"content-length") is not None
    coding = http_fields.value(fields, b"transfer-encoding")
    if coding is not None and has_length:
        return "both Content-Length and Transfer-Encoding"
    if coding is not None and version != b"1.1":
        return "Transfer-Encoding requires HTTP/1.1"
    if http_fields.is_repeated(fields, b"host"):
        return "more than one Host field"
    return ""
