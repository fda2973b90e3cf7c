"""Encoding of messages as msgpack arrays."""

from __future__ import annotations

import msgpack

from balsamwall.protocol import exceptions
from balsamwall.protocol import message
from balsamwall.results import result_code

MAX_FRAME_BYTES = 4 * 1024 * 1024


def encode(item: message.Message) -> bytes:
    """Encode a message without its length prefix; raise ProtocolError."""
    row: list[object] = [item.NUMBER]
    row.extend(
        getattr(item, name) for name, _ in message.fields_of(type(item))
    )
    data: bytes = msgpack.packb(row, use_bin_type=True)
    if len(data) > MAX_FRAME_BYTES:
        raise exceptions.ProtocolError(
            f"frame of {len(data)} bytes exceeds {MAX_FRAME_BYTES}",
            result_code.ResultCode.FRAME_TOO_LARGE,
        )
    return data


def decode(data: bytes) -> message.Message:
    """Decode and check one message; raise ProtocolError."""
    if len(data) > MAX_FRAME_BYTES:
        raise exceptions.ProtocolError(
            f"frame of {len(data)} bytes exceeds {MAX_FRAME_BYTES}",
            result_code.ResultCode.FRAME_TOO_LARGE,
        )
    try:
        row = msgpack.unpackb(data, raw=False, strict_map_key=False)
    except (ValueError, msgpack.UnpackException) as error:
        raise exceptions.ProtocolError(f"not msgpack: {error}") from error
    if type(row) is not list or not row:
        raise exceptions.ProtocolError("frame is not a non-empty array")
    cls = message.lookup(row[0])
    fields = message.fields_of(cls)
    if len(row) != len(fields) + 1:
        raise exceptions.ProtocolError(
            f"{cls.__name__}: expected {len(fields)} fields,"
            f" found {len(row) - 1}"
        )
    for (name, expected), value in zip(fields, row[1:], strict=True):
        message.check_value(name, expected, value)
    return cls(*row[1:])
