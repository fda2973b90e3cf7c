"""Document that the key-value service stores per tenant."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from balsamwall.configuration import tenant_configuration


@dataclasses.dataclass(slots=True, frozen=True)
class DocumentEntry:
    """Source files of one revision with author and time of the change."""

    revision: int
    change_id: str
    author: str
    changed_ms: int  # wall-clock time in milliseconds
    files: Mapping[str, str]
    rollback_of: int = 0  # revision whose files were restored, else 0

    def to_json(self) -> dict[str, object]:
        """Return the fields except the files as JSON values."""
        return {
            "revision": self.revision,
            "change_id": self.change_id,
            "author": self.author,
            "changed_ms": self.changed_ms,
            "rollback_of": self.rollback_of,
        }


@dataclasses.dataclass(slots=True, frozen=True)
class ConfigurationDocument:
    """Accepted configuration with its source files and history."""

    configuration: tenant_configuration.TenantConfiguration
    entries: tuple[DocumentEntry, ...]  # newest first, at least one

    @property
    def tenant(self) -> str:
        """Return the tenant of the configuration."""
        return self.configuration.tenant

    @property
    def revision(self) -> int:
        """Return the newest revision."""
        return self.configuration.revision

    @property
    def head(self) -> DocumentEntry:
        """Return the newest entry."""
        return self.entries[0]

    def find_change(self, change_id: str) -> DocumentEntry | None:
        """Return the entry of a change, or None if no longer in history."""
        for entry in self.entries:
            if entry.change_id == change_id:
                return entry
        return None

    def find_revision(self, revision: int) -> DocumentEntry | None:
        """Return the entry of a revision, or None if not in history."""
        for entry in self.entries:
            if entry.revision == revision:
                return entry
        return None
