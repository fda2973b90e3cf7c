"""Typed fields of the platform's JSON documents, with bounds.

Another writer may store any JSON value. A number that passes a check of its
type alone may still fail where it is used, so that each field has a range.
"""

from __future__ import annotations

import json
from typing import Any

# Counts of slots, connections, tokens and the like.
MAX_COUNT = 10**9
# Versions, times of the wall clock and numbers of records.
MAX_INTEGER = 2**63 - 1
# Sizes and rates.
MAX_NUMBER = 1e15
# One year, for durations.
MAX_DURATION_MS = 31_536_000_000
# Names and addresses.
MAX_TEXT_LENGTH = 1_000
# Characters of an invalid value that an error shows.
MAX_SHOWN_CHARACTERS = 80


class DocumentError(ValueError):
    """Document that is not valid JSON or has a missing or invalid field."""


def decode_object(raw: bytes) -> dict[str, Any]:
    """Decode a JSON object; raise DocumentError if it is none."""
    try:
        found = json.loads(raw)
    except (ValueError, RecursionError) as error:
        raise DocumentError(f"invalid JSON: {error}") from error
    if type(found) is not dict:
        raise DocumentError(f"expected a JSON object, found {type(found)}")
    return found


def typed(fields: dict[str, Any], name: str, *types: type) -> Any:
    """Return a field of one of the types; raise DocumentError otherwise."""
    found = fields.get(name)
    if type(found) not in types:
        raise _invalid(name, found)
    return found


def text(fields: dict[str, Any], name: str, default: str | None = None) -> str:
    """Return a text; without a default, the field is required."""
    if default is not None and name not in fields:
        return default
    found: str = typed(fields, name, str)
    if len(found) > MAX_TEXT_LENGTH:
        raise _invalid(name, found)
    return found


def flag(fields: dict[str, Any], name: str) -> bool:
    """Return a truth value, False if the field is missing."""
    return bool(name in fields and typed(fields, name, bool))


def integer(
    fields: dict[str, Any],
    name: str,
    default: int | None = None,
    maximum: int = MAX_COUNT,
) -> int:
    """Return an integer from 0 to a maximum.

    Without a default, the field is required.
    """
    if default is not None and name not in fields:
        return default
    found: int = typed(fields, name, int)
    if not 0 <= found <= maximum:
        raise _invalid(name, found)
    return found


def number(
    fields: dict[str, Any],
    name: str,
    default: float | None = None,
    maximum: float = MAX_NUMBER,
) -> float:
    """Return a number from 0 to a maximum, with or without a fraction.

    Without a default, the field is required.
    """
    if default is not None and name not in fields:
        return default
    found = typed(fields, name, int, float)
    if not 0 <= found <= maximum:
        raise _invalid(name, found)
    return float(found)


def duration_ms(
    fields: dict[str, Any], name: str, default: int | None = None
) -> int:
    """Return a duration in whole milliseconds, at most a year."""
    return int(number(fields, name, default, MAX_DURATION_MS))


def objects(fields: dict[str, Any], name: str) -> list[dict[str, Any]]:
    """Return a list of objects."""
    found = typed(fields, name, list)
    if not all(type(row) is dict for row in found):
        raise DocumentError(f"{name}: expected a list of objects")
    return list(found)


def texts(fields: dict[str, Any], name: str) -> frozenset[str]:
    """Return a list of texts as a set, empty if the field is missing."""
    found = typed(fields, name, list) if name in fields else []
    if not all(
        type(item) is str and len(item) <= MAX_TEXT_LENGTH for item in found
    ):
        raise DocumentError(f"{name}: expected a list of short strings")
    return frozenset(found)


def _invalid(name: str, found: object) -> DocumentError:
    """Return the error for a value of a wrong type or out of range."""
    if type(found) is int and abs(found) > MAX_INTEGER:
        # Its conversion to text may fail.
        shown = f"an integer of {found.bit_length()} bits"
    else:
        shown = repr(found)[:MAX_SHOWN_CHARACTERS]
    return DocumentError(
        f"{name}: missing, of a wrong type or out of range: {shown}"
    )
