"""Errors of the configuration."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from balsamwall.results import exceptions
from balsamwall.results import result_code

if TYPE_CHECKING:
    from collections.abc import Sequence

    from balsamwall.configuration import configuration_document

_CODE = result_code.ResultCode


@dataclasses.dataclass(slots=True, frozen=True)
class Problem:
    """One fault of a configuration file."""

    file: str
    section: str
    key: str
    found: str
    allowed: str
    code: result_code.ResultCode = _CODE.CONFIGURATION_INVALID

    def __str__(self) -> str:
        place = f"{self.file}: [{self.section}]"
        if self.key:
            place += f" {self.key}"
        return (
            f"{self.code.number} {place}: found {self.found},"
            f" allowed: {self.allowed}"
        )

    def to_json(self) -> dict[str, object]:
        """Return the fields as plain JSON values."""
        return {
            "number": self.code.number,
            "file": self.file,
            "section": self.section,
            "key": self.key,
            "found": self.found,
            "allowed": self.allowed,
        }


class ConfigurationInvalid(exceptions.BalsamwallError):
    """Configuration with at least one problem; carries all of them."""

    def __init__(self, problems: Sequence[Problem]) -> None:
        self.problems = tuple(problems)
        lines = "\n".join(str(problem) for problem in self.problems)
        super().__init__(_CODE.CONFIGURATION_INVALID, lines)


class ConfigurationConflict(exceptions.BalsamwallError):
    """Change that lost a race; carries the winner and the loser."""

    def __init__(
        self,
        current: configuration_document.ConfigurationDocument | None,
        proposed: configuration_document.DocumentEntry,
    ) -> None:
        found = current.revision if current is not None else 0
        super().__init__(
            _CODE.CONFIGURATION_CONFLICT,
            f"revision {found} is stored,"
            f" change {proposed.change_id} expected another one",
        )
        self.current = current
        self.proposed = proposed


class DocumentInvalid(exceptions.BalsamwallError):
    """Stored or received document that fails the size or schema check."""

    def __init__(self, message: str) -> None:
        super().__init__(_CODE.CONFIGURATION_INVALID, message)


class DeltaBaseUnknown(DocumentInvalid):
    """Difference to a revision that this process does not have."""
