"""Keep a bounded table of key records."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from balsamwall.idempotency import key_record

if TYPE_CHECKING:
    from collections.abc import Iterator

RECORD_RETENTION_MS = 24 * 3_600_000
# Identities are kept longer than the age at which their keys are refused,
# because the creation time of a key comes from another clock.
IDENTITY_SLACK_MS = 10_000
MAX_RECORDS = 200_000
MAX_ANSWER_BYTES = 16 * 1024 * 1024


class RecordTable:
    """Keep records in the order of their last change.

    When answers exceed their memory limit the oldest are dropped, but the
    identities (key and fingerprint) stay for the retention time. A full table
    has no room for new keys, because a key whose identity was dropped early
    could run twice.
    """

    __slots__ = (
        "_answer_bytes",
        "_answers",
        "_max_answer_bytes",
        "_max_records",
        "_records",
        "_retention_ms",
    )

    def __init__(
        self,
        retention_ms: int = RECORD_RETENTION_MS,
        max_records: int = MAX_RECORDS,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        self._retention_ms = retention_ms
        self._max_records = max_records
        self._max_answer_bytes = max_answer_bytes
        self._answer_bytes = 0
        self._records: dict[str, key_record.KeyRecord] = {}
        self._answers: collections.deque[str] = collections.deque()

    def __len__(self) -> int:
        return len(self._records)

    def __iter__(self) -> Iterator[key_record.KeyRecord]:
        return iter(list(self._records.values()))

    @property
    def retention_ms(self) -> int:
        """Return the retention time of identities in milliseconds."""
        return self._retention_ms

    @property
    def answer_bytes(self) -> int:
        """Return the size of all kept answers in bytes."""
        return self._answer_bytes

    def get(self, key: str) -> key_record.KeyRecord | None:
        """Return the record of a key, or None."""
        return self._records.get(key)

    def has_room(self, wall_ms: int) -> bool:
        """Return whether a new key fits, after dropping expired records."""
        if len(self._records) >= self._max_records:
            self._drop_expired(wall_ms)
        return len(self._records) < self._max_records

    def put(self, record: key_record.KeyRecord) -> None:
        """Add or replace a record, and move it to the end."""
        self.remove(record.key)
        self._records[record.key] = record
        if record.answer is not None:
            self._answer_bytes += record.answer_bytes
            self._answers.append(record.key)
            self._drop_answers()

    def remove(self, key: str) -> None:
        """Remove a record, if any, with its identity."""
        record = self._records.pop(key, None)
        if record is not None:
            self._answer_bytes -= record.answer_bytes

    def _drop_expired(self, wall_ms: int) -> None:
        limit_ms = wall_ms - self._retention_ms - IDENTITY_SLACK_MS
        expired = []
        for record in self._records.values():
            if record.changed_ms >= limit_ms:
                break
            if record.state is not key_record.KeyState.RUNNING:
                expired.append(record.key)
        for key in expired:
            self.remove(key)

    def _drop_answers(self) -> None:
        while self._answer_bytes > self._max_answer_bytes and self._answers:
            record = self._records.get(self._answers.popleft())
            if record is not None and record.answer is not None:
                self._answer_bytes -= record.answer_bytes
                record.answer = None
