"""Handle idempotency keys prefixed with their workspace."""

from __future__ import annotations

_SEPARATOR = "/"


def scope(workspace: str, key: str) -> str:
    """Return the key prefixed with its workspace."""
    return f"{workspace}{_SEPARATOR}{key}"


def caller_key(scoped: str) -> str:
    """Return a scoped key without its workspace, "" if it has none."""
    return scoped.partition(_SEPARATOR)[2]
