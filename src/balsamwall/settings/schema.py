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
    """One key of a section; parse raises ValueError for a bad value."""

    name: str
    parse: Callable[[str], Any]
    allowed: str
    default: Any = REQUIRED
    is_secret: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Section:
    """Section with its keys."""

    name: str
    keys: tuple[Key, ...]

    def read(
        self,
        label: str,
        values: Mapping[str, str],
        faults: list[exceptions.Fault],
    ) -> dict[str, Any]:
        """Parse the values of a section and append what is wrong."""
        known = {key.name for key in self.keys}
        for name in values:
            if name not in known:
                faults.append(
                    exceptions.Fault(
                        label,
                        name,
                        "unknown key",
                        ", ".join(sorted(known)),
                    )
                )
        result: dict[str, Any] = {}
        for key in self.keys:
            result[key.name] = _read_key(label, key, values, faults)
        return result


def _read_key(
    label: str,
    key: Key,
    values: Mapping[str, str],
    faults: list[exceptions.Fault],
) -> Any:
    text = values.get(key.name)
    if text is None or not text.strip():
        if key.default is REQUIRED:
            faults.append(
                exceptions.Fault(label, key.name, "no value", key.allowed)
            )
            return None
        return key.default
    try:
        return key.parse(text.strip())
    except ValueError:
        found = "a secret value" if key.is_secret else repr(text)
        faults.append(exceptions.Fault(label, key.name, found, key.allowed))
        return None
