"""Reader of server-sent events."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

DONE = "[DONE]"


@dataclasses.dataclass(slots=True, frozen=True)
class Event:
    """One event with its name, empty for the default."""

    name: str
    data: str


def read(lines: Iterable[bytes]) -> Iterator[Event]:
    """Return whole events; comments and a truncated last one are dropped."""
    name = ""
    data: list[str] = []
    for raw in lines:
        line = raw.decode("utf-8", "replace").rstrip("\r\n")
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
