"""Assembly of one answer from the chunks of one attempt."""

from __future__ import annotations

import enum
import hashlib
from typing import TYPE_CHECKING

from balsamwall.execution import stream_buffer

if TYPE_CHECKING:
    from balsamwall.protocol import messages_request

ACK_EVERY_BYTES = 4_096


class Verification(enum.Enum):
    """Result of a check of the end of an answer."""

    WHOLE = "whole"
    INCOMPLETE = "incomplete"
    CORRUPT = "corrupt"


class AnswerAssembler:
    """Offset and digest of what was passed to the caller."""

    __slots__ = ("_digest", "_offset", "_unacknowledged")

    def __init__(self) -> None:
        self._offset = 0
        self._unacknowledged = 0
        self._digest = hashlib.blake2b(digest_size=stream_buffer.DIGEST_BYTES)

    @property
    def offset(self) -> int:
        """Return the offset of the next byte."""
        return self._offset

    def take(self, item: messages_request.Chunk) -> bool:
        """Take a chunk at exactly the next offset; return False otherwise."""
        if item.offset != self._offset or not item.data:
            return False
        self._offset += len(item.data)
        self._unacknowledged += len(item.data)
        self._digest.update(item.data)
        return True

    def is_gap(self, item: messages_request.Chunk) -> bool:
        """Tell whether bytes before a chunk are missing."""
        return item.offset > self._offset

    def must_acknowledge(self) -> bool:
        """Tell, once per `ACK_EVERY_BYTES`, that an `Ack` is due."""
        if self._unacknowledged < ACK_EVERY_BYTES:
            return False
        self._unacknowledged = 0
        return True

    def verify(self, item: messages_request.End) -> Verification:
        """Compare the total and the digest with what was taken."""
        if item.total_bytes > self._offset:
            return Verification.INCOMPLETE
        if item.total_bytes < self._offset:
            return Verification.CORRUPT
        if item.digest != self._digest.digest():
            return Verification.CORRUPT
        return Verification.WHOLE
