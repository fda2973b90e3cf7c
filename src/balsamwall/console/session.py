"""Settings, clients and output of one command."""

from __future__ import annotations

import json
import sys
import time
from typing import Any
from typing import TYPE_CHECKING

from balsamwall.console import administration_client
from balsamwall.console import http_transport

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from balsamwall.console import console_settings


class Session:
    """Context of one command."""

    __slots__ = (
        "administration",
        "is_json",
        "settings",
        "sleep",
        "transport",
    )

    def __init__(
        self,
        settings: console_settings.ConsoleSettings,
        is_json: bool,
        transport: http_transport.Transport = http_transport.send,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self.settings = settings
        self.is_json = is_json
        self.transport = transport
        self.sleep = sleep
        self.administration = administration_client.AdministrationClient(
            settings, transport, sleep
        )

    def show(self, body: Mapping[str, Any], text: str) -> None:
        """Print the body as JSON with --json, else the text."""
        if self.is_json:
            print(json.dumps(body), flush=True)
        elif text:
            print(text, flush=True)

    def show_table(
        self,
        body: Mapping[str, Any],
        rows: Sequence[Mapping[str, Any]],
        columns: Sequence[str],
    ) -> None:
        """Print the body as JSON with --json, else the rows as a table."""
        self.show(body, table(rows, columns))

    def print_notice(self, text: str) -> None:
        """Print to standard error, apart from the output of the command."""
        print(text, file=sys.stderr, flush=True)


def table(rows: Sequence[Mapping[str, Any]], columns: Sequence[str]) -> str:
    """Return rows as aligned columns with a heading."""
    lines = [[column.replace("_", " ").upper() for column in columns]]
    lines += [
        [_format_cell(row.get(column)) for column in columns] for row in rows
    ]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def _format_cell(value: Any) -> str:
    if value is None or value == "":
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        return ",".join(map(str, value)) or "-"
    return str(value)
