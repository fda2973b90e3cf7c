"""Base exception of the package."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.results import result_code


class BalsamwallError(Exception):
    """Base error with a result code and a human-readable message."""

    def __init__(self, code: result_code.ResultCode, message: str) -> None:
        super().__init__(message)
        self.code = code
        self.message = message

    def __str__(self) -> str:
        return f"{self.code.number} {self.code.name}: {self.message}"
