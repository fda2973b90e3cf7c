"""Error bodies in the shape that OpenAI clients read."""

from __future__ import annotations

import json

from balsamwall.results import result_code

_TYPES = {
    401: "authentication_error",
    403: "permission_error",
    404: "not_found_error",
    409: "conflict_error",
    429: "rate_limit_error",
}


# These refuse the body of the request whatever became of its key.
_REFUSED_BODIES = frozenset(
    (
        result_code.ResultCode.KEY_CONFLICT,
        result_code.ResultCode.INVALID_IDEMPOTENCY_KEY,
        result_code.ResultCode.MALFORMED_REQUEST,
    )
)


def encode(
    code: result_code.ResultCode,
    message: str,
    scope: str = "attempt",
    has_caller_key: bool = False,
) -> bytes:
    """Return the JSON body of an error.

    With a key of the caller, an earlier attempt may have run although this
    one was refused; only the home of the key can tell (scope "key").
    """
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
    is_uncertain = (
        has_caller_key
        and scope != "key"
        and code.ran is result_code.ExecutionState.NOT_RUN
        and code not in _REFUSED_BODIES
    )
    if is_uncertain:
        error["ran"] = result_code.ExecutionState.UNKNOWN.value
        error["attempt_ran"] = code.ran.value
        error["repeat"] = result_code.RetryAdvice.SAME_KEY.value
    return json.dumps({"error": error}).encode()


def encode_event(
    code: result_code.ResultCode, message: str, scope: str = "attempt"
) -> bytes:
    """Return the server-sent event of an error."""
    return b"event: error\ndata: " + encode(code, message, scope) + b"\n\n"


def retry_after_s(retry_after_ms: int) -> str:
    """Return the value of Retry-After in whole seconds, rounded up."""
    return str(max(1, -(-retry_after_ms // 1_000)))
