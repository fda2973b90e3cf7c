"""Exceptions of the settings package."""

from __future__ import annotations

import dataclasses

from balsamwall.results import exceptions
from balsamwall.results import result_code


@dataclasses.dataclass(slots=True, frozen=True)
class Problem:
    """One invalid, missing or unknown setting."""

    section: str
    key: str
    found: str
    allowed: str

    def describe(self, file: str) -> str:
        """Return one line with location, found and allowed values."""
        location = f"{file}: [{self.section}]"
        if self.key:
            location += f" {self.key}"
        return f"{location}: found {self.found}, allowed: {self.allowed}"


class SettingsError(exceptions.BalsamwallError):
    """Settings file has at least one problem."""

    def __init__(self, file: str, problems: list[Problem]) -> None:
        self.file = file
        self.problems = problems
        lines = [problem.describe(file) for problem in problems]
        super().__init__(
            result_code.ResultCode.SETTINGS_INVALID, "\n".join(lines)
        )
