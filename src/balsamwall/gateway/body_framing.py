"""Determine how the end of a response body is marked."""

from __future__ import annotations

import enum

from balsamwall.gateway import http_fields


class BodyFraming(enum.Enum):
    """State what marks the end of a body."""

    LENGTH = "length"
    CHUNKED = "chunked"
    # The end of the connection; a server that crashes may end it in the same
    # way as after a complete body.
    CLOSE = "close"
    NO_BODY = "no_body"


def of_response(
    method: bytes, status: int, fields: http_fields.Fields
) -> BodyFraming:
    """Return the framing of a final response to a request."""
    if method == b"HEAD" or status in (204, 304):
        return BodyFraming.NO_BODY
    if http_fields.value(fields, b"transfer-encoding") is not None:
        return BodyFraming.CHUNKED
    if http_fields.value(fields, b"content-length") is not None:
        return BodyFraming.LENGTH
    return BodyFraming.CLOSE
