"""Log lines that explain the outcome of one request."""

from __future__ import annotations

import dataclasses
import json
import pathlib
from typing import Any
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Lines of the same server or model this long before the end of a request may
# have decided it.
CONTEXT_S = 5.0
_OWN_FIELDS = ("timestamp", "message_type", "task_uuid", "task_level")


@dataclasses.dataclass(slots=True, frozen=True)
class LogLine:
    """One structured line of a log file."""

    time_s: float
    event: str
    fields: dict[str, Any]
    source: str

    def text(self) -> str:
        """Return the line for a reader."""
        rows = " ".join(f"{key}={value}" for key, value in self.fields.items())
        return f"{self.time_s:.3f} {self.source} {self.event} {rows}"


def read_lines(paths: Iterable[str]) -> list[LogLine]:
    """Read the structured lines of files in the order of time.

    Lines of another form are passed over: a process also prints errors of
    its runtime.
    """
    lines = []
    for path in paths:
        source = pathlib.Path(path).stem
        with open(path, encoding="utf-8", errors="replace") as file:
            lines += [
                line
                for text in file
                if (line := _parse(text, source)) is not None
            ]
    return sorted(lines, key=lambda line: line.time_s)


def trace(lines: list[LogLine], request: str) -> list[LogLine]:
    """Return the lines of a request and those that led to its outcome."""
    own = [line for line in lines if line.fields.get("request") == request]
    if not own:
        return []
    begin_s, end_s = own[0].time_s - CONTEXT_S, own[-1].time_s
    servers = _values(own, "server")
    models = _values(own, "model")
    related = [
        line
        for line in lines
        if begin_s <= line.time_s <= end_s
        and "request" not in line.fields
        and _concerns(line, servers, models)
    ]
    return sorted([*own, *related], key=lambda line: line.time_s)


def _concerns(line: LogLine, servers: set[str], models: set[str]) -> bool:
    fields = line.fields
    if fields.get("server") in servers or fields.get("model") in models:
        return True
    is_shared = line.event.startswith(("store_", "holder_", "orders_"))
    return is_shared or line.event == "configuration_in_force"


def _values(lines: list[LogLine], name: str) -> set[str]:
    return {line.fields[name] for line in lines if line.fields.get(name)}


def _parse(text: str, source: str) -> LogLine | None:
    begin = text.find("{")
    if begin < 0:
        return None
    try:
        fields = json.loads(text[begin:])
    except ValueError:
        return None
    if type(fields) is not dict or "message_type" not in fields:
        return None
    event = str(fields["message_type"])
    time_s = float(fields.get("timestamp", 0.0))
    kept = {
        key: value for key, value in fields.items() if key not in _OWN_FIELDS
    }
    return LogLine(time_s, event, kept, source)
