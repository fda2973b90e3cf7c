"""Command that finds the cause of a request's outcome in log files."""

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
    """Show what led to the outcome of a request, from log files."""
    try:
        lines = log_trace.read_lines(files)
    except OSError as error:
        raise exceptions.ConsoleError(
            exit_codes.ExitCode.USAGE, str(error), {"file": str(error)}
        ) from error
    found = log_trace.trace(lines, request)
    if not found:
        raise exceptions.ConsoleError(
            exit_codes.ExitCode.FAILED,
            f"no line of request {request} in {len(lines)} lines",
            {"request": request, "lines": len(lines)},
        )
    session.show(
        {"lines": [line.text() for line in found]},
        "\n".join(line.text() for line in found),
    )
