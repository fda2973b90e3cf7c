"""Error bodies in the format that OpenAI clients read."""

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


# Errors of the request itself, whatever the outcome of an earlier attempt.
_REQUEST_ERRORS = frozenset(
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
    """Encode an error as JSON.

    With an idempotency key from the caller, an earlier attempt may have run
    although this one was refused. Only an error from the home of the key
    (scope "key") knows the outcome of all attempts; for others the body
    reports "ran" as unknown.
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
        and code not in _REQUEST_ERRORS
    )
    if is_uncertain:
        error["ran"] = result_code.ExecutionState.UNKNOWN.value
        error["attempt_ran"] = code.ran.value
        error["repeat"] = result_code.RetryAdvice.SAME_KEY.value
    return json.dumps({"error": error}).encode()


def encode_event(
    code: result_code.ResultCode, message: str, scope: str = "attempt"
) -> bytes:
    """Encode an error as a server-sent event."""
    return b"event: error\ndata: " + encode(code, message, scope) + b"\n\n"


def retry_after_s(retry_after_ms: int) -> str:
    """Return a Retry-After value: seconds, rounded up, at least 1."""
    return str(max(1, -(-retry_after_ms // 1_000)))
