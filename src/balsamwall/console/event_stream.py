"""Parser of server-sent events."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

DONE = "[DONE]"


@dataclasses.dataclass(slots=True, frozen=True)
class Event:
    """One event; the name is empty for the default event type."""

    name: str
    data: str


def read(lines: Iterable[bytes]) -> Iterator[Event]:
    """Yield complete events; skip comments and a truncated last event."""
    name = ""
    data: list[str] = []
    for raw_line in lines:
        line = raw_line.decode("utf-8", "replace").rstrip("\r\n")
        if not line:
            if data:
                yield Event(name, "\n".join(data))
            name, data = "", []
        elif not line.startswith(":"):
            field, _, value = line.partition(":")
            value = value.removeprefix(" ")
            if field == "event":
                name = value
            elif field == "data":
                data.append(value)
