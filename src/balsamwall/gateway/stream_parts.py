"""Record which server processes wrote the events of a response."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.gateway import backend_directory


@dataclasses.dataclass(slots=True, frozen=True)
class StreamPart:
    """Events of one response that one server process wrote."""

    server_id: str
    started_ms: int
    software_version: str
    first_event_id: bytes | None
    last_event_id: bytes | None

    def row(self) -> list[object]:
        """Return server, start of its process, version and event range."""
        return [
            self.server_id,
            self.started_ms,
            self.software_version,
            _text(self.first_event_id),
            _text(self.last_event_id),
        ]


def of_record(
    record: backend_directory.ServerRecord,
    first_event_id: bytes | None,
    last_event_id: bytes | None,
) -> StreamPart:
    """Return the part that a server wrote, with its record at the send."""
    return StreamPart(
        record.server_id,
        record.started_ms,
        record.software_version,
        first_event_id,
        last_event_id,
    )


def _text(event_id: bytes | None) -> str | None:
    return None if event_id is None else event_id.decode("latin-1")
