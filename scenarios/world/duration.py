"""Parser for the durations in scenarios."""

from __future__ import annotations

_UNITS_MS = {"ms": 1, "s": 1_000, "min": 60_000}


def parse(text: str) -> int:
    """Return the milliseconds of a duration such as "2.5 s".

    Raises AssertionError if the unit is missing or unknown.
    """
    number, _, unit = text.strip().partition(" ")
    if unit not in _UNITS_MS:
        raise AssertionError(f"{text!r}: a duration needs ms, s or min")
    return round(float(number) * _UNITS_MS[unit])
