"""Assemble one answer from the chunks of one attempt."""

from __future__ import annotations

import enum
import hashlib
from typing import TYPE_CHECKING

from balsamwall.execution import stream_buffer

if TYPE_CHECKING:
    from balsamwall.protocol import messages_request

# An acknowledgement is sent each time this much new data has arrived.
ACK_EVERY_BYTES = 4_096


class Verification(enum.Enum):
    """List the results of checking an answer against its end message."""

    COMPLETE = "whole"
    INCOMPLETE = "incomplete"
    CORRUPT = "corrupt"


class AnswerAssembler:
    """Track the offset and the digest of the bytes that were passed on."""

    __slots__ = ("_digest", "_offset", "_unacknowledged")

    def __init__(self) -> None:
        self._offset = 0
        self._unacknowledged = 0
        self._digest = hashlib.blake2b(digest_size=stream_buffer.DIGEST_BYTES)

    @property
    def offset(self) -> int:
        """Return the offset of the next expected byte."""
        return self._offset

    def append(self, item: messages_request.Chunk) -> bool:
        """Append a chunk; return False if it is not at the next offset."""
        if item.offset != self._offset or not item.data:
            return False
        self._offset += len(item.data)
        self._unacknowledged += len(item.data)
        self._digest.update(item.data)
        return True

    def is_gap(self, item: messages_request.Chunk) -> bool:
        """Return whether bytes before a chunk are missing."""
        return item.offset > self._offset

    def is_acknowledgement_due(self) -> bool:
        """Return True once per `ACK_EVERY_BYTES`; reset the byte count."""
        if self._unacknowledged < ACK_EVERY_BYTES:
            return False
        self._unacknowledged = 0
        return True

    def verify(self, item: messages_request.End) -> Verification:
        """Compare the total and the digest with the appended bytes."""
        if item.total_bytes > self._offset:
            return Verification.INCOMPLETE
        if item.total_bytes < self._offset:
            return Verification.CORRUPT
        if item.digest != self._digest.digest():
            return Verification.CORRUPT
        return Verification.COMPLETE
