"""Errors of the command-line tool."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.console import exit_codes


class ConsoleError(Exception):
    """Error that ends a command with an exit code."""

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
