"""Command that traces a request through log files."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.console import command_registry
from balsamwall.console import exceptions
from balsamwall.console import exit_codes
from balsamwall.console import log_trace

if TYPE_CHECKING:
    from balsamwall.console import session as console_session


@command_registry.command("trace")
def trace(session: console_session.Session, request: str, *files: str) -> None:
    """Show the log lines of a request and of its possible causes."""
    try:
        lines = log_trace.read_lines(files)
    except OSError as error:
        raise exceptions.ConsoleError(
            exit_codes.ExitCode.USAGE, str(error), {"file": str(error)}
        ) from error
    matching_lines = log_trace.trace(lines, request)
    if not matching_lines:
        raise exceptions.ConsoleError(
            exit_codes.ExitCode.FAILED,
            f"request {request} not found in {len(lines)} log lines",
            {"request": request, "lines": len(lines)},
        )
    session.show(
        {"lines": [line.text() for line in matching_lines]},
        "\n".join(line.text() for line in matching_lines),
    )
