"""Error bodies in the shape that OpenAI clients read."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.results import result_code

_TYPES = {
    401: "authentication_error",
    403: "permission_error",
    404: "not_found_error",
    409: "conflict_error",
    429: "rate_limit_error",
}


def encode(
    code: result_code.ResultCode, message: str, scope: str = "attempt"
) -> bytes:
    """Return the JSON body of an error."""
    status = code.http_status
    default = "server_error" if status >= 500 else "invalid_request_error"
    error = {
        "message": message,
        "type": _TYPES.get(status, default),
        "code": code.name.lower(),
        "number": code.number,
        "ran": code.ran.value,
        "repeat": code.repeat.value,
        "scope": scope,
    }
    return json.dumps({"error": error}).encode()


def encode_event(
    code: result_code.ResultCode, message: str, scope: str = "attempt"
) -> bytes:
    """Return the server-sent event of an error."""
    return b"event: error\ndata: " + encode(code, message, scope) + b"\n\n"


def retry_after_s(retry_after_ms: int) -> str:
    """Return the value of Retry-After in whole seconds, rounded up."""
    return str(max(1, -(-retry_after_ms // 1_000)))
