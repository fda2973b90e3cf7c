"""Hold the record of one idempotency key."""

from __future__ import annotations

import dataclasses
import enum
from typing import Any

from balsamwall.idempotency import exceptions
from balsamwall.idempotency import key_gate


class KeyState(enum.Enum):
    """List the states of the request with a key."""

    RUNNING = "running"
    DONE = "done"  # with a complete answer
    UNKNOWN = "unknown"  # ran or may have run, without a complete answer


@dataclasses.dataclass(slots=True)
class KeyRecord:
    """Hold the outcome of the request with a key.

    The answer may have been dropped to free memory.
    """

    key: str
    fingerprint: bytes
    state: KeyState
    changed_ms: int  # wall time
    answer: key_gate.RecordedAnswer | None = None

    @property
    def answer_bytes(self) -> int:
        """Return the size of the body of the answer, 0 without one."""
        return len(self.answer.body) if self.answer is not None else 0

    def to_row(self) -> list[Any]:
        """Return the record as a row for a transfer."""
        answer = None
        if self.answer is not None:
            answer = [
                self.answer.http_status,
                self.answer.headers,
                self.answer.body,
            ]
        return [
            self.key,
            self.fingerprint,
            self.state.value,
            self.changed_ms,
            answer,
        ]


def from_row(row: list[Any]) -> KeyRecord:
    """Parse a transferred row; raise RecordError if it is invalid."""
    try:
        key, fingerprint, state, changed_ms, fields = row
        answer = None
        if fields is not None:
            status, headers, body = fields
            answer = key_gate.RecordedAnswer(int(status), dict(headers), body)
        if type(key) is not str or type(fingerprint) is not bytes:
            raise TypeError(
                "key must be a string and fingerprint must be bytes"
            )
        return KeyRecord(
            key, fingerprint, KeyState(state), int(changed_ms), answer
        )
    except (ValueError, TypeError) as error:
        raise exceptions.RecordError(f"record is invalid: {error}") from error
