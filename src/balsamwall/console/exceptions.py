"""Exceptions of the command-line tool."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.console import exit_codes


class ConsoleError(Exception):
    """Failure of a command, with its exit code.

    The message goes to standard error; the body is printed with --json.
    """

    def __init__(
        self,
        exit_code: exit_codes.ExitCode,
        message: str,
        body: dict[str, object] | None = None,
    ) -> None:
        super().__init__(message)
        self.exit_code = exit_code
        self.message = message
        self.body = body if body is not None else {"message": message}
