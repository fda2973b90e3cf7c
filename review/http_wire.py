"""Small HTTP/1.1 reader and writer for stand-ins and clients."""

from __future__ import annotations

import asyncio
import dataclasses
import json
from typing import Any

READ_BYTES = 65_536
MAX_KEPT_BYTES = 16_384


@dataclasses.dataclass(slots=True)
class Request:
    """Hold a request that was read in full."""

    method: str
    target: str
    fields: dict[str, str]
    body: bytes


@dataclasses.dataclass(slots=True)
class Response:
    """Hold a response, and whether its end was marked."""

    status: int
    fields: dict[str, str]
    body: bytes
    is_complete: bool


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    """Read a start line and fields, names in lower case."""
    line = await reader.readline()
    if not line:
        return None
    fields: dict[str, str] = {}
    while True:
        row = (await reader.readline()).decode("latin-1").strip()
        if not row:
            return line.decode("latin-1").strip(), fields
        name, _, value = row.partition(":")
        fields[name.strip().lower()] = value.strip()


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read one request; return None at the end of the connection."""
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    body = b""
    if head[1].get("transfer-encoding", "").lower() == "chunked":
        async for piece in chunks(reader):
            body += piece
    elif "content-length" in head[1]:
        body = await reader.readexactly(int(head[1]["content-length"]))
    return Request(method, target, head[1], body)


async def chunks(reader: asyncio.StreamReader) -> Any:
    """Yield the chunks of a body up to the last one."""
    while True:
        line = await reader.readline()
        if not line.strip():
            raise asyncio.IncompleteReadError(line, None)
        size = int(line.split(b";")[0], 16)
        piece = await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return
        yield piece


async def read_response(reader: asyncio.StreamReader) -> Response:
    """Read one final response; only the begin of a long body is kept."""
    head = await read_head(reader)
    if head is None:
        raise ConnectionResetError("closed without a response")
    status = int(head[0].split(" ")[1])
    fields, body = head[1], b""
    is_complete = True
    try:
        if fields.get("transfer-encoding", "").lower() == "chunked":
            raw, is_complete = await _read_chunked(reader)
            body = _join_chunks(raw)
        elif "content-length" in fields:
            body = await reader.readexactly(int(fields["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError):
        is_complete = False
    return Response(status, fields, body, is_complete)


async def _read_chunked(reader: asyncio.StreamReader) -> tuple[bytes, bool]:
    """Return the raw chunks, and whether the last one has come.

    A long body is read in blocks and not decoded, so that a client with a
    body without end does not slow down the others in its process.
    """
    kept, tail = b"", b""
    while True:
        block = await reader.read(READ_BYTES)
        if not block:
            return kept, False
        if len(kept) < MAX_KEPT_BYTES:
            kept += block
        tail = (tail + block[-16:])[-16:]
        if tail.endswith(b"\r\n0\r\n\r\n"):
            return kept, True


def _join_chunks(raw: bytes) -> bytes:
    """Return the chunks in a raw body, up to the first incomplete one."""
    pieces = []
    while raw:
        line, _, rest = raw.partition(b"\r\n")
        size = int(line.split(b";")[0] or b"0", 16)
        if not size or len(rest) < size + 2:
            break
        pieces.append(rest[:size])
        raw = rest[size + 2 :]
        if len(pieces) > 1_000:
            break
    return b"".join(pieces)


def write_json(
    writer: asyncio.StreamWriter, status: int, body: dict[str, Any]
) -> None:
    """Write a response with a JSON body."""
    raw = json.dumps(body).encode()
    writer.write(
        f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(raw)}\r\n\r\n".encode()
        + raw
    )
