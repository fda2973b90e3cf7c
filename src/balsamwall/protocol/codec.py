"""Message encoding as msgpack arrays: the wire number, then the fields."""

from __future__ import annotations

import msgpack

from balsamwall.protocol import exceptions
from balsamwall.protocol import message
from balsamwall.results import result_code

MAX_FRAME_BYTES = 4 * 1024 * 1024


def encode(item: message.Message) -> bytes:
    """Encode a message without a length prefix.

    Raise ProtocolError if the frame exceeds MAX_FRAME_BYTES.
    """
    values: list[object] = [item.NUMBER]
    values.extend(
        getattr(item, name) for name, _ in message.fields_of(type(item))
    )
    data: bytes = msgpack.packb(values, use_bin_type=True)
    if len(data) > MAX_FRAME_BYTES:
        raise exceptions.ProtocolError(
            f"frame of {len(data)} bytes exceeds {MAX_FRAME_BYTES}",
            result_code.ResultCode.FRAME_TOO_LARGE,
        )
    return data


def decode(data: bytes) -> message.Message:
    """Decode one message and check its field types.

    Raise ProtocolError if the frame is too large or malformed.
    """
    if len(data) > MAX_FRAME_BYTES:
        raise exceptions.ProtocolError(
            f"frame of {len(data)} bytes exceeds {MAX_FRAME_BYTES}",
            result_code.ResultCode.FRAME_TOO_LARGE,
        )
    try:
        values = msgpack.unpackb(data, raw=False, strict_map_key=False)
    except (ValueError, msgpack.UnpackException) as error:
        raise exceptions.ProtocolError(f"invalid msgpack: {error}") from error
    if type(values) is not list or not values:
        raise exceptions.ProtocolError("frame is empty or not a msgpack array")
    message_class = message.lookup(values[0])
    fields = message.fields_of(message_class)
    if len(values) != len(fields) + 1:
        raise exceptions.ProtocolError(
            f"{message_class.__name__}: expected {len(fields)} fields,"
            f" found {len(values) - 1}"
        )
    for (name, expected), value in zip(fields, values[1:], strict=True):
        message.check_value(name, expected, value)
    return message_class(*values[1:])
