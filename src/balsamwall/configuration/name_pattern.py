"""Expand and match name patterns.

Braces hold a range, {01..30}, or a list, {a,b}. `select` also takes the
wildcards of `fnmatch`: `*`, `?` and `[...]`.
"""

from __future__ import annotations

import fnmatch
import re
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_EXPANDED_NAMES = 10_000

NAME_RULE = "1 to 63 of a-z, 0-9, '.', '_' and '-', first a letter or digit"

_NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
_BRACES = re.compile(r"\{([^{}]*)\}")
_RANGE = re.compile(r"(\d{1,6})\.\.(\d{1,6})")


def is_name(text: str) -> bool:
    """Return whether a text is a valid name."""
    return _NAME.fullmatch(text) is not None


def expand(pattern: str) -> list[str]:
    """Expand {01..30} and {a,b} in order.

    Unmatched braces and wildcards stay as they are. Raise ValueError for a
    descending range or more than MAX_EXPANDED_NAMES names.
    """
    names = [""]
    position = 0
    for match in _BRACES.finditer(pattern):
        literal = pattern[position : match.start()]
        choices = _choices(match.group(1))
        if len(names) * len(choices) > MAX_EXPANDED_NAMES:
            raise ValueError(f"more than {MAX_EXPANDED_NAMES} names")
        names = [
            name + literal + choice for name in names for choice in choices
        ]
        position = match.end()
    return [name + pattern[position:] for name in names]


def _choices(body: str) -> list[str]:
    match = _RANGE.fullmatch(body)
    if match is None:
        return [choice.strip() for choice in body.split(",")]
    first, last = match.groups()
    start, end = int(first), int(last)
    if end < start:
        raise ValueError(f"descending range {body}")
    if end - start >= MAX_EXPANDED_NAMES:
        raise ValueError(f"more than {MAX_EXPANDED_NAMES} names")
    width = len(first) if first.startswith("0") else 0
    return [f"{number:0{width}d}" for number in range(start, end + 1)]


def split_list(text: str) -> list[str]:
    """Split at commas and whitespace outside braces."""
    items: list[str] = []
    current = ""
    depth = 0
    for character in text:
        depth += (character == "{") - (character == "}")
        if depth <= 0 and (character == "," or character.isspace()):
            if current:
                items.append(current)
            current = ""
        else:
            current += character
    return [*items, current] if current else items


def select(patterns: str, known: Iterable[str]) -> tuple[list[str], list[str]]:
    """Return the selected known names and the patterns without a match.

    The patterns without a match are given after the expansion of braces.
    Raise ValueError for a pattern that cannot be expanded.
    """
    available = list(known)
    members = set(available)
    chosen: dict[str, None] = {}
    unmatched: list[str] = []
    for item in split_list(patterns):
        for name in expand(item):
            if name in members:
                chosen[name] = None
                continue
            matches = []
            if any(character in name for character in "*?["):
                matches = fnmatch.filter(available, name)
            if not matches:
                unmatched.append(name)
            chosen.update(dict.fromkeys(matches))
    return list(chosen), unmatched
