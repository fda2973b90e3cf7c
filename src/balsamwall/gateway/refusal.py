"""Failure answers of the gateway itself."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from balsamwall.results import result_code

if TYPE_CHECKING:
    from balsamwall.gateway import caller_exchange

# A caller that repeats such a request must get a promise that it has not run,
# while other statuses promise nothing.
STATUS_OF_QUARANTINED = 503
# Time after which a refused caller may come back when nothing better is known.
RETRY_AFTER_MS = 500


def write(
    exchange: caller_exchange.CallerExchange,
    code: result_code.ResultCode,
    detail: str,
    retry_after_ms: int = RETRY_AFTER_MS,
) -> None:
    """Answer with the status of a result code."""
    body = json.dumps(
        {"error": {"code": code.number, "name": code.name, "detail": detail}}
    ).encode()
    fields = [(b"content-type", b"application/json")]
    status = code.http_status
    if code is result_code.ResultCode.QUARANTINED:
        status = STATUS_OF_QUARANTINED
    if status in (429, 503):
        seconds = f"{retry_after_ms / 1_000:.2f}"
        fields.append((b"retry-after", seconds.encode()))
    exchange.begin(status, fields, len(body))
    exchange.write(body)
    exchange.finish()
