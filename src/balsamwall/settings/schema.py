"""Declarative schema of INI sections."""

from __future__ import annotations

import dataclasses
from typing import Any
from typing import TYPE_CHECKING

from balsamwall.settings import exceptions

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

REQUIRED = object()


@dataclasses.dataclass(slots=True, frozen=True)
class Key:
    """Key of a section; `parse` raises ValueError for an invalid value."""

    name: str
    parse: Callable[[str], Any]
    allowed: str
    default: Any = REQUIRED
    is_secret: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Section:
    """Section of an INI file with its allowed keys."""

    name: str
    keys: tuple[Key, ...]

    def read(
        self,
        label: str,
        values: Mapping[str, str],
        problems: list[exceptions.Problem],
    ) -> dict[str, Any]:
        """Parse the values; append problems, with None as their value."""
        known = {key.name for key in self.keys}
        for name in values:
            if name not in known:
                problems.append(
                    exceptions.Problem(
                        label,
                        name,
                        "unknown key",
                        ", ".join(sorted(known)),
                    )
                )
        result: dict[str, Any] = {}
        for key in self.keys:
            result[key.name] = _read_key(label, key, values, problems)
        return result


def _read_key(
    label: str,
    key: Key,
    values: Mapping[str, str],
    problems: list[exceptions.Problem],
) -> Any:
    text = values.get(key.name)
    if text is None or not text.strip():
        if key.default is REQUIRED:
            problems.append(
                exceptions.Problem(label, key.name, "no value", key.allowed)
            )
            return None
        return key.default
    try:
        return key.parse(text.strip())
    except ValueError:
        found = "a secret value" if key.is_secret else repr(text)
        problems.append(
            exceptions.Problem(label, key.name, found, key.allowed)
        )
        return None
