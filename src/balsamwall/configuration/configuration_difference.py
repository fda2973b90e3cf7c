"""Compare two configurations for operators."""

from __future__ import annotations

import dataclasses
import enum
from typing import Any
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from balsamwall.configuration import tenant_configuration

_PARTS = ("models", "adapters", "services", "workspaces")
_SINGLE_PARTS = ("fleet", "weight_store")
_SHOWN_HASH_CHARACTERS = 8


class Kind(enum.Enum):
    """Type of a difference."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclasses.dataclass(slots=True, frozen=True)
class DifferenceEntry:
    """One added or removed item, or one changed field of an item."""

    kind: Kind
    part: str  # field of TenantConfiguration
    name: str
    field: str = ""
    old: Any = None
    new: Any = None

    def __str__(self) -> str:
        item = f"{self.part.removesuffix('s')} {self.name}".strip()
        if self.kind is Kind.ADDED:
            return f"+ {item}"
        if self.kind is Kind.REMOVED:
            return f"- {item}"
        if isinstance(self.old, tuple) and isinstance(self.new, tuple):
            return f"~ {item}: {self.field} {self._list_change()}"
        return f"~ {item}: {self.field} {self.old} -> {self.new}"

    def to_json(self) -> dict[str, object]:
        """Return the fields as JSON values."""
        row = dataclasses.asdict(self)
        row["kind"] = self.kind.value
        return row

    def _list_change(self) -> str:
        old = [self._abbreviate(item) for item in self.old]
        new = [self._abbreviate(item) for item in self.new]
        removed = [f"-{item}" for item in old if item not in new]
        added = [f"+{item}" for item in new if item not in old]
        return " ".join(removed + added) or "in another order"

    def _abbreviate(self, item: str) -> str:
        if self.field == "api_key_hashes":
            return item[:_SHOWN_HASH_CHARACTERS]
        return item


def difference(
    old: tenant_configuration.TenantConfiguration | None,
    new: tenant_configuration.TenantConfiguration,
) -> list[DifferenceEntry]:
    """Return the differences; without an old one, all items are added."""
    entries: list[DifferenceEntry] = []
    for part in _PARTS:
        before = getattr(old, part) if old is not None else {}
        entries += _difference_of_part(part, before, getattr(new, part))
    for part in _SINGLE_PARTS:
        before = getattr(old, part) if old is not None else None
        after = getattr(new, part)
        if before is None and after is not None:
            entries.append(DifferenceEntry(Kind.ADDED, part, ""))
        elif before is not None and after is None:
            entries.append(DifferenceEntry(Kind.REMOVED, part, ""))
        elif before is not None:
            entries += _changed_fields(part, "", before, after)
    return entries


def to_text(entries: Iterable[DifferenceEntry]) -> str:
    """Return one line per entry."""
    return "\n".join(str(entry) for entry in entries) or "no difference"


def _difference_of_part(
    part: str, before: Mapping[str, Any], after: Mapping[str, Any]
) -> list[DifferenceEntry]:
    entries: list[DifferenceEntry] = []
    for name, spec in after.items():
        if name not in before:
            entries.append(DifferenceEntry(Kind.ADDED, part, name))
        elif before[name] != spec:
            entries += _changed_fields(part, name, before[name], spec)
    entries += [
        DifferenceEntry(Kind.REMOVED, part, name)
        for name in before
        if name not in after
    ]
    return entries


def _changed_fields(
    part: str, name: str, old: Any, new: Any
) -> list[DifferenceEntry]:
    entries = []
    for field in dataclasses.fields(new):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if before != after:
            entries.append(
                DifferenceEntry(
                    Kind.CHANGED, part, name, field.name, before, after
                )
            )
    return entries
