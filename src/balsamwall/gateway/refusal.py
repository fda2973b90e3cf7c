"""Write the error responses that the gateway produces itself."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from balsamwall.results import result_code

if TYPE_CHECKING:
    from balsamwall.gateway import caller_exchange
    from balsamwall.gateway import http_fields

# A quarantined request has not run. Status 503 guarantees this to the caller;
# the usual status of the code does not.
STATUS_OF_QUARANTINED = 503
RETRY_AFTER = b"retry-after"
# Default Retry-After time, used if the gateway has no estimate of the wait.
RETRY_AFTER_MS = 500


class RefusalError(Exception):
    """Request that must not be served, with the result code to respond."""

    def __init__(self, code: result_code.ResultCode, detail: str) -> None:
        super().__init__(detail)
        self.code = code


def with_retry_after(
    fields: http_fields.Fields, retry_after_ms: int
) -> http_fields.Fields:
    """Return response fields with this Retry-After time only."""
    seconds = f"{retry_after_ms / 1_000:.2f}"
    others = [field for field in fields if field[0] != RETRY_AFTER]
    return [*others, (RETRY_AFTER, seconds.encode())]


def write(
    connection: caller_exchange.ResponseConnection,
    code: result_code.ResultCode,
    detail: str,
    retry_after_ms: int = RETRY_AFTER_MS,
) -> int:
    """Write a JSON error response; return its status."""
    body = json.dumps(
        {"error": {"code": code.number, "name": code.name, "detail": detail}}
    ).encode()
    fields = [(b"content-type", b"application/json")]
    status = code.http_status
    if code is result_code.ResultCode.QUARANTINED:
        status = STATUS_OF_QUARANTINED
    if status in (429, 503):
        fields = with_retry_after(fields, retry_after_ms)
    if status == 401:
        # RFC 9110 requires the scheme to use in a response with this status.
        fields.append((b"www-authenticate", b"Bearer"))
    connection.begin(status, fields, len(body))
    connection.write(body)
    connection.finish()
    return status
