"""Failure answers of the gateway itself."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.gateway import caller_exchange
    from balsamwall.results import result_code

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
    if code.http_status in (429, 503):
        seconds = f"{retry_after_ms / 1_000:.2f}"
        fields.append((b"retry-after", seconds.encode()))
    exchange.begin(code.http_status, fields, len(body))
    exchange.write(body)
    exchange.finish()
