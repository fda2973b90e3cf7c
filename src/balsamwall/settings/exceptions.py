"""Errors of the settings."""

from __future__ import annotations

import dataclasses

from balsamwall.results import exceptions
from balsamwall.results import result_code


@dataclasses.dataclass(slots=True, frozen=True)
class Fault:
    """One invalid, missing or unknown setting."""

    section: str
    key: str
    found: str
    allowed: str

    def describe(self, file: str) -> str:
        """Return one line that names the place and both values."""
        place = f"{file}: [{self.section}]"
        if self.key:
            place += f" {self.key}"
        return f"{place}: found {self.found}, allowed: {self.allowed}"


class SettingsError(exceptions.BalsamwallError):
    """Settings file with at least one fault."""

    def __init__(self, file: str, faults: list[Fault]) -> None:
        self.file = file
        self.problems = faults
        lines = [fault.describe(file) for fault in faults]
        super().__init__(
            result_code.ResultCode.SETTINGS_INVALID, "\n".join(lines)
        )
