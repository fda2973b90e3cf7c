"""Exit codes of the command-line tool."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """Exit codes of commands; scripts rely on their values."""

    OK = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    NOT_REACHABLE = 4
    INVALID = 5  # invalid input or unknown object


def from_status(status: int) -> ExitCode:
    """Return the exit code for an HTTP status of the server."""
    if status < 400:
        return ExitCode.OK
    if status == 409:
        return ExitCode.CONFLICT
    if status in (400, 404, 413, 422):
        return ExitCode.INVALID
    return ExitCode.FAILED
