"""Clients that keep to PROTOCOL.md, and what they saw."""

from __future__ import annotations

import asyncio
import dataclasses
import time
import uuid

import http_wire


@dataclasses.dataclass(slots=True)
class Attempt:
    """One client attempt with its outcome."""

    request_id: str
    entry: str
    target: str
    sent_s: float
    status: int = 0
    ended_s: float | None = None
    is_complete: bool = False
    fields: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    error: str = ""

    @property
    def took_s(self) -> float | None:
        """Return the time to the end of the answer, None without one."""
        return None if self.ended_s is None else self.ended_s - self.sent_s


def new_id() -> str:
    """Return a request id that no other attempt has."""
    return uuid.uuid4().hex[:16]


async def send(
    entry: str,
    port: int,
    target: str,
    method: str = "GET",
    host: str = "desk.example",
    deadline_ms: int = 2_500,
    fields: dict[str, str] | None = None,
    body: bytes = b"",
    give_up_s: float | None = None,
) -> Attempt:
    """Send one attempt on a new connection and read its answer."""
    attempt = Attempt(new_id(), entry, target, time.monotonic())
    rows = [
        f"{method} {target} HTTP/1.1",
        f"Host: {host}",
        f"Balsamwall-Request-Id: {attempt.request_id}",
        f"Balsamwall-Deadline-Ms: {deadline_ms}",
        *(f"{name}: {value}" for name, value in (fields or {}).items()),
    ]
    if body or method == "POST":
        rows.append(f"Content-Length: {len(body)}")
    raw = ("\r\n".join(rows) + "\r\n\r\n").encode() + body
    wait_s = deadline_ms / 1_000 if give_up_s is None else give_up_s
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(wait_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(raw)
            response = await http_wire.read_response(reader)
        attempt.status = response.status
        attempt.fields = response.fields
        attempt.body = response.body
        attempt.is_complete = response.is_complete
    except TimeoutError:
        attempt.error = "no answer in time"
    except (OSError, ValueError, asyncio.IncompleteReadError) as error:
        attempt.error = f"{type(error).__name__}: {error}"
    finally:
        if writer is not None:
            writer.close()
    if attempt.error != "no answer in time":
        attempt.ended_s = time.monotonic()
    return attempt


async def probe(port: int, wait_s: float = 1.0) -> int:
    """Ask for /ready; return the status, 0 without an answer."""
    try:
        async with asyncio.timeout(wait_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            response = await http_wire.read_response(reader)
            writer.close()
            return response.status
    except (TimeoutError, OSError, ValueError, asyncio.IncompleteReadError):
        return 0
