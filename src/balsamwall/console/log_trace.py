"""Selection of the log lines that explain the outcome of a request."""

from __future__ import annotations

import dataclasses
import json
import pathlib
from typing import Any
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Lines about the same server or model are selected from this long before the
# first line of the request, since an earlier event may explain its outcome.
CONTEXT_WINDOW_S = 5.0
_ENVELOPE_FIELDS = ("timestamp", "message_type", "task_uuid", "task_level")


@dataclasses.dataclass(slots=True, frozen=True)
class LogLine:
    """One structured line of a log file; `source` is the file's stem."""

    time_s: float
    event: str
    fields: dict[str, Any]
    source: str

    def text(self) -> str:
        """Return the line in readable form."""
        pairs = " ".join(
            f"{key}={value}" for key, value in self.fields.items()
        )
        return f"{self.time_s:.3f} {self.source} {self.event} {pairs}"


def read_lines(paths: Iterable[str]) -> list[LogLine]:
    """Read the structured lines of files, sorted by time.

    Other lines are skipped, since a process may also print errors of its
    runtime. Raise OSError if a file cannot be read.
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
    """Return the lines of a request and related earlier ones, by time.

    The lines of the requests that continue its stream are included, and those
    of the one that began it.
    """
    requests = _requests_of_stream(lines, request)
    request_lines = [
        line for line in lines if line.fields.get("request") in requests
    ]
    if not request_lines:
        return []
    start_s, end_s = (
        request_lines[0].time_s - CONTEXT_WINDOW_S,
        request_lines[-1].time_s,
    )
    servers = _field_values(request_lines, "server")
    models = _field_values(request_lines, "model")
    related = [
        line
        for line in lines
        if start_s <= line.time_s <= end_s
        and "request" not in line.fields
        and _is_related(line, servers, models)
    ]
    return sorted([*request_lines, *related], key=lambda line: line.time_s)


def _requests_of_stream(lines: list[LogLine], request: str) -> set[str]:
    """Return all requests of the stream that a request is a part of.

    All that continue a stream name the request that began it.
    """
    first = request
    for line in lines:
        if line.fields.get("request") == request:
            first = line.fields.get("resumes") or first
    return {request, first} | {
        line.fields["request"]
        for line in lines
        if line.fields.get("resumes") == first and "request" in line.fields
    }


def _is_related(line: LogLine, servers: set[str], models: set[str]) -> bool:
    fields = line.fields
    if fields.get("server") in servers or fields.get("model") in models:
        return True
    is_global = line.event.startswith(("store_", "holder_", "orders_"))
    return is_global or line.event == "configuration_in_force"


def _field_values(lines: list[LogLine], name: str) -> set[str]:
    return {line.fields[name] for line in lines if line.fields.get(name)}


def _parse(text: str, source: str) -> LogLine | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
    except ValueError:
        return None
    if type(fields) is not dict or "message_type" not in fields:
        return None
    event = str(fields["message_type"])
    time_s = float(fields.get("timestamp", 0.0))
    event_fields = {
        key: value
        for key, value in fields.items()
        if key not in _ENVELOPE_FIELDS
    }
    return LogLine(time_s, event, event_fields, source)
