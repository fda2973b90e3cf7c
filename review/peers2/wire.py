"""Read and write HTTP/1.1 messages on asyncio streams."""

from __future__ import annotations

import asyncio
import dataclasses

MAX_HEAD_BYTES = 65_536


class BrokenError(Exception):
    """Message that ended too early, or that is none."""


@dataclasses.dataclass(slots=True)
class Message:
    """Hold a request or a response."""

    first: list[str]
    fields: dict[str, str]
    body: bytes = b""

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.first[0]

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.first[1]

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.first[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the head of a message, None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise BrokenError("the head is incomplete") from error
        return None
    except (asyncio.LimitOverrunError, ConnectionError) as error:
        raise BrokenError(str(error)) from error
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, content = line.partition(":")
        if name:
            fields[name.strip().lower()] = content.strip()
    return Message(lines[0].split(" ", 2), fields)


async def read_body(
    reader: asyncio.StreamReader, fields: dict[str, str]
) -> bytes:
    """Return the body that the fields announce."""
    try:
        if "chunked" in fields.get("transfer-encoding", ""):
            return await _read_chunks(reader)
        return await reader.readexactly(int(fields.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise BrokenError("the body is incomplete") from error


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    found = b""
    while True:
        line = await reader.readline()
        if not line.endswith(b"\r\n"):
            raise BrokenError("the chunks are incomplete")
        size = int(line.split(b";")[0], 16)
        found += (await reader.readexactly(size + 2))[:-2]
        if size == 0:
            return found


async def read_request(reader: asyncio.StreamReader) -> Message | None:
    """Return a request with its body, None at the end."""
    found = await read_head(reader)
    if found is not None:
        found.body = await read_body(reader, found.fields)
    return found


async def read_response(reader: asyncio.StreamReader) -> Message:
    """Return a whole response; raise BrokenError if it is none."""
    found = await read_head(reader)
    if found is None:
        raise BrokenError("closed without a response")
    found.body = await read_body(reader, found.fields)
    return found


def head(first: str, fields: dict[str, str]) -> bytes:
    """Return the bytes of a head."""
    lines = [first, *(f"{name}: {text}" for name, text in fields.items())]
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


def response(status: int, fields: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a response with a length."""
    fields = {**fields, "Content-Length": str(len(body))}
    return head(f"HTTP/1.1 {status} X", fields) + body


def request(
    method: str, target: str, fields: dict[str, str], body: bytes = b""
) -> bytes:
    """Return the bytes of a request."""
    if body or method != "GET":
        fields = {**fields, "Content-Length": str(len(body))}
    return head(f"{method} {target} HTTP/1.1", fields) + body
