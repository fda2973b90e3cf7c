"""Length-prefixed framing of a byte stream."""

from __future__ import annotations

from balsamwall.protocol import codec
from balsamwall.protocol import exceptions
from balsamwall.results import result_code

PREFIX_BYTES = 4


def add_prefix(frame: bytes) -> bytes:
    """Prepend the length prefix, a big-endian unsigned integer."""
    return len(frame).to_bytes(PREFIX_BYTES, "big") + frame


class FrameReader:
    """Incremental parser of frames.

    A frame above `max_frame_bytes` is rejected on its prefix, before its body
    is buffered.
    """

    __slots__ = ("_buffer", "_position", "max_frame_bytes")

    def __init__(self, max_frame_bytes: int = codec.MAX_FRAME_BYTES) -> None:
        self.max_frame_bytes = max_frame_bytes
        self._buffer = bytearray()
        self._position = 0

    def feed(self, data: bytes) -> None:
        """Append received bytes to the buffer."""
        if self._position:
            del self._buffer[: self._position]
            self._position = 0
        self._buffer += data

    def next_frame(self) -> bytes | None:
        """Return the next complete frame, or None until more bytes arrive.

        Raise ProtocolError if the frame exceeds the limit.
        """
        start = self._position + PREFIX_BYTES
        if len(self._buffer) < start:
            return None
        size = int.from_bytes(self._buffer[self._position : start], "big")
        if size > self.max_frame_bytes:
            raise exceptions.ProtocolError(
                f"frame of {size} bytes exceeds {self.max_frame_bytes}",
                result_code.ResultCode.FRAME_TOO_LARGE,
            )
        if len(self._buffer) < start + size:
            return None
        self._position = start + size
        return bytes(self._buffer[start : start + size])
