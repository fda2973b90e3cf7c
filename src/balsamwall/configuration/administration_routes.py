"""Route registry of the administration API."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
from typing import Any

PREFIX = "/v1/tenants/"
MAX_PATH_CHARACTERS = 512

Handler = Callable[..., None]


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """Path pattern below the tenant; parts in braces are arguments."""

    method: str
    parts: tuple[str, ...]
    needs_write: bool
    handler: Handler

    def match(self, parts: list[str]) -> dict[str, str] | None:
        """Return the arguments in a path, or None if it does not match."""
        if len(parts) != len(self.parts):
            return None
        arguments: dict[str, str] = {}
        for pattern, part in zip(self.parts, parts, strict=True):
            if pattern.startswith("{"):
                arguments[pattern[1:-1]] = part
            elif pattern != part:
                return None
        return arguments


_ROUTES: list[Route] = []


def route(
    method: str, pattern: str, needs_write: bool = False
) -> Callable[[Handler], Handler]:
    """Register a handler under a method and a path below the tenant."""

    def register(handler: Handler) -> Handler:
        parts = tuple(pattern.split("/"))
        _ROUTES.append(Route(method, parts, needs_write, handler))
        return handler

    return register


def find(method: str, path: str) -> tuple[str, Any, dict[str, str], bool]:
    """Return tenant, route or None, arguments, and whether the path exists."""
    if not path.startswith(PREFIX) or len(path) > MAX_PATH_CHARACTERS:
        return "", None, {}, False
    tenant, *parts = path.removeprefix(PREFIX).split("/")
    is_path_known = False
    for item in _ROUTES:
        arguments = item.match(parts)
        if arguments is None:
            continue
        is_path_known = True
        if item.method == method:
            return tenant, item, arguments, True
    return tenant, None, {}, is_path_known


def registered() -> list[Route]:
    """Return all routes in the order of their registration."""
    return list(_ROUTES)
