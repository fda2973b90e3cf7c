"""Parse typed values of an INI file."""

from __future__ import annotations

import dataclasses
import math
import re
from typing import Generic
from typing import TYPE_CHECKING
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar("T")

_SIZE_UNITS = {
    "B": 1,
    "KB": 10**3,
    "MB": 10**6,
    "GB": 10**9,
    "KiB": 2**10,
    "MiB": 2**20,
    "GiB": 2**30,
    "TiB": 2**40,
}
_TIME_UNITS_MS = {"ms": 1, "s": 1_000, "min": 60_000, "h": 3_600_000}
_QUANTITY = re.compile(r"(\d{1,15}(?:\.\d{1,6})?)\s*([A-Za-z]*)")
_HASH = re.compile(r"[0-9a-f]{64}")
_BOOLEANS = {
    "yes": True,
    "true": True,
    "on": True,
    "no": False,
    "false": False,
    "off": False,
}


@dataclasses.dataclass(slots=True, frozen=True)
class ValueReader(Generic[T]):
    """Parser of one value type; `read` raises ValueError."""

    read: Callable[[str], T]
    allowed: str


def integer(minimum: int, maximum: int) -> ValueReader[int]:
    """Return a reader of integers within bounds."""

    def read(text: str) -> int:
        if re.fullmatch(r"-?\d{1,18}", text) is None:
            raise ValueError(text)
        return _check_bounds(int(text), minimum, maximum)

    return ValueReader(read, f"whole number from {minimum} to {maximum}")


def decimal(minimum: float, maximum: float) -> ValueReader[float]:
    """Return a reader of finite numbers within bounds."""

    def read(text: str) -> float:
        value = float(text)
        if not math.isfinite(value):
            raise ValueError(text)
        return _check_bounds(value, minimum, maximum)

    return ValueReader(read, f"number from {minimum:g} to {maximum:g}")


def size_bytes(minimum: str, maximum: str) -> ValueReader[int]:
    """Return a reader of sizes such as 14 GiB, in bytes."""
    low, high = (_parse_quantity(t, _SIZE_UNITS) for t in (minimum, maximum))
    return ValueReader(
        lambda text: _check_bounds(
            _parse_quantity(text, _SIZE_UNITS), low, high
        ),
        f"size with unit ({', '.join(_SIZE_UNITS)})"
        f" from {minimum} to {maximum}",
    )


def duration_ms(minimum: str, maximum: str) -> ValueReader[int]:
    """Return a reader of durations such as 500 ms, in milliseconds."""
    low, high = (
        _parse_quantity(t, _TIME_UNITS_MS) for t in (minimum, maximum)
    )
    return ValueReader(
        lambda text: _check_bounds(
            _parse_quantity(text, _TIME_UNITS_MS), low, high
        ),
        f"duration with unit ({', '.join(_TIME_UNITS_MS)})"
        f" from {minimum} to {maximum}",
    )


def boolean() -> ValueReader[bool]:
    """Return a reader of yes, true, on, no, false and off."""
    return ValueReader(
        lambda text: _look_up(text.lower(), _BOOLEANS), "yes or no"
    )


def choice(table: dict[str, T]) -> ValueReader[T]:
    """Return a reader of the keys of a table; it gives their values."""
    return ValueReader(lambda text: _look_up(text, table), " or ".join(table))


def text(pattern: str, allowed: str) -> ValueReader[str]:
    """Return a reader of text that matches a regular expression."""

    def read(found: str) -> str:
        if re.fullmatch(pattern, found) is None:
            raise ValueError(found)
        return found

    return ValueReader(read, allowed)


def _parse_key_hashes(found: str) -> tuple[str, ...]:
    hashes = tuple(found.replace(",", " ").split())
    if not hashes or not all(_HASH.fullmatch(item) for item in hashes):
        raise ValueError("not a hash")
    if len(set(hashes)) != len(hashes):
        raise ValueError("repeated hash")
    return hashes


def key_hashes() -> ValueReader[tuple[str, ...]]:
    """Return a reader of SHA-256 hashes of API keys."""
    return ValueReader(
        _parse_key_hashes,
        "distinct SHA-256 hashes of 64 characters from 0-9a-f",
    )


def _parse_paths(found: str) -> tuple[str, ...]:
    paths = tuple(found.replace(",", " ").split())
    if not all(path.startswith("/") for path in paths):
        raise ValueError(found)
    return paths


def paths() -> ValueReader[tuple[str, ...]]:
    """Return a reader of request paths of a service."""
    return ValueReader(_parse_paths, "paths that start with '/'")


def _check_bounds(value: T, minimum: T, maximum: T) -> T:
    if not minimum <= value <= maximum:  # type: ignore[operator]
        raise ValueError("out of range")
    return value


def _look_up(word: str, table: dict[str, T]) -> T:
    if word not in table:
        raise ValueError(word)
    return table[word]


def _parse_quantity(found: str, units: dict[str, int]) -> int:
    match = _QUANTITY.fullmatch(found.strip())
    if match is None:
        raise ValueError(found)
    unit = match.group(2)
    if unit not in units:
        raise ValueError(found)
    return round(float(match.group(1)) * units[unit])
