"""Exceptions of the configuration package."""

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
    """Invalid item in a configuration file."""

    file: str
    section: str
    key: str
    found: str
    allowed: str
    code: result_code.ResultCode = _CODE.CONFIGURATION_INVALID

    def __str__(self) -> str:
        location = f"{self.file}: [{self.section}]"
        if self.key:
            location += f" {self.key}"
        return (
            f"{self.code.number} {location}: found {self.found},"
            f" allowed: {self.allowed}"
        )

    def to_json(self) -> dict[str, object]:
        """Return the fields as JSON values."""
        return {
            "number": self.code.number,
            "file": self.file,
            "section": self.section,
            "key": self.key,
            "found": self.found,
            "allowed": self.allowed,
        }


class ConfigurationInvalid(exceptions.BalsamwallError):
    """Configuration files have at least one problem."""

    def __init__(self, problems: Sequence[Problem]) -> None:
        self.problems = tuple(problems)
        lines = "\n".join(str(problem) for problem in self.problems)
        super().__init__(_CODE.CONFIGURATION_INVALID, lines)


class ConfigurationConflict(exceptions.BalsamwallError):
    """Change is not based on the stored revision.

    `current` is the stored document and `proposed` the rejected entry.
    """

    def __init__(
        self,
        current: configuration_document.ConfigurationDocument | None,
        proposed: configuration_document.DocumentEntry,
    ) -> None:
        found = current.revision if current is not None else 0
        super().__init__(
            _CODE.CONFIGURATION_CONFLICT,
            f"revision {found} is stored,"
            f" but change {proposed.change_id} is based on another one",
        )
        self.current = current
        self.proposed = proposed


class DocumentInvalid(exceptions.BalsamwallError):
    """Stored or received document fails the size or schema check."""

    def __init__(self, message: str) -> None:
        super().__init__(_CODE.CONFIGURATION_INVALID, message)


class DeltaBaseUnknown(DocumentInvalid):
    """Delta refers to a base revision that is not retained."""
