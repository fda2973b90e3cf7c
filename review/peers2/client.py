"""Stand-in of a client."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import os
import time

from review.peers2 import record as record_module
from review.peers2 import wire

_numbers = itertools.count(1)
_BASE = os.urandom(4).hex()


def new_id() -> str:
    """Return an identifier for one attempt."""
    return f"{_BASE}{next(_numbers):08x}"


@dataclasses.dataclass(slots=True)
class Result:
    """Hold what a client saw of one request."""

    request_id: str
    sent_s: float
    ended_s: float
    status: int  # 0 without a whole response
    fields: dict[str, str]
    body: bytes
    failure: str


async def call(
    port: int,
    record: record_module.Record,
    target: str,
    *,
    host: str = "ficu95.example",
    method: str = "POST",
    fields: dict[str, str] | None = None,
    body: bytes = b"x",
    deadline_ms: int = 2_500,
    patience_s: float | None = None,
    request_id: str = "",
) -> Result:
    """Send a request on a new connection; return what comes back."""
    request_id = request_id or new_id()
    head = {
        "Host": host,
        "Balsamwall-Request-Id": request_id,
        "Balsamwall-Deadline-Ms": str(deadline_ms),
        **(fields or {}),
    }
    if method == "GET":
        body = b""
    record.write("sends", request=request_id, target=target, port=port)
    sent_s = time.monotonic()
    found, failure = None, ""
    writer = None
    try:
        async with asyncio.timeout(patience_s or deadline_ms / 1_000 + 1):
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", port, limit=wire.MAX_HEAD_BYTES
            )
            writer.write(wire.request(method, target, head, body))
            found = await wire.read_response(reader)
    except TimeoutError:
        failure = "no answer"
    except (OSError, wire.BrokenError) as error:
        failure = f"{type(error).__name__}: {error}"
    finally:
        if writer is not None:
            writer.close()
    result = Result(
        request_id,
        sent_s,
        time.monotonic(),
        found.status if found else 0,
        found.fields if found else {},
        found.body if found else b"",
        failure,
    )
    record.write(
        "gets",
        request=request_id,
        status=result.status,
        failure=failure,
        after_ms=int(1_000 * (result.ended_s - sent_s)),
    )
    return result
